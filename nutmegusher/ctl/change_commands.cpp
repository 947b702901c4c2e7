// Commands that declare, change, remove and list classes of work.
#include "nutmegusher/control/control.hpp"
#include "nutmegusher/ctl/command.hpp"
#include "nutmegusher/ctl/dry_run.hpp"
#include "nutmegusher/ctl/json_text.hpp"
#include "nutmegusher/ctl/text_table.hpp"

#include <boost/json/serialize.hpp>

#include <cmath>
#include <ostream>
#include <utility>

namespace nutmegusher::ctl
{
namespace
{

constexpr double ppm_per_percent = 10'000.0;

std::string make_change_id(const environment& env)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits_per_digit = 4;
    constexpr std::uint64_t digit_mask = 15;
    std::string id;
    for (int half = 0; half < 2; ++half)
    {
        auto bits = env.random();
        for (std::size_t digit = 0; digit < digits.size(); ++digit)
        {
            id += digits[bits & digit_mask];
            bits >>= bits_per_digit;
        }
    }
    return id;
}

messages::change make_change(const command_context& context)
{
    messages::change out;
    out.set_change_id(
        context.has("change-id") ? context.text("change-id")
                                 : make_change_id(context.env));
    out.set_author(
        context.has("author") ? context.text("author") : context.env.author);
    return out;
}

// `--completion` in parts per million. A value that isn't a percentage becomes
// an out-of-range one, so that `check_change` rejects it and names the field.
std::uint32_t completion_ppm(const command_context& context)
{
    const auto percent = context.options["completion"].as<double>();
    const auto ppm = std::round(percent * ppm_per_percent);
    const bool in_range = ppm >= 0 && ppm <= max_completion_ppm;
    return in_range ? static_cast<std::uint32_t>(ppm) : max_completion_ppm + 1;
}

void read_target(const command_context& context, messages::class_target& out)
{
    out.set_latency_ms(context.options["latency-ms"].as<std::uint32_t>());
    out.set_completion_ppm(completion_ppm(context));
}

void print_accepted(
    const command_context& context,
    const messages::change& change,
    const json::value& reply)
{
    if (context.as_json)
    {
        print_json(context.env.out, reply);
        return;
    }
    context.env.out << "accepted as revision "
                    << number_field(reply, "revision") << ", change id "
                    << change.change_id() << '\n';
}

void print_refused(
    const command_context& context,
    const messages::change& change,
    const client_error& error)
{
    auto& out = context.env.error;
    print_error(out, error);
    if (error.problem == client_problem::conflict)
    {
        out << "the class is at revision "
            << number_field(error.body, "revision") << " now; review it"
            << " and resubmit\n";
    }
    else if (exit_code_of(error) == exit_code::failed)
    {
        out << "the change may have been accepted; to resend it:"
            << " --change-id " << change.change_id() << " --based-on "
            << change.based_on() << '\n';
    }
}

exit_code submit(const command_context& context, const messages::change& change)
{
    context.env.error << "change id " << change.change_id() << '\n';
    const auto reply =
        context.client.submit_change(json::serialize(to_json(change)));
    if (!reply)
    {
        print_refused(context, change, reply.error());
        return exit_code_of(reply.error());
    }
    print_accepted(context, change, *reply);
    return context.has("wait")
               ? wait_until_in_force(
                     context, revision(number_field(*reply, "revision")))
               : exit_code::success;
}

exit_code report_bad_usage(
    const command_context& context, const configuration_problem& problem)
{
    context.env.error << "error: "
                      << messages::change_problem_Name(problem.problem) << " ("
                      << problem.field << ")\n";
    return exit_code::bad_usage;
}

// Validates the change, then submits it, or prints its effect for `--dry-run`.
// Without `--based-on`, the change is based on the class's current revision.
// `name`: the changed class.
exit_code validate_and_submit(
    const command_context& context,
    const std::string& name,
    messages::change change)
{
    if (const auto problem = check_change(change))
    {
        return report_bad_usage(context, *problem);
    }
    if (context.has("based-on") && !context.has("dry-run"))
    {
        change.set_based_on(context.options["based-on"].as<std::uint64_t>());
        return submit(context, change);
    }
    const auto current = context.client.get("/v1/configuration");
    if (!current)
    {
        return report_error(context, current.error());
    }
    if (context.has("dry-run"))
    {
        const auto effect = compute_effect(change, *current);
        context.as_json ? print_json(context.env.out, to_json(effect))
                        : print_effect(context.env.out, effect);
        return exit_code::success;
    }
    const auto* const current_class = find_class(*current, name);
    change.set_based_on(
        current_class == nullptr ? 0
                                 : number_field(*current_class, "revision"));
    return submit(context, change);
}

std::string change_kind(const json::value& change)
{
    if (find_field(change, "declare") != nullptr)
    {
        return "declare";
    }
    return find_field(change, "set_target") != nullptr ? "set target"
                                                       : "remove";
}

std::string affected_class_name(const json::value& change)
{
    if (const auto* const declared = find_field(change, "declare"))
    {
        return text_field(*declared, "name");
    }
    if (const auto* const target = find_field(change, "set_target"))
    {
        return text_field(*target, "class_name");
    }
    return text_field(change, "remove_class");
}

} // namespace

void add_change_options(cxxopts::OptionAdder& add)
{
    add("change-id",
        "identifies the change, so that a resend has no second effect; "
        "generated if missing",
        cxxopts::value<std::string>());
    add("based-on",
        "revision of the class that the change starts from; current if missing",
        cxxopts::value<std::uint64_t>());
    add("author",
        "author of the change, for the history",
        cxxopts::value<std::string>());
    add("dry-run", "show the effect without making the change");
    add_wait_options(add);
}

void add_target_options(cxxopts::OptionAdder& add)
{
    add("latency-ms",
        "target time to the complete answer, in milliseconds",
        cxxopts::value<std::uint32_t>());
    add("completion",
        "percent of the offered requests that must complete",
        cxxopts::value<double>());
    add_change_options(add);
}

void add_declare_options(cxxopts::OptionAdder& add)
{
    add("service",
        "service that the class belongs to",
        cxxopts::value<std::string>());
    add("method", "HTTP method; any if missing", cxxopts::value<std::string>());
    add("path",
        "prefix of the path below the service",
        cxxopts::value<std::string>()->default_value("/"));
    add("rank", "0 is refused last, 9 first", cxxopts::value<std::uint32_t>());
    add("repeatable", "requests may safely run more than once");
    add("bulk", "long transfers, kept apart from short requests");
    add_target_options(add);
}

exit_code declare_class(const command_context& context)
{
    auto change = make_change(context);
    auto& declared = *change.mutable_declare();
    declared.set_name(context.text("name"));
    declared.set_service(context.text("service"));
    declared.set_method(context.text("method"));
    declared.set_path_prefix(context.options["path"].as<std::string>());
    declared.set_rank(context.options["rank"].as<std::uint32_t>());
    declared.set_repeatable(context.has("repeatable"));
    declared.set_bulk(context.has("bulk"));
    read_target(context, *declared.mutable_target());
    return validate_and_submit(
        context, context.text("name"), std::move(change));
}

exit_code set_target(const command_context& context)
{
    auto change = make_change(context);
    change.mutable_set_target()->set_class_name(context.text("name"));
    read_target(context, *change.mutable_set_target()->mutable_target());
    return validate_and_submit(
        context, context.text("name"), std::move(change));
}

exit_code remove_class(const command_context& context)
{
    auto change = make_change(context);
    change.set_remove_class(context.text("name"));
    return validate_and_submit(
        context, context.text("name"), std::move(change));
}

exit_code list_classes(const command_context& context)
{
    const auto reply = context.client.get("/v1/configuration");
    if (!reply)
    {
        return report_error(context, reply.error());
    }
    if (context.as_json)
    {
        print_json(context.env.out, *reply);
        return exit_code::success;
    }
    context.env.out << "revision " << number_field(*reply, "revision") << '\n';
    text_table table(
        {"class",
         "service",
         "method",
         "path",
         "rank",
         "repeatable",
         "bulk",
         "latency ms",
         "completion ppm",
         "revision"});
    for (const auto& each : array_field(*reply, "classes"))
    {
        const auto* const target = find_field(each, "target");
        const auto target_field = [target](std::string_view field)
        {
            return target == nullptr ? "" : text_field(*target, field);
        };
        table.add(
            {text_field(each, "name"),
             text_field(each, "service"),
             text_field(each, "method"),
             text_field(each, "path_prefix"),
             text_field(each, "rank"),
             text_field(each, "repeatable"),
             text_field(each, "bulk"),
             target_field("latency_ms"),
             target_field("completion_ppm"),
             text_field(each, "revision")});
    }
    table.print(context.env.out);
    return exit_code::success;
}

exit_code show_history(const command_context& context)
{
    const auto reply = context.client.get("/v1/history");
    if (!reply)
    {
        return report_error(context, reply.error());
    }
    if (context.as_json)
    {
        print_json(context.env.out, *reply);
        return exit_code::success;
    }
    text_table table({"revision", "what", "class", "author", "change id"});
    const auto* const all = reply->if_array();
    for (const auto& each :
         all != nullptr ? *all : array_field(*reply, "changes"))
    {
        const auto* const change = find_field(each, "change");
        if (change == nullptr ||
            (context.has("name") &&
             affected_class_name(*change) != context.text("name")))
        {
            continue;
        }
        table.add(
            {text_field(each, "revision"),
             change_kind(*change),
             affected_class_name(*change),
             text_field(*change, "author"),
             text_field(*change, "change_id")});
    }
    table.print(context.env.out);
    return exit_code::success;
}

} // namespace nutmegusher::ctl
