// Writes the log events of the replicated logs.
#ifndef NUTMEGUSHER_NODE_CONTROL_EVENTS_HPP
#define NUTMEGUSHER_NODE_CONTROL_EVENTS_HPP

#include "nutmegusher/control/control.hpp"

#include <cstdint>

namespace nutmegusher::node::internal
{

// `is_leader`: this host leads from now on. `was_leader`: this host led until
// now.
void log_leadership(
    std::uint32_t group,
    const leadership& current,
    bool is_leader,
    bool was_leader);
void log_members_changed(std::uint32_t group, int members);
void log_storage_failed(std::uint32_t group, const storage_failure& failure);
void log_change(
    const messages::change& change, const messages::change_result& result);

} // namespace nutmegusher::node::internal

#endif
