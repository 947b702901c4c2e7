#include "nutmegusher/policy/slot_queue.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

namespace
{

// Eight answers: follows an upstream that turns slow within a fraction of a
// second at tens of calls a second.
constexpr double hold_weight = 1.0 / 8;
// Before the first answer nothing is known: a call isn't refused for its time.
constexpr double unknown_hold = 0.0;
// Classes whose times are kept; a deployment has tens.
constexpr std::size_t most_classes = 4096;
// An upstream that has made calls of its own is taken to make more for this
// long: the pauses of an idle service are shorter.
constexpr duration sub_call_memory = std::chrono::seconds(30);

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

slot_queue::place slot_queue::place_of(const call_facts& call) const
{
    return {call.rank, call.deadline, arrivals_ + 1};
}

double slot_queue::hold_of(std::uint64_t work_class) const
{
    const auto found = holds_.find(work_class);
    return found == holds_.end() ? unknown_hold : found->second;
}

double slot_queue::slots_per_second() const
{
    return mean_hold_ <= 0 ? 0 : static_cast<double>(limit_) / mean_hold_;
}

// Until a slot is free for the one that has `ahead` others before it.
duration slot_queue::expected_wait(std::size_t ahead) const
{
    if (limit_ == 0 || mean_hold_ <= 0)
    {
        return duration::zero();
    }
    const auto places = static_cast<double>(ahead + 1);
    return from_seconds(places * mean_hold_ / static_cast<double>(limit_));
}

std::size_t slot_queue::ahead_of(const place& one) const
{
    const auto end = waiting_.lower_bound(one);
    return static_cast<std::size_t>(std::distance(waiting_.begin(), end));
}

bool slot_queue::is_hopeless(
    const call_facts& call, duration wait, time_point now) const
{
    const auto hold = from_seconds(hold_of(call.work_class));
    return now + wait + hold >= call.deadline;
}

refused slot_queue::refuse(
    refusal_reason reason, const call_facts& call, time_point now)
{
    if (reason == refusal_reason::leaving)
    {
        return {reason, duration::zero()};
    }
    const auto room = std::max(slots_per_second(), 1.0);
    const auto wait = returns_[call.rank].next(room, now);
    return {reason, jittered(wait, engine_)};
}

std::span<const settlement>
slot_queue::set_slots(std::size_t slots, time_point now)
{
    settled_.clear();
    slots_ = slots;
    useful_.set_slots(slots);
    update_limit(now);
    admit_waiting(now);
    return settled_;
}

std::span<const settlement> slot_queue::restart(time_point now)
{
    settled_.clear();
    running_.clear();
    holds_.clear();
    mean_hold_ = 0;
    useful_ = useful_slots();
    useful_.set_slots(slots_);
    sub_call_at_.reset();
    update_limit(now);
    admit_waiting(now);
    return settled_;
}

arrival slot_queue::arrive(const call_facts& call, time_point now)
{
    settled_.clear();
    shed_.on_arrival(from_seconds(hold_of(call.work_class)), now);
    update_shed(now);
    if (leaving_ || limit_ == 0)
    {
        return {refuse(refusal_reason::leaving, call, now), settled_};
    }
    if (running_.size() < limit_)
    {
        if (is_hopeless(call, duration::zero(), now))
        {
            return {refuse(refusal_reason::deadline, call, now), settled_};
        }
        start(call, now);
        return {admitted(), settled_};
    }
    const auto at = place_of(call);
    const auto wait = expected_wait(ahead_of(at));
    if (is_hopeless(call, wait, now))
    {
        return {refuse(refusal_reason::overload, call, now), settled_};
    }
    ++arrivals_;
    add_waiting(at, call, now);
    return {queued(), settled_};
}

void slot_queue::add_waiting(
    const place& at, const call_facts& call, time_point now)
{
    const auto left = call.deadline - now;
    const auto target = call.target > duration::zero() ? call.target : left;
    const auto due = now + std::min(target, left);
    const auto latest_start = due - from_seconds(hold_of(call.work_class));
    waiting_.emplace(at, waiting_call{call, due, latest_start});
    by_latest_start_.emplace(latest_start, at);
    places_.emplace(call.ticket, at);
}

slot_queue::waiting_calls::iterator
slot_queue::remove_waiting(waiting_calls::iterator at)
{
    by_latest_start_.erase({at->second.latest_start, at->first});
    places_.erase(at->second.facts.ticket);
    return waiting_.erase(at);
}

// Requires: a call waits.
slot_queue::waiting_calls::iterator slot_queue::next_to_start(time_point now)
{
    const auto best = waiting_.begin();
    const auto wait = expected_wait(waiting_.size());
    const bool all_in_time = mean_hold_ > 0 && now + wait <= best->second.due;
    return all_in_time ? waiting_.find(by_latest_start_.begin()->second) : best;
}

void slot_queue::update_shed(time_point now)
{
    const auto waiting = static_cast<double>(waiting_.size());
    shed_.update(limit_, from_seconds(mean_hold_ * waiting), now);
}

void slot_queue::note_sub_call(time_point now)
{
    sub_call_at_ = now;
}

bool slot_queue::calls_others(time_point now) const
{
    return sub_call_at_ && now - *sub_call_at_ <= sub_call_memory;
}

void slot_queue::update_limit(time_point now)
{
    limit_ = calls_others(now) ? slots_ : useful_.limit(now);
}

void slot_queue::start(const call_facts& call, time_point now)
{
    const auto from = useful_.on_start(running_.size() + 1);
    running_.emplace(call.ticket, running_call{call.work_class, now, from});
}

std::span<const settlement>
slot_queue::finish(ticket_id ticket, call_result result, time_point now)
{
    settled_.clear();
    const auto found = running_.find(ticket);
    if (found == running_.end())
    {
        return settled_;
    }
    const auto held = now - found->second.since;
    if (result == call_result::ok || result == call_result::timed_out)
    {
        learn(found->second.work_class, held);
    }
    if (result == call_result::ok && !calls_others(now))
    {
        useful_.on_end(found->second.work_class, found->second.from, held, now);
    }
    running_.erase(found);
    update_limit(now);
    admit_waiting(now);
    update_shed(now);
    return settled_;
}

void slot_queue::learn(std::uint64_t work_class, duration held)
{
    const double seconds = seconds_of(held);
    const auto move = [seconds](double& mean)
    {
        mean = mean <= 0 ? seconds : mean + (seconds - mean) * hold_weight;
    };
    move(mean_hold_);
    if (holds_.size() < most_classes || holds_.contains(work_class))
    {
        move(holds_[work_class]);
    }
}

void slot_queue::admit_waiting(time_point now)
{
    while (!waiting_.empty() && running_.size() < limit_)
    {
        const auto next = next_to_start(now);
        const auto call = next->second.facts;
        remove_waiting(next);
        if (is_hopeless(call, duration::zero(), now))
        {
            settled_.push_back(
                {call.ticket, refuse(refusal_reason::overload, call, now)});
            continue;
        }
        start(call, now);
        settled_.push_back({call.ticket, admitted()});
    }
}

std::span<const settlement> slot_queue::cancel(ticket_id ticket, time_point now)
{
    settled_.clear();
    const auto found = places_.find(ticket);
    if (found != places_.end())
    {
        remove_waiting(waiting_.find(found->second));
        return settled_;
    }
    return finish(ticket, call_result::cancelled, now);
}

std::span<const settlement> slot_queue::tick(time_point now)
{
    settled_.clear();
    std::size_t ahead = 0;
    for (auto at = waiting_.begin(); at != waiting_.end();)
    {
        const auto call = at->second.facts;
        if (!is_hopeless(call, expected_wait(ahead), now))
        {
            ++ahead;
            ++at;
            continue;
        }
        at = remove_waiting(at);
        settled_.push_back(
            {call.ticket, refuse(refusal_reason::overload, call, now)});
    }
    return settled_;
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
        const auto hold = from_seconds(hold_of(call.facts.work_class));
        earliest = std::min(earliest, call.facts.deadline - hold);
    }
    return earliest;
}

std::span<const settlement>
slot_queue::set_leaving(bool leaving, time_point now)
{
    settled_.clear();
    leaving_ = leaving;
    if (!leaving)
    {
        admit_waiting(now);
        return settled_;
    }
    for (const auto& [at, call] : waiting_)
    {
        settled_.push_back(
            {call.facts.ticket,
             refuse(refusal_reason::leaving, call.facts, now)});
    }
    waiting_.clear();
    by_latest_start_.clear();
    places_.clear();
    return settled_;
}

slot_queue_state slot_queue::state() const
{
    return {
        limit_,
        running_.size(),
        waiting_.size(),
        leaving_,
        shed_.demand(),
        shed_.level(),
        from_seconds(mean_hold_)};
}

} // namespace nutmegusher
