// The table of commands, and helpers that the commands share.
#ifndef NUTMEGUSHER_CTL_COMMAND_HPP
#define NUTMEGUSHER_CTL_COMMAND_HPP

#include "nutmegusher/ctl/operator_client.hpp"
#include "nutmegusher/ctl/run.hpp"

#include <cxxopts.hpp>

#include <span>
#include <string>
#include <string_view>

namespace nutmegusher::ctl
{

// The parsed options, client and environment of a running command.
struct command_context
{
    const environment& env;
    operator_client& client;
    const cxxopts::ParseResult& options;
    bool as_json = false;

    [[nodiscard]] bool has(const std::string& option) const
    {
        return options.count(option) > 0;
    }

    // The option's value; empty where it isn't given.
    [[nodiscard]] std::string text(const std::string& option) const
    {
        return has(option) ? options[option].as<std::string>() : "";
    }
};

// One entry of the command table.
struct command
{
    // One or two words, such as `status` or `class list`.
    std::string_view name;
    std::string_view summary;
    // Name of the positional argument; empty if there is none.
    std::string_view positional;
    // Names of the mandatory options, separated by spaces.
    std::string_view required;
    void (*add_options)(cxxopts::OptionAdder&);
    exit_code (*run)(const command_context&);
};

[[nodiscard]] std::span<const command> all_commands();

// For commands that have only the common options.
void add_no_options(cxxopts::OptionAdder& add);

// Sends GET for `target` and prints the reply as JSON or text.
exit_code
get_and_print(const command_context& context, const std::string& target);

// Prints the error and returns its exit code.
exit_code
report_error(const command_context& context, const client_error& error);

// Defined in change_commands.cpp.
void add_declare_options(cxxopts::OptionAdder& add);
void add_target_options(cxxopts::OptionAdder& add);
void add_change_options(cxxopts::OptionAdder& add);
exit_code declare_class(const command_context& context);
exit_code set_target(const command_context& context);
exit_code remove_class(const command_context& context);
exit_code list_classes(const command_context& context);
exit_code show_history(const command_context& context);

// Defined in status_commands.cpp.
void add_status_options(cxxopts::OptionAdder& add);
void add_wait_options(cxxopts::OptionAdder& add);
exit_code show_status(const command_context& context);
// Polls until all daemons run revision `wanted` or a later one, or until
// `--wait-seconds` have passed (`timed_out`).
exit_code wait_until_in_force(const command_context& context, revision wanted);

// Defined in control_commands.cpp and outcome_commands.cpp.
void add_upstreams_options(cxxopts::OptionAdder& add);
void add_outcome_options(cxxopts::OptionAdder& add);
void add_settle_options(cxxopts::OptionAdder& add);
void add_replace_options(cxxopts::OptionAdder& add);
exit_code show_upstreams(const command_context& context);
exit_code show_dump(const command_context& context);
exit_code show_teams(const command_context& context);
exit_code drain(const command_context& context);
exit_code show_quarantine(const command_context& context);
void add_release_options(cxxopts::OptionAdder& add);
exit_code release_request(const command_context& context);
exit_code show_control(const command_context& context);
exit_code replace_control_host(const command_context& context);
exit_code show_outcome(const command_context& context);
exit_code settle_outcome(const command_context& context);

} // namespace nutmegusher::ctl

#endif
