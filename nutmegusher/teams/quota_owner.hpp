// The owner of all teams' quotas: hands out tokens, each of which lets in
// one request of a team.
//
//     quota_owner owner(term, now, bounds);
//     owner.set_limits(table.teams(), now);
//     const auto reply = owner.answer(request, now);
//
// Pattern of load: one team sends many times its usual, at all daemons at once,
// each of which sees a small part. A fixed part of the quota for each
// daemon would refuse nearly all requests of a small team whose callers are at
// a few daemons; a question for each request would cost a round trip and stop
// the team while there is no owner.
//
// - A token bucket per team: `rate` tokens a second, at most `burst`.
// - A daemon holds a few tokens of the teams that it serves, and asks for more
//   as it uses them. The tokens of a team that are held anywhere are bounded by
//   a part of what operators allow beyond the quota. So in any window no
//   more requests run than tokens were held when it began and handed out in it.
// - Tokens end `holding_lifetime` after their holder's last exchange with the
//   owner. Unused ones that a holder reports go back into the bucket.
//
// A new owner (the leader of a later term) doesn't know which tokens are held.
// Its buckets are empty and fill only once the earlier owner has stopped. Until
// the tokens of the earlier one have ended, it lets daemons hold no more than
// those that have introduced themselves brought along, and a small reserve. A
// daemon brings its tokens by one exchange in which it learns the term, and
// confirms by the next one that it accepts no reply of an earlier term.
//
// Times are of a clock that keeps running while the host is suspended.
#ifndef NUTMEGUSHER_TEAMS_QUOTA_OWNER_HPP
#define NUTMEGUSHER_TEAMS_QUOTA_OWNER_HPP

#include "nutmegusher/messages/quota.pb.h"
#include "nutmegusher/teams/quota.hpp"
#include "nutmegusher/teams/team_table.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegusher
{

// The state of one team's quota, for the state dump.
struct quota_state
{
    std::string team;
    quota limit;
    // Tokens that may be handed out now, and those that daemons hold.
    double available = 0;
    double held = 0;
};

class quota_owner
{
public:
    // `term` grows with each change of the owner.
    quota_owner(
        std::uint64_t term,
        time_point now,
        const quota_bounds& bounds,
        const quota_times& times = {});

    [[nodiscard]] std::uint64_t term() const
    {
        return term_;
    }

    // Replaces all limits. The tokens of a team whose limit stays are kept.
    void set_limits(std::span<const team> teams, time_point now);

    // Settles what the daemon holds and has used, and grants what it asks for.
    // Requires: this host is the owner now.
    [[nodiscard]] messages::quota_reply
    answer(const messages::quota_request& request, time_point now);

    [[nodiscard]] std::vector<quota_state> state(time_point now) const;

    [[nodiscard]] std::size_t holders() const
    {
        return holders_.size();
    }

    // The part of the allowed excess that may be held, and what a new owner may
    // add to the tokens that were brought along. Leaves room for two changes of
    // the owner within `holding_lifetime`, and a tenth.
    static constexpr double held_share = 0.6;
    static constexpr double reserve_share = 0.15;

private:
    struct account
    {
        quota limit;
        double tokens = 0;
        time_point updated_at;
        double held = 0;
        // Held by daemons that have confirmed this owner, when they did.
        double brought_along = 0;
        // When the last refused request was told to come back.
        time_point last_return;
    };

    struct holder
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        time_point expires_at;
        bool confirmed = false;
        std::unordered_map<std::string, double> held;
    };

    holder* find_holder(const messages::quota_request& request, time_point now);
    void introduce(
        holder& from,
        const messages::quota_request& request,
        time_point now,
        messages::quota_reply& reply);
    void confirm(holder& from, time_point now);
    void settle(
        holder& from, const messages::quota_request& request, time_point now);
    [[nodiscard]] messages::team_grant
    grant(holder& from, const messages::team_holding& holding, time_point now);
    void refuse(
        account& of,
        std::uint32_t requests,
        time_point now,
        messages::team_grant& grant) const;
    void release(holder& of);
    void expire(time_point now);
    void refill(account& of, time_point now) const;
    [[nodiscard]] double max_held(const account& of, time_point now) const;

    std::uint64_t term_;
    quota_bounds bounds_;
    quota_times times_;
    // When the earlier owner has stopped, and when its tokens have ended.
    time_point accrues_from_;
    time_point settled_from_;
    std::unordered_map<std::string, account> accounts_;
    std::unordered_map<std::string, holder> holders_;
};

} // namespace nutmegusher

#endif
