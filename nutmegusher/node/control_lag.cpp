// Logs which hosts lack entries, both on the leader and on the lagging host, so
// that a host that does not catch up is visible from either side.
#include "nutmegusher/node/control_loop.hpp"

#include <algorithm>

namespace nutmegusher::node::internal
{

namespace
{

std::uint64_t to_ms(duration length)
{
    using std::chrono::milliseconds;
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(length).count());
}

std::string host_of(const replica& core, replica_id id)
{
    for (const auto& member : core.members().members())
    {
        if (member.identity() == id.value())
        {
            return member.host();
        }
    }
    return std::string();
}

void log_member_lag(
    const replica& core,
    const follower_progress& member,
    const lag_report& report)
{
    const auto host = host_of(core, member.id);
    const std::uint64_t group = core.group();
    if (report.state == lag_state::ended)
    {
        log_event(
            event::control_member_caught_up,
            {{"group", group},
             {"host", std::string_view(host)},
             {"after_ms", to_ms(report.length)}});
        return;
    }
    const auto lacks = core.commit() - std::min(core.commit(), member.match);
    log_event(
        event::control_member_lags,
        {{"group", group},
         {"host", std::string_view(host)},
         {"for_ms", to_ms(report.length)},
         {"lacks", lacks},
         {"unanswered_bytes", std::uint64_t{member.unanswered_bytes}},
         {"resends", std::uint64_t{member.resends}},
         {"installing", member.installing},
         {"active", member.recently_active}});
}

void log_own_lag(const replica& core, const lag_report& report)
{
    const std::uint64_t group = core.group();
    if (report.state == lag_state::ended)
    {
        log_event(
            event::control_host_current,
            {{"group", group}, {"after_ms", to_ms(report.length)}});
        return;
    }
    const auto leader_commit = core.leader_commit();
    log_event(
        event::control_host_behind,
        {{"group", group},
         {"for_ms", to_ms(report.length)},
         {"lacks", leader_commit - std::min(leader_commit, core.commit())},
         {"leader", core.leader().has_value()}});
}

} // namespace

void control_loop::monitor_lags()
{
    const auto now = host_clock().now();
    for_each_group(
        [&](auto& group)
        {
            if (group.running() != nullptr)
            {
                monitor_group_lag(group.running()->core(), now);
            }
        });
}

void control_loop::monitor_group_lag(const replica& core, time_point now)
{
    auto& monitors = lags_[core.group()];
    const bool behind = !core.leader() || core.leader_commit() > core.commit();
    if (const auto report = monitors.own.update(behind, now))
    {
        log_own_lag(core, *report);
    }
    const auto progress = core.progress(now);
    std::erase_if(
        monitors.members,
        [&progress](const auto& item)
        {
            return std::none_of(
                progress.begin(),
                progress.end(),
                [&item](const auto& each)
                {
                    return each.id == item.first;
                });
        });
    for (const auto& member : progress)
    {
        const bool lags = member.match < core.commit();
        if (const auto report = monitors.members[member.id].update(lags, now))
        {
            log_member_lag(core, member, *report);
        }
    }
}

} // namespace nutmegusher::node::internal
