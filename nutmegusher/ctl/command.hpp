// What every command is made of.
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

// What a running command has at hand.
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

    [[nodiscard]] std::string text(const std::string& option) const
    {
        return has(option) ? options[option].as<std::string>() : "";
    }
};

struct command
{
    // One or two words.
    std::string_view name;
    std::string_view summary;
    // The positional argument's name, or empty.
    std::string_view positional;
    // Options that must be given, separated by spaces.
    std::string_view required;
    void (*add_options)(cxxopts::OptionAdder&);
    exit_code (*run)(const command_context&);
};

[[nodiscard]] std::span<const command> all_commands();

// For commands without options of their own.
void add_no_options(cxxopts::OptionAdder& add);

// Prints a GET's answer as it is.
exit_code
get_and_print(const command_context& context, const std::string& target);

// Prints the error and gives its exit code.
exit_code
report_error(const command_context& context, const client_error& error);

// change_commands.cpp
void add_declare_options(cxxopts::OptionAdder& add);
void add_target_options(cxxopts::OptionAdder& add);
void add_change_options(cxxopts::OptionAdder& add);
exit_code declare_class(const command_context& context);
exit_code set_target(const command_context& context);
exit_code remove_class(const command_context& context);
exit_code list_classes(const command_context& context);
exit_code show_history(const command_context& context);

// status_commands.cpp
void add_status_options(cxxopts::OptionAdder& add);
void add_wait_options(cxxopts::OptionAdder& add);
exit_code show_status(const command_context& context);
exit_code wait_until_in_force(const command_context& context, revision wanted);

// control_commands.cpp and outcome_commands.cpp
void add_upstreams_options(cxxopts::OptionAdder& add);
void add_outcome_options(cxxopts::OptionAdder& add);
void add_settle_options(cxxopts::OptionAdder& add);
void add_replace_options(cxxopts::OptionAdder& add);
exit_code show_upstreams(const command_context& context);
exit_code show_dump(const command_context& context);
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
