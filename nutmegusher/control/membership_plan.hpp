// The steps that replace one control host by another, one membership at a
// time. Each step is worked out from the present membership alone, so that a
// repair that was interrupted goes on where it was, at whichever leader.
#ifndef NUTMEGUSHER_CONTROL_MEMBERSHIP_PLAN_HPP
#define NUTMEGUSHER_CONTROL_MEMBERSHIP_PLAN_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/replica.hpp"
#include "nutmegusher/messages/replication.pb.h"

#include <cstdint>
#include <optional>

namespace nutmegusher
{

// What a repair is to bring about. The two hosts may have one name: a host
// that lost its disk is replaced by itself under its new identity.
struct replacement
{
    host_id old_host;
    // With identity, host and address; `voter` isn't looked at.
    messages::replica_member added;
};

enum class replacement_step : std::uint8_t
{
    add_learner,
    catch_up, // wait: the learner lacks committed entries
    promote,
    remove_old,
    done
};

// The next step from `present`. `caught_up`: the added member holds all that
// is committed, as the leader knows it.
[[nodiscard]] replacement_step next_step(
    const messages::replica_set& present,
    const replacement& wanted,
    bool caught_up);

// The membership that a step makes; nothing for `catch_up` and `done`.
[[nodiscard]] std::optional<messages::replica_set> membership_after(
    const messages::replica_set& present,
    const replacement& wanted,
    replacement_step step);

// True where the leader `core` knows the member to hold all that is committed.
[[nodiscard]] bool
is_caught_up(const replica& core, replica_id member, time_point now);

// The same, and it would take leadership over.
[[nodiscard]] bool
can_succeed(const replica& core, replica_id member, time_point now);

} // namespace nutmegusher

#endif
