#include "nutmegusher/membership/sync_schedule.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace nutmegusher
{
namespace
{

duration spread(duration bound, random_engine& random)
{
    const auto part = uniform_unit(random) * static_cast<double>(bound.count());
    return duration(static_cast<duration::rep>(part));
}

} // namespace

sync_schedule::sync_schedule(
    host_id self, place here, sync_schedule_options options)
    : self_(std::move(self))
    , here_(std::move(here))
    , options_(options)
{
}

void sync_schedule::set_hosts(const std::vector<control_host>& hosts)
{
    std::vector<subset_candidate> order;
    order.reserve(hosts.size());
    for (const auto& host : hosts)
    {
        order.push_back({host.host.str(), host.at});
    }
    const subset_options all{.max_size = hosts.size(), .max_far = hosts.size()};
    std::vector<candidate> next;
    next.reserve(hosts.size());
    for (const auto at : choose_subset(self_, here_, order, all))
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
    return_at_.reset();
}

sync_plan sync_schedule::plan(time_point now) const
{
    if (candidates_.empty())
    {
        return {};
    }
    return {&candidates_[position(now)].host, try_at_};
}

std::size_t sync_schedule::position(time_point now) const
{
    return return_at_ && now >= *return_at_ ? return_to_ : current_;
}

void sync_schedule::asked(time_point now)
{
    if (!candidates_.empty())
    {
        asked_ = candidates_[position(now)].host.host;
    }
}

std::optional<std::size_t> sync_schedule::asked_or_planned(time_point now) const
{
    return asked_ ? find(*asked_) : std::optional(position(now));
}

void sync_schedule::succeeded(time_point now, random_engine& random)
{
    if (candidates_.empty())
    {
        return;
    }
    const auto used = asked_or_planned(now);
    asked_.reset();
    if (used && *used != current_)
    {
        return_at_.reset();
    }
    current_ = used.value_or(current_);
    ever_succeeded_ = true;
    candidates_[current_].failures = 0;
    try_at_ = now;
    plan_return(now, random);
}

void sync_schedule::plan_return(time_point now, random_engine& random)
{
    if (return_at_ || current_ == 0)
    {
        return;
    }
    // Those that went silent may be back: each is asked once its backoff is
    // over, the most wanted first.
    const auto nearer_end =
        candidates_.begin() + static_cast<std::ptrdiff_t>(current_);
    const auto nearer = std::find_if(
        candidates_.begin(),
        nearer_end,
        [now](const candidate& one)
        {
            return one.usable_at <= now;
        });
    const auto wanted =
        nearer == nearer_end
            ? std::size_t{0}
            : static_cast<std::size_t>(nearer - candidates_.begin());
    const auto usable = std::max(now, candidates_[wanted].usable_at);
    return_to_ = wanted;
    return_at_ = usable + spread(options_.return_spread, random);
}

void sync_schedule::failed(time_point now, random_engine& random)
{
    if (candidates_.empty())
    {
        return;
    }
    const auto used = asked_or_planned(now);
    asked_.reset();
    if (!used)
    {
        try_at_ = now;
        return;
    }
    note_failure(candidates_[*used], now, random);
    const bool was_return = *used != current_;
    return_at_.reset();
    if (!was_return)
    {
        current_ = best(now);
    }
    const auto usable = candidates_[current_].usable_at;
    const auto within =
        ever_succeeded_ ? options_.failover_spread : options_.start_spread;
    // The one in use goes on at once after a failed way back.
    try_at_ = was_return ? now : std::max(now, usable) + spread(within, random);
    if (was_return)
    {
        plan_return(now, random);
    }
}

void sync_schedule::note_failure(
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

std::optional<control_host> sync_schedule::pick_other(time_point now)
{
    candidate* best = nullptr;
    const auto planned = asked_or_planned(now);
    for (std::size_t at = 0; at < candidates_.size(); ++at)
    {
        auto& one = candidates_[at];
        const auto rank = [](const candidate& each)
        {
            return std::pair(each.failures, each.asked_beside_at);
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
    best->asked_beside_at = now;
    return best->host;
}

void sync_schedule::move_to(
    const host_id& other, time_point now, random_engine& random)
{
    const auto used = find(other);
    if (!used)
    {
        return;
    }
    const auto left = asked_or_planned(now);
    asked_.reset();
    if (left && *left != *used)
    {
        note_failure(candidates_[*left], now, random);
    }
    current_ = *used;
    return_at_.reset();
    succeeded(now, random);
}

void sync_schedule::other_failed(
    const host_id& other, time_point now, random_engine& random)
{
    if (const auto tried = find(other))
    {
        note_failure(candidates_[*tried], now, random);
    }
}

// Of those that may be tried now the one that failed least lately, and among
// equals the most wanted; or the one whose backoff is over first. By preference
// alone two near hosts that each take a second and a half to fail were tried in
// turns for 19 s, and a sound third one never.
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
    const auto spared = ever_succeeded_ ? 1 : options_.start_tries;
    const auto doublings =
        std::min(failures - std::min(failures, spared), max_doublings);
    const duration raised = options_.first_backoff * (1LL << doublings);
    const auto full = std::min(raised, options_.max_backoff);
    return full / 2 + spread(full / 2, random);
}

} // namespace nutmegusher
