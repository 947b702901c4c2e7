#include "nutmegusher/teams/quota_holder.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegusher
{

namespace
{

// Spans a few arrivals of a small team at one daemon.
constexpr double demand_seconds = 2;
// Below this rate no token is held: it would be idle for many seconds.
constexpr double min_demand = 0.1;
// A stock lasts for two refills.
constexpr double stock_seconds = 0.4;
constexpr double max_stock = 64;
// Tokens above the target are given back only beyond this, so that the target's
// small changes cause no exchange.
constexpr std::uint32_t max_surplus = 2;

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

quota_holder::quota_holder(host_id self, const quota_times& times)
    : self_(std::move(self))
    , times_(times)
{
}

double quota_holder::demand_of(const stock& of, time_point now)
{
    const double elapsed = std::max(seconds_of(now - of.demand_at), 0.0);
    return of.demand * std::exp(-elapsed / demand_seconds);
}

std::uint32_t quota_holder::target_of(const stock& of, time_point now) const
{
    const double demand = demand_of(of, now);
    if (stopped_ || demand < min_demand)
    {
        return 0;
    }
    const double target = std::ceil(1 + demand * stock_seconds);
    return static_cast<std::uint32_t>(std::min(target, max_stock));
}

void quota_holder::expire(time_point now)
{
    if (now < expires_at_)
    {
        return;
    }
    for (auto& [team, of] : stocks_)
    {
        of.held = 0;
    }
}

token_result quota_holder::take(stock& from, time_point now)
{
    if (from.held > 0)
    {
        --from.held;
        ++from.used;
        return {token_state::taken, duration::zero()};
    }
    if (now < from.refused_until)
    {
        return {token_state::refused, from.retry_after};
    }
    return {token_state::pending, duration::zero()};
}

token_result quota_holder::arrive(const std::string& team, time_point now)
{
    expire(now);
    auto& from = stocks_[team];
    from.demand = demand_of(from, now) + 1 / demand_seconds;
    from.demand_at = now;
    const auto result = take(from, now);
    if (result.state == token_state::pending)
    {
        ++from.waiting;
    }
    return result;
}

token_result quota_holder::poll(const std::string& team, time_point now)
{
    expire(now);
    return take(stocks_[team], now);
}

void quota_holder::leave(const std::string& team)
{
    auto& from = stocks_[team];
    from.waiting -= std::min<std::uint32_t>(from.waiting, 1);
}

void quota_holder::refund(const std::string& team, time_point now)
{
    const auto found = stocks_.find(team);
    if (found == stocks_.end() || found->second.used <= found->second.reported)
    {
        return;
    }
    auto& to = found->second;
    --to.used;
    to.held += now < expires_at_ ? 1 : 0;
}

std::optional<time_point> quota_holder::next_exchange(time_point now) const
{
    if (in_flight_)
    {
        return std::nullopt;
    }
    std::optional<time_point> earliest;
    const auto ask_at = [&earliest](time_point at)
    {
        earliest = std::min(earliest.value_or(at), at);
    };
    const auto soonest = sent_at_ + (failed_ ? retry_interval : min_interval);
    for (const auto& [team, of] : stocks_)
    {
        const auto target = target_of(of, now);
        if (of.waiting > 0 && of.held == 0)
        {
            ask_at(std::max(soonest, of.refused_until));
        }
        else if (
            of.used > 0 || 2 * of.held < target ||
            of.held > target + max_surplus)
        {
            ask_at(sent_at_ + refill_interval);
        }
        else if (of.held > 0)
        {
            ask_at(sent_at_ + renewal_interval);
        }
    }
    return earliest;
}

messages::quota_request
quota_holder::make_request(incarnation run, time_point now)
{
    expire(now);
    forget_idle(now);
    messages::quota_request request;
    request.set_host(self_.str());
    request.set_incarnation(run.value());
    request.set_sequence(++sequence_);
    request.set_term(term_);
    for (auto& [team, of] : stocks_)
    {
        const auto target = target_of(of, now);
        if (of.held > target + max_surplus || target == 0)
        {
            of.held = std::min(of.held, target);
        }
        of.reported = of.used;
        auto& holding = *request.add_holdings();
        holding.set_team(team);
        holding.set_held(of.held);
        holding.set_used(of.used);
        holding.set_waiting(of.held == 0 ? of.waiting : 0);
        holding.set_stock(target > of.held ? target - of.held : 0);
    }
    in_flight_ = true;
    sent_at_ = now;
    return request;
}

void quota_holder::forget_idle(time_point now)
{
    std::erase_if(
        stocks_,
        [now](const auto& item)
        {
            const auto& of = item.second;
            return of.held == 0 && of.used == 0 && of.waiting == 0 &&
                   demand_of(of, now) < min_demand && now >= of.refused_until;
        });
}

bool quota_holder::on_reply(const messages::quota_reply& reply, time_point now)
{
    if (!in_flight_ || reply.sequence() != sequence_)
    {
        return false;
    }
    if (!reply.accepted() || reply.term() < term_)
    {
        on_no_reply();
        return false;
    }
    in_flight_ = false;
    failed_ = false;
    term_ = reply.term();
    // Before the new end is set: tokens that ended meanwhile stay so.
    expire(now);
    expires_at_ = sent_at_ + times_.holding_lifetime;
    for (const auto& grant : reply.grants())
    {
        auto& of = stocks_[grant.team()];
        of.used -= std::min(of.used, of.reported);
        of.held = std::min(of.held, grant.kept()) + grant.granted();
        if (grant.ask_after_ms() > 0)
        {
            of.refused_until =
                now + std::chrono::milliseconds(grant.ask_after_ms());
            of.retry_after = std::chrono::milliseconds(grant.retry_after_ms());
        }
    }
    for (auto& [team, of] : stocks_)
    {
        of.reported = 0;
    }
    expire(now);
    return true;
}

// The owner may have received the request, so what it reports as used stays so.
void quota_holder::on_no_reply()
{
    in_flight_ = false;
    failed_ = true;
}

void quota_holder::stop()
{
    stopped_ = true;
}

double quota_holder::held(time_point now) const
{
    double sum = 0;
    for (const auto& [team, of] : stocks_)
    {
        sum += now < expires_at_ ? of.held : 0;
    }
    return sum;
}

} // namespace nutmegusher
