#include "bench/policy/naive.hpp"

#include <algorithm>

namespace nutmegusher::bench
{

namespace
{

constexpr std::uint32_t tries_per_hop = 3;

} // namespace

naive_admission::naive_admission(std::size_t limit, std::size_t connections)
    : limit_(limit)
    , max_waiting_(connections - std::min(connections, limit))
{
}

arrival_result
naive_admission::arrive(const call_info& call, time_point /*now*/)
{
    outcomes_.clear();
    if (running_.size() < limit_)
    {
        running_.insert(call.ticket);
        return {admitted{}, outcomes_};
    }
    if (queue_.size() < max_waiting_)
    {
        queue_.push_back(call.ticket);
        return {queued{}, outcomes_};
    }
    return {refused{refusal_reason::overload, duration(0)}, outcomes_};
}

std::span<const queue_outcome> naive_admission::finish(
    ticket_id ticket, call_result /*result*/, time_point /*now*/)
{
    outcomes_.clear();
    running_.erase(ticket);
    while (running_.size() < limit_ && !queue_.empty())
    {
        running_.insert(queue_.front());
        outcomes_.push_back({queue_.front(), admitted{}});
        queue_.pop_front();
    }
    return outcomes_;
}

std::span<const queue_outcome>
naive_admission::cancel(ticket_id ticket, time_point now)
{
    std::erase(queue_, ticket);
    return finish(ticket, call_result::cancelled, now);
}

std::span<const queue_outcome> naive_admission::tick(time_point /*now*/)
{
    outcomes_.clear();
    return outcomes_;
}

std::optional<time_point> naive_admission::next_event() const
{
    return std::nullopt;
}

admission_level naive_admission::level(time_point /*now*/) const
{
    return {};
}

void naive_router::update(
    std::span<const candidate> candidates, time_point /*now*/)
{
    candidates_.assign(candidates.begin(), candidates.end());
}

std::optional<upstream_handle> naive_router::choose(
    const call_info& /*call*/,
    std::span<const upstream_handle> /*tried*/,
    time_point /*now*/,
    random_engine& /*engine*/)
{
    if (candidates_.empty())
    {
        return std::nullopt;
    }
    next_ = (next_ + 1) % candidates_.size();
    return upstream_handle(next_ + 1);
}

bool naive_router::has_alternative(
    const call_info& /*call*/,
    std::span<const upstream_handle> /*tried*/,
    time_point /*now*/) const
{
    return true;
}

retry_decision naive_retry(const failed_try& failed)
{
    const bool safe = failed.repeatable || failed.certainly_not_run;
    if (!safe)
    {
        return no_retry{no_retry_reason::may_have_run};
    }
    if (failed.tries >= tries_per_hop)
    {
        return no_retry{no_retry_reason::no_tokens};
    }
    return retry_at_once{};
}

} // namespace nutmegusher::bench
