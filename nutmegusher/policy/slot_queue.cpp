#include "nutmegusher/policy/slot_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegusher
{

namespace
{

// A call ends at its deadline at the latest. If its end is noticed later than
// this after it, the process was suspended meanwhile, and the slot time isn't
// the upstream's.
constexpr duration max_deadline_overrun = std::chrono::milliseconds(50);
// A call that ran while its host was slower than this says nothing of its usual
// slot time; smaller changes are noise of the host.
constexpr double max_usual_factor = 1.2;
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

// How many calls a second the upstream can start; 0 if that isn't known.
double slot_queue::calls_per_second(time_point now) const
{
    const double slot_time = seconds_of(mean_slot_time(now));
    const double by_slots =
        slot_time <= 0 ? 0 : static_cast<double>(limit_) / slot_time;
    const auto by_rate = meter_.limit();
    return by_rate && (by_slots <= 0 || *by_rate < by_slots) ? *by_rate
                                                             : by_slots;
}

// The slots that calls can occupy on average.
double slot_queue::capacity() const
{
    const auto slots = static_cast<double>(limit_);
    const auto by_rate = meter_.limit();
    const double slot_time = seconds_of(times_.mean());
    return by_rate && slot_time > 0 ? std::min(slots, *by_rate * slot_time)
                                    : slots;
}

bool slot_queue::can_start(time_point now) const
{
    return running_.size() < limit_ && meter_.allows(now);
}

// The expected time until a slot is free for a call with `ahead` calls before
// it.
duration slot_queue::expected_wait(std::size_t ahead, time_point now) const
{
    const double rate = calls_per_second(now);
    if (limit_ == 0 || rate <= 0)
    {
        return duration::zero();
    }
    return from_seconds(static_cast<double>(ahead + 1) / rate);
}

std::size_t slot_queue::ahead_of(const position& one, std::uint64_t team) const
{
    const auto turns = turns_.find(one.rank);
    const bool has_turns = turns != turns_.end();
    const auto end = waiting_.lower_bound(
        has_turns ? position{one.rank, time_point::min(), 0} : one);
    const auto before = std::distance(waiting_.begin(), end);
    return static_cast<std::size_t>(before) +
           (has_turns ? turns->second.ahead_of(team, one) : 0);
}

void slot_queue::add_turn(const position& at, std::uint64_t team)
{
    auto turns = turns_.find(at.rank);
    if (turns != turns_.end())
    {
        turns->second.add(team, at);
        return;
    }
    if (team == 0)
    {
        return;
    }
    turns = turns_.try_emplace(at.rank).first;
    for (const auto& [place, call] : waiting_)
    {
        if (place.rank == at.rank)
        {
            turns->second.add(call.info.team, place);
        }
    }
}

void slot_queue::remove_turn(const position& at, std::uint64_t team)
{
    const auto turns = turns_.find(at.rank);
    if (turns == turns_.end())
    {
        return;
    }
    turns->second.remove(team, at);
    if (!turns->second.has_teams())
    {
        turns_.erase(turns);
    }
}

void slot_queue::set_pace(std::uint32_t percent, time_point now)
{
    pace_ = percent;
    pace_at_ = now;
}

// The time of an upstream that makes sub-calls is mostly that of other
// services.
double slot_queue::pace_factor(time_point now) const
{
    const bool is_known =
        pace_ > 0 && now - pace_at_ < last_reported_load::lifetime;
    return is_known && !makes_sub_calls(now)
               ? static_cast<double>(pace_) / usual_pace
               : 1;
}

duration
slot_queue::expected_slot_time(std::uint64_t work_class, time_point now) const
{
    const auto usual = times_.expected(work_class);
    return pace_ == 0 ? usual
                      : from_seconds(seconds_of(usual) * pace_factor(now));
}

duration slot_queue::mean_slot_time(time_point now) const
{
    const auto usual = times_.mean();
    return pace_ == 0 ? usual
                      : from_seconds(seconds_of(usual) * pace_factor(now));
}

bool slot_queue::misses_deadline(
    const call_info& call, duration wait, time_point now) const
{
    const bool is_current = times_.is_current(call.work_class, now);
    const auto slot_time = is_current ? expected_slot_time(call.work_class, now)
                                      : duration::zero();
    return now + wait + slot_time >= call.deadline;
}

refused
slot_queue::refuse(refusal_reason reason, const call_info& call, time_point now)
{
    if (reason == refusal_reason::leaving)
    {
        return {reason, duration::zero()};
    }
    const auto call_rate = std::max(calls_per_second(now), 1.0);
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
    times_.clear();
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
    const bool is_next = !meter_.limit() || waiting_.empty();
    const bool may_start = can_start(now) && is_next;
    const bool too_slow =
        may_start && misses_deadline(call, duration::zero(), now);
    if (!too_slow)
    {
        shed_.on_arrival(expected_slot_time(call.work_class, now), now);
    }
    update_shed(now);
    if (leaving_ || limit_ == 0)
    {
        return {refuse(refusal_reason::leaving, call, now), outcomes_};
    }
    if (may_start)
    {
        if (too_slow)
        {
            ++refused_by_estimate_;
            return {refuse(refusal_reason::deadline, call, now), outcomes_};
        }
        start(call, now);
        return {admitted(), outcomes_};
    }
    const auto at = position_of(call);
    const auto wait = expected_wait(ahead_of(at, call.team), now);
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
        target_end - expected_slot_time(call.work_class, now);
    waiting_.emplace(at, waiting_call{call, target_end, latest_start});
    by_latest_start_.emplace(latest_start, at);
    positions_.emplace(call.ticket, at);
    add_turn(at, call.team);
}

slot_queue::waiting_calls::iterator
slot_queue::remove_waiting(waiting_calls::iterator at)
{
    by_latest_start_.erase({at->second.latest_start, at->first});
    positions_.erase(at->second.info.ticket);
    remove_turn(at->first, at->second.info.team);
    return waiting_.erase(at);
}

// Requires: a call waits.
slot_queue::waiting_calls::iterator slot_queue::next_to_start(time_point now)
{
    const auto best = waiting_.begin();
    const auto wait = expected_wait(waiting_.size(), now);
    const bool all_in_time = times_.mean() > duration::zero() &&
                             now + wait <= best->second.target_end;
    if (all_in_time)
    {
        return waiting_.find(by_latest_start_.begin()->second);
    }
    const auto turns = turns_.find(best->first.rank);
    return turns == turns_.end() ? best : waiting_.find(*turns->second.next());
}

void slot_queue::update_shed(time_point now)
{
    const auto waiting = static_cast<double>(waiting_.size());
    // By slots alone: a rate limit is this upstream's, and others of the
    // service may have room.
    shed_.update(
        static_cast<double>(limit_),
        from_seconds(seconds_of(mean_slot_time(now)) * waiting),
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
    const bool is_probe =
        now + expected_slot_time(call.work_class, now) >= call.deadline;
    times_.on_start(call.work_class);
    running_.emplace(
        call.ticket,
        running_call{
            call.work_class,
            now,
            call.deadline,
            is_probe,
            pace_factor(now),
            started_under});
    const auto turns = turns_.find(call.rank);
    if (turns != turns_.end())
    {
        turns->second.on_start(call.team);
    }
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
    record_end(found->second, result, now);
    running_.erase(found);
    update_limit(now);
    admit_waiting(now);
    update_shed(now);
    return outcomes_;
}

void slot_queue::record_end(
    const running_call& ended, call_result result, time_point now)
{
    const bool is_complete = result == call_result::ok;
    const bool was_suspended = now > ended.deadline + max_deadline_overrun;
    const bool was_slow =
        std::max(ended.pace_factor, pace_factor(now)) > max_usual_factor;
    if (was_suspended || was_slow ||
        (!is_complete && result != call_result::timed_out))
    {
        times_.on_end(ended.work_class, now);
        return;
    }
    const auto slot_time = now - ended.since;
    times_.on_end(
        ended.work_class, {slot_time, is_complete, ended.is_probe}, now);
    if (is_complete && !makes_sub_calls(now))
    {
        useful_.on_completion(
            ended.work_class, ended.started_under, slot_time, now);
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
        const bool has_turns = turns_.contains(call.rank);
        const auto before = has_turns ? ahead_of(at->first, call.team) : ahead;
        if (!misses_deadline(call, expected_wait(before, now), now))
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
        const auto work_class = call.info.work_class;
        const auto slot_time = times_.has_running(work_class)
                                   ? times_.expected(work_class)
                                   : duration::zero();
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
    turns_.clear();
    return outcomes_;
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
        times_.mean(),
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
