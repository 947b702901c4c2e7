#include "nutmegusher/policy/slot_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegusher
{

namespace
{

// The average covers about eight answers: at tens of calls a second it follows
// an upstream that becomes slow within a fraction of a second.
constexpr double slot_time_weight = 1.0 / 8;
// Before the first answer the slot time is unknown, and no call is refused
// because of it.
constexpr double unknown_slot_time = 0.0;
// Bound on the number of classes with slot times; a deployment has tens.
constexpr std::size_t max_classes = 4096;
// How long an upstream counts as one that makes sub-calls after its last one:
// the pauses of an idle service are shorter.
constexpr duration sub_call_retention = std::chrono::seconds(30);

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

slot_queue::slot_queue(std::uint64_t seed)
    : engine_(seed)
{
}

slot_queue::position slot_queue::position_of(const call_info& call) const
{
    return {call.rank, call.deadline, arrivals_ + 1};
}

double slot_queue::slot_time_of(std::uint64_t work_class) const
{
    const auto found = slot_times_.find(work_class);
    return found == slot_times_.end() ? unknown_slot_time : found->second;
}

// How many calls a second the upstream can start; 0 if that isn't known.
double slot_queue::calls_per_second() const
{
    const double by_slots = mean_slot_time_ <= 0
                                ? 0
                                : static_cast<double>(limit_) / mean_slot_time_;
    const auto by_rate = meter_.limit();
    return by_rate && (by_slots <= 0 || *by_rate < by_slots) ? *by_rate
                                                             : by_slots;
}

// The slots that calls can occupy on average.
double slot_queue::capacity() const
{
    const auto slots = static_cast<double>(limit_);
    const auto by_rate = meter_.limit();
    return by_rate && mean_slot_time_ > 0
               ? std::min(slots, *by_rate * mean_slot_time_)
               : slots;
}

bool slot_queue::can_start(time_point now) const
{
    return running_.size() < limit_ && meter_.allows(now);
}

// The expected time until a slot is free for a call with `ahead` calls before
// it.
duration slot_queue::expected_wait(std::size_t ahead) const
{
    const double rate = calls_per_second();
    if (limit_ == 0 || rate <= 0)
    {
        return duration::zero();
    }
    return from_seconds(static_cast<double>(ahead + 1) / rate);
}

std::size_t slot_queue::ahead_of(const position& one) const
{
    const auto end = waiting_.lower_bound(one);
    return static_cast<std::size_t>(std::distance(waiting_.begin(), end));
}

bool slot_queue::misses_deadline(
    const call_info& call, duration wait, time_point now) const
{
    const auto slot_time = from_seconds(slot_time_of(call.work_class));
    return now + wait + slot_time >= call.deadline;
}

refused
slot_queue::refuse(refusal_reason reason, const call_info& call, time_point now)
{
    if (reason == refusal_reason::leaving)
    {
        return {reason, duration::zero()};
    }
    const auto call_rate = std::max(calls_per_second(), 1.0);
    const auto wait = retry_schedules_[call.rank].next(call_rate, now);
    return {reason, jittered(wait, engine_)};
}

std::span<const queue_outcome>
slot_queue::set_slots(std::size_t slots, time_point now)
{
    outcomes_.clear();
    slots_ = slots;
    useful_.set_slots(slots);
    update_limit(now);
    admit_waiting(now);
    return outcomes_;
}

std::span<const queue_outcome> slot_queue::set_rate_limit(
    std::optional<double> calls_per_second, time_point now)
{
    outcomes_.clear();
    meter_.set_limit(calls_per_second, now);
    admit_waiting(now);
    return outcomes_;
}

std::span<const queue_outcome> slot_queue::restart(time_point now)
{
    outcomes_.clear();
    running_.clear();
    meter_.set_limit(std::nullopt, now);
    slot_times_.clear();
    mean_slot_time_ = 0;
    useful_ = useful_slots();
    useful_.set_slots(slots_);
    sub_call_at_.reset();
    update_limit(now);
    admit_waiting(now);
    return outcomes_;
}

arrival_result slot_queue::arrive(const call_info& call, time_point now)
{
    outcomes_.clear();
    shed_.on_arrival(from_seconds(slot_time_of(call.work_class)), now);
    update_shed(now);
    if (leaving_ || limit_ == 0)
    {
        return {refuse(refusal_reason::leaving, call, now), outcomes_};
    }
    const bool is_next = !meter_.limit() || waiting_.empty();
    if (can_start(now) && is_next)
    {
        if (misses_deadline(call, duration::zero(), now))
        {
            ++refused_by_estimate_;
            return {refuse(refusal_reason::deadline, call, now), outcomes_};
        }
        start(call, now);
        return {admitted(), outcomes_};
    }
    const auto at = position_of(call);
    const auto wait = expected_wait(ahead_of(at));
    if (misses_deadline(call, wait, now))
    {
        return {refuse(refusal_reason::overload, call, now), outcomes_};
    }
    ++arrivals_;
    add_waiting(at, call, now);
    return {queued(), outcomes_};
}

void slot_queue::add_waiting(
    const position& at, const call_info& call, time_point now)
{
    const auto left = call.deadline - now;
    const auto target = call.target > duration::zero() ? call.target : left;
    const auto target_end = now + std::min(target, left);
    const auto latest_start =
        target_end - from_seconds(slot_time_of(call.work_class));
    waiting_.emplace(at, waiting_call{call, target_end, latest_start});
    by_latest_start_.emplace(latest_start, at);
    positions_.emplace(call.ticket, at);
}

slot_queue::waiting_calls::iterator
slot_queue::remove_waiting(waiting_calls::iterator at)
{
    by_latest_start_.erase({at->second.latest_start, at->first});
    positions_.erase(at->second.info.ticket);
    return waiting_.erase(at);
}

// Requires: a call waits.
slot_queue::waiting_calls::iterator slot_queue::next_to_start(time_point now)
{
    const auto best = waiting_.begin();
    const auto wait = expected_wait(waiting_.size());
    const bool all_in_time =
        mean_slot_time_ > 0 && now + wait <= best->second.target_end;
    return all_in_time ? waiting_.find(by_latest_start_.begin()->second) : best;
}

void slot_queue::update_shed(time_point now)
{
    const auto waiting = static_cast<double>(waiting_.size());
    // By slots alone: a rate limit is this upstream's, and others of the
    // service may have room.
    shed_.update(
        static_cast<double>(limit_),
        from_seconds(mean_slot_time_ * waiting),
        now);
}

void slot_queue::note_sub_call(time_point now)
{
    sub_call_at_ = now;
}

bool slot_queue::makes_sub_calls(time_point now) const
{
    return sub_call_at_ && now - *sub_call_at_ <= sub_call_retention;
}

void slot_queue::update_limit(time_point now)
{
    limit_ = makes_sub_calls(now) ? slots_ : useful_.limit(now);
}

void slot_queue::start(const call_info& call, time_point now)
{
    meter_.on_start(now);
    const auto started_under = useful_.on_start(running_.size() + 1);
    running_.emplace(
        call.ticket, running_call{call.work_class, now, started_under});
}

std::span<const queue_outcome>
slot_queue::finish(ticket_id ticket, call_result result, time_point now)
{
    outcomes_.clear();
    const auto found = running_.find(ticket);
    if (found == running_.end())
    {
        return outcomes_;
    }
    const auto slot_time = now - found->second.since;
    if (result == call_result::ok || result == call_result::timed_out)
    {
        record_slot_time(found->second.work_class, slot_time);
    }
    if (result == call_result::ok && !makes_sub_calls(now))
    {
        useful_.on_completion(
            found->second.work_class,
            found->second.started_under,
            slot_time,
            now);
    }
    running_.erase(found);
    update_limit(now);
    admit_waiting(now);
    update_shed(now);
    return outcomes_;
}

void slot_queue::record_slot_time(std::uint64_t work_class, duration slot_time)
{
    const double seconds = seconds_of(slot_time);
    const auto move = [seconds](double& mean)
    {
        mean = mean <= 0 ? seconds : mean + (seconds - mean) * slot_time_weight;
    };
    move(mean_slot_time_);
    if (slot_times_.size() < max_classes || slot_times_.contains(work_class))
    {
        move(slot_times_[work_class]);
    }
}

void slot_queue::admit_waiting(time_point now)
{
    while (!waiting_.empty() && can_start(now))
    {
        const auto next = next_to_start(now);
        const auto call = next->second.info;
        remove_waiting(next);
        if (misses_deadline(call, duration::zero(), now))
        {
            outcomes_.push_back(
                {call.ticket, refuse(refusal_reason::overload, call, now)});
            continue;
        }
        start(call, now);
        outcomes_.push_back({call.ticket, admitted()});
    }
}

std::span<const queue_outcome>
slot_queue::cancel(ticket_id ticket, time_point now)
{
    outcomes_.clear();
    const auto found = positions_.find(ticket);
    if (found != positions_.end())
    {
        remove_waiting(waiting_.find(found->second));
        return outcomes_;
    }
    return finish(ticket, call_result::cancelled, now);
}

std::span<const queue_outcome> slot_queue::tick(time_point now)
{
    outcomes_.clear();
    std::size_t ahead = 0;
    for (auto at = waiting_.begin(); at != waiting_.end();)
    {
        const auto call = at->second.info;
        if (!misses_deadline(call, expected_wait(ahead), now))
        {
            ++ahead;
            ++at;
            continue;
        }
        at = remove_waiting(at);
        outcomes_.push_back(
            {call.ticket, refuse(refusal_reason::overload, call, now)});
    }
    if (meter_.limit())
    {
        admit_waiting(now);
    }
    return outcomes_;
}

std::optional<time_point> slot_queue::next_limited_start() const
{
    if (waiting_.empty() || !meter_.limit())
    {
        return std::nullopt;
    }
    return meter_.next_start();
}

std::optional<time_point> slot_queue::next_event() const
{
    if (waiting_.empty())
    {
        return std::nullopt;
    }
    auto earliest = time_point::max();
    for (const auto& [at, call] : waiting_)
    {
        const auto slot_time = from_seconds(slot_time_of(call.info.work_class));
        earliest = std::min(earliest, call.info.deadline - slot_time);
    }
    return earliest;
}

std::span<const queue_outcome>
slot_queue::set_leaving(bool leaving, time_point now)
{
    outcomes_.clear();
    leaving_ = leaving;
    if (!leaving)
    {
        admit_waiting(now);
        return outcomes_;
    }
    for (const auto& [at, call] : waiting_)
    {
        outcomes_.push_back(
            {call.info.ticket,
             refuse(refusal_reason::leaving, call.info, now)});
    }
    waiting_.clear();
    by_latest_start_.clear();
    positions_.clear();
    return outcomes_;
}

duration slot_queue::longest_slot_time() const
{
    double longest = 0;
    for (const auto& [work_class, slot_time] : slot_times_)
    {
        longest = std::max(longest, slot_time);
    }
    return from_seconds(longest);
}

slot_queue_state slot_queue::state() const
{
    slot_queue_state result{
        limit_,
        running_.size(),
        waiting_.size(),
        leaving_,
        shed_.demand(),
        shed_.level(),
        from_seconds(mean_slot_time_),
        meter_.limit(),
        refused_by_estimate_};
    if (result.rate_limit && limit_ > 0)
    {
        const double slots = std::max(std::floor(capacity()), 1.0);
        result.slots = static_cast<std::size_t>(slots);
        result.slot_time = std::max(
            result.slot_time, from_seconds(slots / *result.rate_limit));
    }
    return result;
}

} // namespace nutmegusher
