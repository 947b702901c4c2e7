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

constexpr std::size_t name_column = 20;

constexpr std::string_view help_head =
    R"(nutmegusherctl: declares classes of work and shows what is in force

  nutmegusherctl COMMAND [--address IP:PORT] [OPTIONS]

Commands (each has --help):
)";

constexpr std::string_view help_tail = R"(
  --address IP:PORT   operators' address of a process; several are separated by
                      commas and tried in turn. NUTMEGUSHER_ADDRESS stands for it
  --json              the answer as JSON
  --version

Exit codes: 0 done, 1 failed or unavailable (a change may be resent with its
--change-id), 2 wrong arguments or invalid input, 3 conflict with another change,
4 not in force everywhere before --wait-seconds were over.
)";

void print_help(std::ostream& out)
{
    out << help_head;
    for (const auto& each : all_commands())
    {
        std::string name(each.name);
        name.resize(std::max(name_column, name.size()), ' ');
        out << "  " << name << each.summary << '\n';
    }
    out << help_tail;
}

// The longest name that the arguments begin with.
const command* find_command(std::span<const std::string> arguments)
{
    const auto& one = arguments[0];
    const auto two = arguments.size() > 1 ? one + " " + arguments[1] : one;
    const command* found = nullptr;
    for (const auto& each : all_commands())
    {
        const bool fits = each.name == two || each.name == one;
        if (fits && (found == nullptr || each.name.size() > found->name.size()))
        {
            found = &each;
        }
    }
    return found;
}

cxxopts::Options make_options(const command& which)
{
    cxxopts::Options options(
        "nutmegusherctl " + std::string(which.name),
        std::string(which.summary));
    auto add = options.add_options();
    add("address", "operators' address", cxxopts::value<std::string>());
    add("json", "the answer as JSON");
    add("help", "this text");
    which.add_options(add);
    if (!which.positional.empty())
    {
        const std::string name(which.positional);
        add(name, "the class", cxxopts::value<std::string>());
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
missing_option(const command& which, const cxxopts::ParseResult& given)
{
    for (const auto& name : split(std::string(which.required), ' '))
    {
        if (given.count(name) == 0)
        {
            return "--" + name;
        }
    }
    const std::string positional(which.positional);
    if (which.name.starts_with("class ") && which.name != "class history" &&
        !positional.empty() && given.count(positional) == 0)
    {
        return "NAME";
    }
    return std::nullopt;
}

leaf::result<std::vector<http_exchange>>
connect_all(const environment& where, const std::string& addresses)
{
    std::vector<http_exchange> exchanges;
    for (const auto& address : split(addresses, ','))
    {
        BOOST_LEAF_AUTO(exchange, where.connect(address));
        exchanges.push_back(std::move(exchange));
    }
    if (exchanges.empty())
    {
        return leaf::new_error(bad_address{addresses});
    }
    return exchanges;
}

exit_code run_connected(
    const command& which,
    const cxxopts::ParseResult& given,
    const environment& where)
{
    const auto addresses = given.count("address") > 0
                               ? given["address"].as<std::string>()
                               : where.default_address;
    std::vector<http_exchange> exchanges;
    const auto reached = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_ASSIGN(exchanges, connect_all(where, addresses));
            return true;
        },
        [&](const bad_address& wrong)
        {
            where.error << "error: '" << wrong.text
                        << "' is not an address; give --address IP:PORT\n";
            return false;
        },
        []
        {
            return false;
        });
    if (!reached)
    {
        return exit_code::bad_usage;
    }
    operator_client client(std::move(exchanges), where);
    const command_context context{
        where, client, given, given.count("json") > 0};
    return which.run(context);
}

exit_code run_command(
    const command& which,
    std::span<const std::string> arguments,
    const environment& where)
{
    auto options = make_options(which);
    std::vector<const char*> words{"nutmegusherctl"};
    for (const auto& argument : arguments)
    {
        words.push_back(argument.c_str());
    }
    const auto given =
        options.parse(static_cast<int>(words.size()), words.data());
    if (given.count("help") > 0)
    {
        where.out << options.help();
        return exit_code::success;
    }
    if (!given.unmatched().empty())
    {
        where.error << "error: unexpected argument '"
                    << given.unmatched().front() << "'\n";
        return exit_code::bad_usage;
    }
    if (const auto missing = missing_option(which, given))
    {
        where.error << "error: " << *missing << " is missing\n";
        return exit_code::bad_usage;
    }
    return run_connected(which, given, where);
}

} // namespace

exit_code run(std::span<const std::string> arguments, const environment& where)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help")
    {
        print_help(arguments.empty() ? where.error : where.out);
        return arguments.empty() ? exit_code::bad_usage : exit_code::success;
    }
    if (arguments[0] == "--version")
    {
        where.out << "nutmegusherctl " << NUTMEGUSHER_VERSION << '\n';
        return exit_code::success;
    }
    const auto* const which = find_command(arguments);
    if (which == nullptr)
    {
        where.error << "error: no such command; see --help\n";
        return exit_code::bad_usage;
    }
    const auto words = std::count(which->name.begin(), which->name.end(), ' ');
    try
    {
        return run_command(
            *which,
            arguments.subspan(static_cast<std::size_t>(words) + 1),
            where);
    }
    catch (const cxxopts::exceptions::exception& wrong)
    {
        where.error << "error: " << wrong.what() << '\n';
        return exit_code::bad_usage;
    }
}

} // namespace nutmegusher::ctl
