// The steps that replace one control host by another, one membership at a
// time. Each step is worked out from the present membership alone, so that a
// repair that was interrupted goes on where it was, at whichever leader.
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
can_take_leadership(const replica& core, replica_id member, time_point now);

// One member as the leader sees it now.
struct member_view
{
    messages::replica_member member;
    // How long nothing was heard of it; zero for the leader itself.
    duration silent_for{0};
    // Holds all that is committed.
    bool caught_up = false;
};

// How many voters there should be, and when one counts as lost.
struct voter_goal
{
    // Twice the losses to be borne at once, plus one.
    std::size_t voters = 0;
    // Above what a freeze of the scheduler, an election and a repeated packet
    // take together; far below the time until a second loss.
    duration lost_after = std::chrono::seconds(2);
};

// The membership that brings the group nearer to the goal, one change at a
// time; nothing where there is none to make. `join_requests` are hosts that
// want to be voters.
//
// Without it each lost disk needs an operator before the next loss, and two
// of them leave five voters with no majority after a third.
//
// - A lost voter is removed only when its successor votes, and only where the
//   voters that answer are a majority without it: so a partition removes
//   nobody.
// - A voter whose host has come back under a new identity is lost for good.
// - A host beyond the goal stays a learner until a voter is lost.
[[nodiscard]] std::optional<messages::replica_set> next_membership(
    const voter_goal& goal,
    std::span<const member_view> present,
    std::span<const messages::replica_member> join_requests);

} // namespace nutmegusher

#endif
