// The membership changes that replace one control host by another, one change
// at a time. Each step is derived from the present membership alone, so that
// any leader can continue an interrupted repair.
#ifndef NUTMEGUSHER_CONTROL_MEMBERSHIP_PLAN_HPP
#define NUTMEGUSHER_CONTROL_MEMBERSHIP_PLAN_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/replica.hpp"
#include "nutmegusher/messages/replication.pb.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace nutmegusher
{

// The goal of a repair. Both hosts may have the same name: a host that lost its
// disk is replaced by itself under its new identity.
struct replacement
{
    host_id old_host;
    // The new member, with identity, host and address; `voter` is ignored.
    messages::replica_member added;
};

enum class replacement_step : std::uint8_t
{
    add_learner,
    catch_up, // wait until the learner has all committed entries
    promote,
    remove_old,
    done
};

// The next step from the membership `present`. `caught_up`: whether the leader
// knows that the added member holds all committed entries.
[[nodiscard]] replacement_step next_step(
    const messages::replica_set& present,
    const replacement& wanted,
    bool caught_up);

// The membership after a step; no value for `catch_up` and `done`.
[[nodiscard]] std::optional<messages::replica_set> membership_after(
    const messages::replica_set& present,
    const replacement& wanted,
    replacement_step step);

// True if the leader `core` knows that the member holds all committed entries.
[[nodiscard]] bool
is_caught_up(const replica& core, replica_id member, time_point now);

// True if, in addition, the member doesn't decline leadership.
[[nodiscard]] bool
can_take_leadership(const replica& core, replica_id member, time_point now);

// One member as the leader sees it at present.
struct member_view
{
    messages::replica_member member;
    // Time since the last contact with it; zero for the leader itself.
    duration silent_for{0};
    // True if it holds all committed entries.
    bool caught_up = false;
};

// The desired number of voters, and when a voter counts as lost.
struct voter_goal
{
    // Twice the number of simultaneous losses to tolerate, plus one.
    std::size_t voters = 0;
    // Longer than a scheduler stall, an election and a retransmission together;
    // far shorter than the expected time until a second loss.
    duration lost_after = std::chrono::seconds(2);
};

// Returns the next membership on the way to the goal, which differs by one
// change; no value if no change is needed or safe. `join_requests` are hosts
// that want to be voters.
//
// Without these automatic repairs, an operator has to replace each lost disk
// before the next loss; two unrepaired losses leave five voters without a
// majority after a third.
//
// - A lost voter is removed only when its successor is a voter, and only if the
//   responding voters are a majority without it, so a network partition removes
//   nobody.
// - A voter whose host has rejoined under a new identity is lost permanently.
// - A host beyond the desired number stays a learner until a voter is lost.
[[nodiscard]] std::optional<messages::replica_set> next_membership(
    const voter_goal& goal,
    std::span<const member_view> present,
    std::span<const messages::replica_member> join_requests);

} // namespace nutmegusher

#endif
