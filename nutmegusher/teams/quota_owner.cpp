#include "nutmegusher/teams/quota_owner.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher
{

namespace
{

// The part of a bucket that only requests that wait may use, not stocks.
constexpr double waiting_part_of_bucket = 0.25;
// The part of the tokens that may be held which only requests that wait may
// use: they are reported as used soon.
constexpr double waiting_part_of_held = 0.25;
// When a daemon whose requests got no token asks again: the bucket has filled a
// little, and a busy team costs each of its daemons ten questions a second.
constexpr duration ask_again_after = std::chrono::milliseconds(100);
// The longest time that a refused caller is told to wait; the shortest timeout
// of the users' callers is a few times that.
constexpr duration max_retry_after = std::chrono::seconds(1);

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

std::uint32_t to_milliseconds(duration time)
{
    return static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::milliseconds>(time).count());
}

// Whole tokens, at most `wanted`.
std::uint32_t whole_tokens(double available, std::uint32_t wanted)
{
    const double whole = std::floor(std::max(available, 0.0));
    return whole >= wanted ? wanted : static_cast<std::uint32_t>(whole);
}

} // namespace

quota_owner::quota_owner(
    std::uint64_t term,
    time_point now,
    const quota_bounds& bounds,
    const quota_times& times)
    : term_(term)
    , bounds_(bounds)
    , times_(times)
    , accrues_from_(now + times.ownership_lifetime)
    , settled_from_(accrues_from_ + times.holding_lifetime)
{
}

void quota_owner::refill(account& of, time_point now) const
{
    const auto from = std::max(of.updated_at, accrues_from_);
    if (now > from)
    {
        of.tokens += of.limit.rate * seconds_of(now - from);
    }
    of.updated_at = now;
    of.tokens = std::min(of.tokens, of.limit.capacity());
}

// A team that appears begins with an empty bucket: it may have been removed a
// moment ago.
void quota_owner::set_limits(std::span<const team> teams, time_point now)
{
    std::unordered_map<std::string_view, quota> limits;
    for (const auto& each : teams)
    {
        limits.emplace(each.name, each.limit);
        auto& added = accounts_.try_emplace(each.name, account{}).first->second;
        if (!added.limit.is_limited())
        {
            added.updated_at = now;
        }
        refill(added, now);
        added.limit = each.limit;
        refill(added, now);
    }
    for (auto each = accounts_.begin(); each != accounts_.end();)
    {
        const bool is_gone = !limits.contains(each->first);
        each = is_gone && each->second.held <= 0 ? accounts_.erase(each)
                                                 : std::next(each);
    }
}

double quota_owner::max_held(const account& of, time_point now) const
{
    const double excess = bounds_.excess(of.limit);
    return now < settled_from_ ? of.brought_along + reserve_share * excess
                               : held_share * excess;
}

void quota_owner::release(holder& of)
{
    for (const auto& [team, held] : of.held)
    {
        const auto found = accounts_.find(team);
        if (found != accounts_.end())
        {
            found->second.held -= held;
        }
    }
    of.held.clear();
}

void quota_owner::expire(time_point now)
{
    for (auto each = holders_.begin(); each != holders_.end();)
    {
        if (each->second.expires_at > now)
        {
            ++each;
            continue;
        }
        release(each->second);
        each = holders_.erase(each);
    }
}

// Returns null if a later request of the host has been answered.
quota_owner::holder*
quota_owner::find_holder(const messages::quota_request& request, time_point now)
{
    auto& found = holders_[request.host()];
    if (request.incarnation() < found.incarnation ||
        (request.incarnation() == found.incarnation &&
         request.sequence() <= found.sequence))
    {
        return nullptr;
    }
    if (request.incarnation() > found.incarnation)
    {
        // The process that held these tokens has ended.
        release(found);
        found = holder();
        found.incarnation = request.incarnation();
    }
    found.sequence = request.sequence();
    found.expires_at = now + times_.holding_lifetime;
    return &found;
}

messages::quota_reply
quota_owner::answer(const messages::quota_request& request, time_point now)
{
    expire(now);
    messages::quota_reply reply;
    reply.set_term(term_);
    reply.set_sequence(request.sequence());
    if (request.term() > term_)
    {
        return reply;
    }
    auto* const from = find_holder(request, now);
    if (from == nullptr)
    {
        return reply;
    }
    reply.set_accepted(true);
    if (request.term() < term_)
    {
        introduce(*from, request, now, reply);
        return reply;
    }
    confirm(*from, now);
    settle(*from, request, now);
    for (const auto& holding : request.holdings())
    {
        *reply.add_grants() = grant(*from, holding, now);
    }
    return reply;
}

// Tokens that aren't recorded may be kept only while they can be an earlier
// owner's.
void quota_owner::introduce(
    holder& from,
    const messages::quota_request& request,
    time_point now,
    messages::quota_reply& reply)
{
    release(from);
    from.confirmed = false;
    for (const auto& holding : request.holdings())
    {
        auto& granted = *reply.add_grants();
        granted.set_team(holding.team());
        const auto found = accounts_.find(holding.team());
        if (found == accounts_.end() || now >= settled_from_)
        {
            continue;
        }
        granted.set_kept(holding.held());
        from.held[holding.team()] = holding.held();
        found->second.held += holding.held();
    }
}

void quota_owner::confirm(holder& from, time_point now)
{
    if (std::exchange(from.confirmed, true) || now >= settled_from_)
    {
        return;
    }
    for (const auto& [team, held] : from.held)
    {
        const auto found = accounts_.find(team);
        if (found != accounts_.end())
        {
            found->second.brought_along += held;
        }
    }
}

// What was held and is neither held nor used any more was never used: the
// holder gave it back, or never received it.
void quota_owner::settle(
    holder& from, const messages::quota_request& request, time_point now)
{
    std::unordered_map<std::string_view, const messages::team_holding*>
        reported;
    for (const auto& holding : request.holdings())
    {
        reported.emplace(holding.team(), &holding);
    }
    for (auto& [team, held] : from.held)
    {
        const auto found = accounts_.find(team);
        if (found == accounts_.end())
        {
            held = 0;
            continue;
        }
        auto& of = found->second;
        refill(of, now);
        const auto now_held = reported.find(team);
        const bool is_reported = now_held != reported.end();
        const double left =
            is_reported ? std::min<double>(held, now_held->second->held()) : 0;
        const double used = is_reported ? now_held->second->used() : 0;
        of.tokens += std::max(held - left - used, 0.0);
        of.tokens = std::min(of.tokens, of.limit.capacity());
        of.held -= held - left;
        held = left;
    }
}

messages::team_grant quota_owner::grant(
    holder& from, const messages::team_holding& holding, time_point now)
{
    messages::team_grant granted;
    granted.set_team(holding.team());
    const auto found = accounts_.find(holding.team());
    if (found == accounts_.end())
    {
        granted.set_ask_after_ms(to_milliseconds(ask_again_after));
        granted.set_retry_after_ms(to_milliseconds(ask_again_after));
        return granted;
    }
    auto& of = found->second;
    if (!of.limit.is_limited())
    {
        granted.set_granted(holding.waiting() + holding.stock());
        return granted;
    }
    refill(of, now);
    auto& held = from.held[holding.team()];
    // After a limit was lowered, holders give back what exceeds their part.
    const double most = held_share * bounds_.excess(of.limit);
    const double part = of.held > most ? most / of.held : 1.0;
    granted.set_kept(
        static_cast<std::uint32_t>(std::floor(std::max(held, 0.0) * part)));

    const double room = max_held(of, now) - of.held;
    const auto for_waiting =
        whole_tokens(std::min(of.tokens, room), holding.waiting());
    const double left_in_bucket =
        of.tokens - for_waiting - waiting_part_of_bucket * of.limit.capacity();
    const double left_to_hold =
        max_held(of, now) * (1 - waiting_part_of_held) - of.held - for_waiting;
    const auto for_stock =
        whole_tokens(std::min(left_in_bucket, left_to_hold), holding.stock());
    const auto all = for_waiting + for_stock;
    of.tokens -= all;
    of.held += all;
    held += all;
    granted.set_granted(all);
    // Where only the bound on held tokens is reached, the rest waits until some
    // are reported as used.
    if (for_waiting < holding.waiting() && of.tokens < 1)
    {
        refuse(of, holding.waiting() - for_waiting, now, granted);
    }
    return granted;
}

// Refused callers come back one after another, at the team's rate.
void quota_owner::refuse(
    account& of,
    std::uint32_t requests,
    time_point now,
    messages::team_grant& grant) const
{
    const auto until_empty = from_seconds(requests / of.limit.rate);
    const auto latest = now + max_retry_after;
    of.last_return =
        std::min(std::max(of.last_return, now) + until_empty, latest);
    grant.set_retry_after_ms(to_milliseconds(of.last_return - now));
    grant.set_ask_after_ms(to_milliseconds(ask_again_after));
}

std::vector<quota_state> quota_owner::state(time_point now) const
{
    std::vector<quota_state> all;
    for (const auto& [team, of] : accounts_)
    {
        auto current = of;
        refill(current, now);
        all.push_back({team, of.limit, current.tokens, of.held});
    }
    std::sort(
        all.begin(),
        all.end(),
        [](const quota_state& left, const quota_state& right)
        {
            return left.team < right.team;
        });
    return all;
}

} // namespace nutmegusher
