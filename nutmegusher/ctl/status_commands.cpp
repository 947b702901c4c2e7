// Commands that show the rollout of revisions to the daemons.
#include "nutmegusher/ctl/command.hpp"
#include "nutmegusher/ctl/json_text.hpp"
#include "nutmegusher/ctl/text_table.hpp"

#include <ostream>

namespace nutmegusher::ctl
{
namespace
{

constexpr duration poll_interval = std::chrono::milliseconds(250);
constexpr std::size_t max_listed_hosts = 3;

// How many daemons run a given revision or a later one.
struct rollout_state
{
    std::uint64_t daemons = 0;
    std::uint64_t in_force = 0;

    [[nodiscard]] bool complete() const
    {
        return daemons > 0 && in_force == daemons;
    }
};

rollout_state count_rollout(const json::value& reply, revision wanted)
{
    rollout_state state;
    if (find_field(reply, "counts") == nullptr)
    {
        // The totals refer to the latest revision. If that is older than
        // `wanted`, `wanted` isn't in force anywhere.
        const bool covers_wanted =
            number_field(reply, "revision") >= wanted.value();
        state.daemons = number_field(reply, "daemons");
        state.in_force = covers_wanted ? number_field(reply, "in_force") : 0;
        return state;
    }
    for (const auto& each : array_field(reply, "counts"))
    {
        const auto daemons = number_field(each, "daemons");
        state.daemons += daemons;
        state.in_force +=
            number_field(each, "revision") >= wanted.value() ? daemons : 0;
    }
    return state;
}

std::string lagging_names(const json::value& reply, revision wanted)
{
    std::string out;
    std::size_t listed = 0;
    for (const auto& each : array_field(reply, "lagging"))
    {
        if (number_field(each, "revision") < wanted.value() &&
            listed++ < max_listed_hosts)
        {
            out += (out.empty() ? "" : ", ") + text_field(each, "host");
        }
    }
    return out;
}

void print_status(
    const command_context& context, const json::value& reply, revision wanted)
{
    auto& out = context.env.out;
    const auto state = count_rollout(reply, wanted);
    out << "revision " << wanted.value() << " is in force at " << state.in_force
        << " of " << state.daemons << " daemons\n";
    text_table table({"lagging daemon", "revision"});
    for (const auto& each : array_field(reply, "lagging"))
    {
        if (number_field(each, "revision") < wanted.value())
        {
            table.add({text_field(each, "host"), text_field(each, "revision")});
        }
    }
    if (!table.empty())
    {
        table.print(out);
    }
}

duration wait_limit(const command_context& context)
{
    return std::chrono::seconds(
        context.options["wait-seconds"].as<std::uint32_t>());
}

} // namespace

void add_wait_options(cxxopts::OptionAdder& add)
{
    add("wait", "wait until the revision is in force everywhere");
    add("wait-seconds",
        "maximum time to wait",
        cxxopts::value<std::uint32_t>()->default_value("30"));
}

void add_status_options(cxxopts::OptionAdder& add)
{
    add("revision",
        "show this revision instead of the latest",
        cxxopts::value<std::uint64_t>());
    add_wait_options(add);
}

exit_code show_status(const command_context& context)
{
    const auto reply = context.client.get("/v1/rollout");
    if (!reply)
    {
        return report_error(context, reply.error());
    }
    const revision wanted(
        context.has("revision")
            ? context.options["revision"].as<std::uint64_t>()
            : number_field(*reply, "revision"));
    if (context.has("wait"))
    {
        return wait_until_in_force(context, wanted);
    }
    if (context.as_json)
    {
        print_json(context.env.out, *reply);
        return exit_code::success;
    }
    print_status(context, *reply, wanted);
    return exit_code::success;
}

exit_code wait_until_in_force(const command_context& context, revision wanted)
{
    const auto& env = context.env;
    const auto deadline = env.now() + wait_limit(context);
    while (true)
    {
        const auto reply = context.client.get("/v1/rollout");
        if (!reply)
        {
            return report_error(context, reply.error());
        }
        const auto state = count_rollout(*reply, wanted);
        if (state.complete())
        {
            env.out << "revision " << wanted.value() << " is in force at all "
                    << state.daemons << " daemons\n";
            return exit_code::success;
        }
        if (env.now() >= deadline)
        {
            print_status(context, *reply, wanted);
            return exit_code::timed_out;
        }
        env.error << "revision " << wanted.value() << ": " << state.in_force
                  << " of " << state.daemons << " daemons; waiting for "
                  << lagging_names(*reply, wanted) << '\n';
        env.sleep(poll_interval);
    }
}

} // namespace nutmegusher::ctl
