#include "nutmegusher/membership/sync_schedule.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace nutmegusher
{
namespace
{

// A random duration, uniform from 0 to `bound`.
duration jitter(duration bound, random_engine& random)
{
    const auto part = uniform_unit(random) * static_cast<double>(bound.count());
    return duration(static_cast<duration::rep>(part));
}

} // namespace

sync_schedule::sync_schedule(
    host_id self, locality own_locality, sync_schedule_options options)
    : self_(std::move(self))
    , own_locality_(std::move(own_locality))
    , options_(options)
{
}

void sync_schedule::set_hosts(const std::vector<control_host>& hosts)
{
    std::vector<subset_candidate> locations;
    locations.reserve(hosts.size());
    for (const auto& host : hosts)
    {
        locations.push_back({host.host.str(), host.at});
    }
    const subset_options all{.max_size = hosts.size(), .max_far = hosts.size()};
    std::vector<candidate> next;
    next.reserve(hosts.size());
    for (const auto at : choose_subset(self_, own_locality_, locations, all))
    {
        const auto known = std::find_if(
            candidates_.begin(),
            candidates_.end(),
            [&](const candidate& one)
            {
                return one.host == hosts[at];
            });
        next.push_back(
            known != candidates_.end() ? *known
                                       : candidate{hosts[at], 0, {}, {}});
    }
    const bool same = std::equal(
        next.begin(),
        next.end(),
        candidates_.begin(),
        candidates_.end(),
        [](const candidate& one, const candidate& other)
        {
            return one.host == other.host;
        });
    if (same)
    {
        return;
    }
    std::optional<control_host> used;
    if (current_ < candidates_.size())
    {
        used = candidates_[current_].host;
    }
    candidates_ = std::move(next);
    const auto kept = std::find_if(
        candidates_.begin(),
        candidates_.end(),
        [&](const candidate& one)
        {
            return used && one.host == *used;
        });
    current_ = kept == candidates_.end()
                   ? 0
                   : static_cast<std::size_t>(kept - candidates_.begin());
    failback_at_.reset();
}

sync_plan sync_schedule::plan(time_point now) const
{
    if (candidates_.empty())
    {
        return {};
    }
    return {&candidates_[planned_index(now)].host, next_attempt_at_};
}

std::size_t sync_schedule::planned_index(time_point now) const
{
    return failback_at_ && now >= *failback_at_ ? failback_target_ : current_;
}

void sync_schedule::request_sent(time_point now)
{
    if (!candidates_.empty())
    {
        in_flight_ = candidates_[planned_index(now)].host.host;
    }
}

std::optional<std::size_t>
sync_schedule::in_flight_or_planned(time_point now) const
{
    return in_flight_ ? find(*in_flight_) : std::optional(planned_index(now));
}

void sync_schedule::succeeded(time_point now, random_engine& random)
{
    if (candidates_.empty())
    {
        return;
    }
    const auto used = in_flight_or_planned(now);
    in_flight_.reset();
    if (used && *used != current_)
    {
        failback_at_.reset();
    }
    current_ = used.value_or(current_);
    ever_succeeded_ = true;
    candidates_[current_].failures = 0;
    next_attempt_at_ = now;
    plan_failback(now, random);
}

void sync_schedule::plan_failback(time_point now, random_engine& random)
{
    if (failback_at_ || current_ == 0)
    {
        return;
    }
    // Fails back to the most preferred nearer candidate whose backoff is over.
    // If there is none, to the most preferred one after its backoff.
    const auto nearer_end =
        candidates_.begin() + static_cast<std::ptrdiff_t>(current_);
    const auto nearer = std::find_if(
        candidates_.begin(),
        nearer_end,
        [now](const candidate& one)
        {
            return one.usable_at <= now;
        });
    const auto preferred =
        nearer == nearer_end
            ? std::size_t{0}
            : static_cast<std::size_t>(nearer - candidates_.begin());
    const auto usable = std::max(now, candidates_[preferred].usable_at);
    failback_target_ = preferred;
    failback_at_ = usable + jitter(options_.failback_jitter, random);
}

void sync_schedule::failed(time_point now, random_engine& random)
{
    if (candidates_.empty())
    {
        return;
    }
    const auto used = in_flight_or_planned(now);
    in_flight_.reset();
    if (!used)
    {
        next_attempt_at_ = now;
        return;
    }
    record_failure(candidates_[*used], now, random);
    const bool was_failback = *used != current_;
    failback_at_.reset();
    if (!was_failback)
    {
        current_ = best(now);
    }
    const auto usable = candidates_[current_].usable_at;
    const auto max_jitter =
        ever_succeeded_ ? options_.failover_jitter : options_.startup_jitter;
    // After a failed failback the current host is asked again at once.
    next_attempt_at_ =
        was_failback ? now : std::max(now, usable) + jitter(max_jitter, random);
    if (was_failback)
    {
        plan_failback(now, random);
    }
}

void sync_schedule::record_failure(
    candidate& tried, time_point now, random_engine& random)
{
    ++tried.failures;
    tried.usable_at = now + backoff(tried.failures, random);
}

std::optional<std::size_t> sync_schedule::find(const host_id& host) const
{
    const auto found = std::find_if(
        candidates_.begin(),
        candidates_.end(),
        [&host](const candidate& one)
        {
            return one.host.host == host;
        });
    if (found == candidates_.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - candidates_.begin());
}

std::optional<control_host> sync_schedule::pick_alternate(time_point now)
{
    candidate* best = nullptr;
    const auto planned = in_flight_or_planned(now);
    for (std::size_t at = 0; at < candidates_.size(); ++at)
    {
        auto& one = candidates_[at];
        const auto rank = [](const candidate& each)
        {
            return std::pair(each.failures, each.last_picked_at);
        };
        if (at != planned && (best == nullptr || rank(one) < rank(*best)))
        {
            best = &one;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    best->last_picked_at = now;
    return best->host;
}

void sync_schedule::switch_to(
    const host_id& other, time_point now, random_engine& random)
{
    const auto used = find(other);
    if (!used)
    {
        return;
    }
    const auto previous = in_flight_or_planned(now);
    in_flight_.reset();
    if (previous && *previous != *used)
    {
        record_failure(candidates_[*previous], now, random);
    }
    current_ = *used;
    failback_at_.reset();
    succeeded(now, random);
}

void sync_schedule::alternate_failed(
    const host_id& other, time_point now, random_engine& random)
{
    if (const auto tried = find(other))
    {
        record_failure(candidates_[*tried], now, random);
    }
}

// Returns the candidate with the fewest consecutive failures among those whose
// backoff is over, and among equals the most preferred one. If all are backing
// off, returns the one whose backoff ends first. An earlier rule used the
// preference alone: two near hosts that each took 1.5 s to fail were then tried
// in turns for 19 s, and a healthy third one was never tried.
std::size_t sync_schedule::best(time_point now) const
{
    std::size_t soonest = 0;
    std::optional<std::size_t> usable;
    for (std::size_t at = 0; at < candidates_.size(); ++at)
    {
        const auto& one = candidates_[at];
        if (one.usable_at <= now &&
            (!usable || one.failures < candidates_[*usable].failures))
        {
            usable = at;
        }
        if (one.usable_at < candidates_[soonest].usable_at)
        {
            soonest = at;
        }
    }
    return usable.value_or(soonest);
}

duration sync_schedule::backoff(unsigned failures, random_engine& random) const
{
    constexpr unsigned max_doublings = 12;
    const auto tolerated_failures =
        ever_succeeded_ ? 1 : options_.startup_attempts;
    const auto doublings = std::min(
        failures - std::min(failures, tolerated_failures), max_doublings);
    const duration uncapped = options_.initial_backoff * (1LL << doublings);
    const auto capped = std::min(uncapped, options_.max_backoff);
    return capped / 2 + jitter(capped / 2, random);
}

} // namespace nutmegusher
