#include "nutmegusher/node/control_events.hpp"

namespace nutmegusher::node::internal
{

namespace
{

std::uint64_t widen(std::uint32_t value)
{
    return value;
}

} // namespace

void log_leadership(
    std::uint32_t group,
    const leadership& current,
    bool is_leader,
    bool was_leader)
{
    if (is_leader && !was_leader)
    {
        log_event(
            event::control_leader_elected,
            {{"group", widen(group)}, {"term", current.term}});
    }
    else if (was_leader && !is_leader)
    {
        log_event(
            event::control_stepped_down,
            {{"group", widen(group)}, {"term", current.term}});
    }
}

void log_members_changed(std::uint32_t group, int members)
{
    log_event(
        event::control_membership_changed,
        {{"group", widen(group)}, {"members", std::int64_t{members}}});
}

void log_storage_failed(std::uint32_t group, const storage_failure& failure)
{
    const auto fault = static_cast<std::uint64_t>(failure.fault);
    log_event(
        event::control_storage_failed,
        {{"group", widen(group)},
         {"fault", fault},
         {"file", std::string_view(failure.file)},
         {"offset", failure.offset},
         {"code", std::int64_t{failure.code}}});
}

void log_change(
    const messages::change& change, const messages::change_result& result)
{
    const bool accepted = result.verdict() == messages::change_accepted;
    log_event(
        accepted ? event::control_change_accepted
                 : event::control_change_refused,
        {{"change_id", std::string_view(change.change_id())},
         {"author", std::string_view(change.author())},
         {"verdict", std::int64_t{result.verdict()}},
         {"revision", result.revision()}});
}

} // namespace nutmegusher::node::internal
