#include "nutmegusher/ctl/run.hpp"

#include "nutmegusher/ctl/command.hpp"

#include <algorithm>
#include <optional>
#include <ostream>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegusher::ctl
{
namespace
{

constexpr std::size_t name_column_width = 20;

constexpr std::string_view help_header =
    R"(nutmegusherctl: declares classes of work and shows the state of processes

  nutmegusherctl COMMAND [--address IP:PORT] [OPTIONS]

Commands (each has --help):
)";

constexpr std::string_view help_footer = R"(
  --address IP:PORT   operators' address of a process; several are separated by
                      commas and tried in turn. Default: NUTMEGUSHER_ADDRESS
  --json              print JSON
  --version           print the version

Exit codes: 0 done, 1 failed or unavailable (a change may be resent with its
--change-id), 2 wrong arguments or invalid input, 3 conflict with another change,
4 not in force everywhere within --wait-seconds.
)";

void print_help(std::ostream& out)
{
    out << help_header;
    for (const auto& each : all_commands())
    {
        std::string name(each.name);
        name.resize(std::max(name_column_width, name.size()), ' ');
        out << "  " << name << each.summary << '\n';
    }
    out << help_footer;
}

// The command whose name the arguments start with; null if there is none. A
// name of two words takes precedence over one of one word.
const command* find_command(std::span<const std::string> arguments)
{
    const auto& first_word = arguments[0];
    const auto first_two_words =
        arguments.size() > 1 ? first_word + " " + arguments[1] : first_word;
    const command* found = nullptr;
    for (const auto& each : all_commands())
    {
        const bool matches =
            each.name == first_two_words || each.name == first_word;
        if (matches &&
            (found == nullptr || each.name.size() > found->name.size()))
        {
            found = &each;
        }
    }
    return found;
}

cxxopts::Options make_options(const command& selected)
{
    cxxopts::Options options(
        "nutmegusherctl " + std::string(selected.name),
        std::string(selected.summary));
    auto add = options.add_options();
    add("address",
        "operators' address of a process, IP:PORT",
        cxxopts::value<std::string>());
    add("json", "print JSON");
    add("help", "print this help");
    selected.add_options(add);
    if (!selected.positional.empty())
    {
        const std::string name(selected.positional);
        add(name, "name of the class", cxxopts::value<std::string>());
        options.parse_positional(name);
        options.positional_help("NAME");
    }
    return options;
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);)
    {
        if (!part.empty())
        {
            parts.push_back(part);
        }
    }
    return parts;
}

std::optional<std::string>
missing_option(const command& selected, const cxxopts::ParseResult& parsed)
{
    for (const auto& name : split(std::string(selected.required), ' '))
    {
        if (parsed.count(name) == 0)
        {
            return "--" + name;
        }
    }
    const std::string positional(selected.positional);
    if (selected.name.starts_with("class ") &&
        selected.name != "class history" && !positional.empty() &&
        parsed.count(positional) == 0)
    {
        return "NAME";
    }
    return std::nullopt;
}

leaf::result<std::vector<http_exchange>>
connect_all(const environment& env, const std::string& addresses)
{
    std::vector<http_exchange> exchanges;
    for (const auto& address : split(addresses, ','))
    {
        BOOST_LEAF_AUTO(exchange, env.connect(address));
        exchanges.push_back(std::move(exchange));
    }
    if (exchanges.empty())
    {
        return leaf::new_error(bad_address{addresses});
    }
    return exchanges;
}

exit_code run_connected(
    const command& selected,
    const cxxopts::ParseResult& parsed,
    const environment& env)
{
    const auto addresses = parsed.count("address") > 0
                               ? parsed["address"].as<std::string>()
                               : env.default_address;
    std::vector<http_exchange> exchanges;
    const auto connected = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_ASSIGN(exchanges, connect_all(env, addresses));
            return true;
        },
        [&](const bad_address& error)
        {
            env.error << "error: '" << error.text
                      << "' is not an address; give --address IP:PORT\n";
            return false;
        },
        []
        {
            return false;
        });
    if (!connected)
    {
        return exit_code::bad_usage;
    }
    operator_client client(std::move(exchanges), env);
    const command_context context{
        env, client, parsed, parsed.count("json") > 0};
    return selected.run(context);
}

exit_code run_command(
    const command& selected,
    std::span<const std::string> arguments,
    const environment& env)
{
    auto options = make_options(selected);
    std::vector<const char*> words{"nutmegusherctl"};
    for (const auto& argument : arguments)
    {
        words.push_back(argument.c_str());
    }
    const auto parsed =
        options.parse(static_cast<int>(words.size()), words.data());
    if (parsed.count("help") > 0)
    {
        env.out << options.help();
        return exit_code::success;
    }
    if (!parsed.unmatched().empty())
    {
        env.error << "error: unexpected argument '"
                  << parsed.unmatched().front() << "'\n";
        return exit_code::bad_usage;
    }
    if (const auto missing = missing_option(selected, parsed))
    {
        env.error << "error: " << *missing << " is missing\n";
        return exit_code::bad_usage;
    }
    return run_connected(selected, parsed, env);
}

} // namespace

exit_code run(std::span<const std::string> arguments, const environment& env)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help")
    {
        print_help(arguments.empty() ? env.error : env.out);
        return arguments.empty() ? exit_code::bad_usage : exit_code::success;
    }
    if (arguments[0] == "--version")
    {
        env.out << "nutmegusherctl " << NUTMEGUSHER_VERSION << '\n';
        return exit_code::success;
    }
    const auto* const selected = find_command(arguments);
    if (selected == nullptr)
    {
        env.error << "error: no such command; see --help\n";
        return exit_code::bad_usage;
    }
    const auto words =
        std::count(selected->name.begin(), selected->name.end(), ' ');
    try
    {
        return run_command(
            *selected,
            arguments.subspan(static_cast<std::size_t>(words) + 1),
            env);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        env.error << "error: " << error.what() << '\n';
        return exit_code::bad_usage;
    }
}

} // namespace nutmegusher::ctl
