// Commands that show and settle calls that may not be repeated.
#include "nutmegusher/ctl/command.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cctype>
#include <ostream>

namespace nutmegusher::ctl
{
namespace
{

// The text as a value in a URL's query.
std::string percent_encoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned high_digit_shift = 4;
    constexpr unsigned low_digit_mask = 15;
    std::string out;
    for (const auto each : text)
    {
        const auto byte = static_cast<unsigned char>(each);
        if (std::isalnum(byte) != 0 || each == '-' || each == '_' ||
            each == '.')
        {
            out += each;
            continue;
        }
        out += '%';
        out += digits[byte >> high_digit_shift];
        out += digits[byte & low_digit_mask];
    }
    return out;
}

std::string outcome_target(const command_context& context)
{
    return "/v1/outcome?customer=" + percent_encoded(context.text("customer")) +
           "&class=" + percent_encoded(context.text("class")) +
           "&key=" + percent_encoded(context.text("key"));
}

bool is_holder(const json::value& holder, const command_context& context)
{
    return text_field(holder, "executor_host") == context.text("executor") &&
           number_field(holder, "execution") ==
               context.options["execution"].as<std::uint64_t>();
}

exit_code
report_bad_usage(const command_context& context, std::string_view message)
{
    context.env.error << "error: " << message << '\n';
    return exit_code::bad_usage;
}

exit_code
send_settlement(const command_context& context, const json::value& holder)
{
    json::object body{
        {"customer", context.text("customer")},
        {"class", context.text("class")},
        {"key", context.text("key")},
        {"holder", holder}};
    if (context.has("never-ran"))
    {
        body["never_ran"] = true;
    }
    else
    {
        body["status"] = context.options["ran"].as<std::uint32_t>();
    }
    const auto reply =
        context.client.post_once("/v1/outcome", json::serialize(body));
    if (!reply)
    {
        if (reply.error().problem == client_problem::no_reply)
        {
            context.env.error
                << "the call may have been settled; see `outcome`\n";
        }
        return report_error(context, reply.error());
    }
    context.env.out << "settled\n";
    return exit_code::success;
}

} // namespace

void add_outcome_options(cxxopts::OptionAdder& add)
{
    add("customer",
        "customer that made the call",
        cxxopts::value<std::string>());
    add("class", "class of the call", cxxopts::value<std::string>());
    add("key", "idempotency key of the call", cxxopts::value<std::string>());
}

void add_settle_options(cxxopts::OptionAdder& add)
{
    add_outcome_options(add);
    add("executor",
        "host that holds the call, as `outcome` shows it; its process must "
        "have ended, as a frozen one could still run the call",
        cxxopts::value<std::string>());
    add("execution",
        "number of the execution, as `outcome` shows it",
        cxxopts::value<std::uint64_t>());
    add("never-ran", "the call had no effect; its key becomes free");
    add("ran",
        "the call took effect; later calls get this HTTP status",
        cxxopts::value<std::uint32_t>());
}

exit_code show_outcome(const command_context& context)
{
    return get_and_print(context, outcome_target(context));
}

exit_code settle_outcome(const command_context& context)
{
    if (context.has("never-ran") == context.has("ran"))
    {
        return report_bad_usage(
            context, "give either --never-ran or --ran STATUS");
    }
    const auto reply = context.client.get(outcome_target(context));
    if (!reply)
    {
        return report_error(context, reply.error());
    }
    const auto* const holder = find_field(*reply, "holder");
    if (holder == nullptr || !is_holder(*holder, context))
    {
        context.env.error
            << "error: this execution doesn't hold the call; see `outcome`\n";
        return exit_code::conflict;
    }
    return send_settlement(context, *holder);
}

} // namespace nutmegusher::ctl
