#include "nutmegusher/policy/admission_lane.hpp"

#include "nutmegusher/policy/retry_after_schedule.hpp"

#include <algorithm>

namespace nutmegusher::internal
{

namespace
{

// At most eight calls per slot wait. This bounds memory and the work that a
// surge causes; the waiting time is bounded by the deadlines.
constexpr std::size_t waiting_per_slot = 8;
constexpr std::size_t min_queue_size = 64;

// A call may spend this share (1 / divisor) of its spare time in one queue. The
// rest is kept for a run that is slower than expected, for the hops below and
// for a retry.
constexpr int spare_time_divisor = 2;

// Better ranks may use the whole drain rate; the minimum keeps the predicted
// wait finite.
constexpr double min_available_share = 0.05;

// The average follows a change of speed within about sixteen calls.
constexpr double slot_time_weight = 1.0 / 16;

// A call counts as run at low load while at most half of the limit is used.
constexpr std::size_t low_load_divisor = 2;

// A call may wait for at most this many times its own no-load run time. A queue
// should absorb bursts; a standing queue holds slots of all services above it.
constexpr int max_wait_in_runs = 4;
// Bursts of a few scheduler ticks are absorbed whatever the run time.
constexpr duration min_wait_limit = std::chrono::milliseconds(20);
// The backlog at the end of a surge has to drain within half a second: service
// has to recover within one second.
constexpr duration max_wait_limit = std::chrono::milliseconds(500);

// A call may always wait as long as the time already spent on its request,
// since a refusal wastes that work.
duration time_spent_on(const call_info& call, time_point now)
{
    return std::max(duration(0), call.target - (call.deadline - now));
}

// `run`: the upstream's own no-load time. With the present latency, which grows
// with the queues of the services below, this queue would grow as well.
duration wait_limit_of(
    const call_info& call, duration run, duration spare, time_point now)
{
    const duration by_runs = std::clamp<duration>(
        run * max_wait_in_runs, min_wait_limit, max_wait_limit);
    const duration by_time_spent = std::max(by_runs, time_spent_on(call, now));
    const duration by_deadline = spare / spare_time_divisor;
    // Rank 0 is refused last, so it may wait as long as its deadline allows.
    const bool refused_last = call.rank == 0;
    return refused_last || run == duration(0)
               ? by_deadline
               : std::min(by_time_spent, by_deadline);
}

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

decision admission_lane::arrive(
    const call_info& call,
    time_point now,
    random_engine& engine,
    queue_outcomes& out)
{
    meter_.on_offered(call.rank, now);
    const duration needed = times_.expected(call.work_class, now);
    const duration spare = call.deadline - now - needed;
    const duration wait_limit =
        wait_limit_of(call, times_.no_load(call.work_class), spare, now);
    if (call.deadline <= now)
    {
        return refused{refusal_reason::deadline, duration(0)};
    }
    if (spare < duration(0))
    {
        return refuse(call, refusal_reason::deadline, now, engine);
    }
    if (predicted_wait(call, now) > wait_limit)
    {
        const bool over_fair_share = queue_.has_most_calls(call);
        return refuse(
            call,
            over_fair_share ? refusal_reason::fair_share
                            : refusal_reason::overload,
            now,
            engine);
    }
    return enqueue(call, now + wait_limit, now, engine, out);
}

decision admission_lane::enqueue(
    const call_info& call,
    time_point latest_start,
    time_point now,
    random_engine& engine,
    queue_outcomes& out)
{
    if (queue_.size() >= max_waiting())
    {
        const auto evicted = queue_.evict_for(call);
        if (!evicted)
        {
            const bool over_fair_share = queue_.has_most_calls(call);
            return refuse(
                call,
                over_fair_share ? refusal_reason::fair_share
                                : refusal_reason::overload,
                now,
                engine);
        }
        out.push_back(
            {evicted->info.ticket,
             refuse(evicted->info, refusal_reason::overload, now, engine)});
    }
    queue_.push({call, latest_start});
    return queued{};
}

std::size_t admission_lane::max_waiting() const
{
    return std::max(min_queue_size, limit_.value() * waiting_per_slot);
}

double admission_lane::drain_per_second(time_point now) const
{
    if (slot_time_ <= 0)
    {
        return meter_.finished_per_second(now);
    }
    return static_cast<double>(limit_.value()) / slot_time_;
}

duration
admission_lane::predicted_wait(const call_info& call, time_point now) const
{
    const std::size_t busy = running_.size();
    const std::size_t ahead = queue_.ahead_of(call);
    if (busy + ahead < limit_.value() || slot_time_ <= 0)
    {
        return duration(0);
    }
    const double spare = available_per_second(call.rank, now);
    return from_seconds(static_cast<double>(ahead + 1) / spare);
}

refused admission_lane::refuse(
    const call_info& call,
    refusal_reason reason,
    time_point now,
    random_engine& engine)
{
    meter_.on_refused(call.rank, now);
    const std::size_t rank = std::min<std::size_t>(call.rank, rank_count - 1);
    const duration wait =
        retry_schedules_[rank].next(available_per_second(call.rank, now), now);
    return {reason, jittered(wait, engine)};
}

double
admission_lane::available_per_second(std::uint8_t rank, time_point now) const
{
    const double drain = drain_per_second(now);
    return std::max(
        drain - meter_.better_ranks_per_second(rank, now),
        drain * min_available_share);
}

duration admission_lane::retry_after(std::uint8_t rank, time_point now) const
{
    return retry_schedules_[std::min<std::size_t>(rank, rank_count - 1)].wait(
        now);
}

void admission_lane::start(const call_info& call, time_point now)
{
    running_.emplace(
        call.ticket,
        running_call{.started = now, .work_class = call.work_class});
    limit_.on_start(running_.size(), now);
    meter_.on_started(call.rank, now);
}

bool admission_lane::finish(
    ticket_id ticket, call_result result, time_point now)
{
    const auto found = running_.find(ticket);
    if (found == running_.end())
    {
        return false;
    }
    running_call call = found->second;
    running_.erase(found);
    if (call.open_sub_calls > 0)
    {
        --in_sub_calls_;
        call.in_sub_calls += now - call.sub_calls_since;
    }
    record_result(call, result, now);
    return true;
}

void admission_lane::record_result(
    const running_call& call, call_result result, time_point now)
{
    if (call.was_paused)
    {
        limit_.on_progress(now);
        meter_.on_finished(now);
        return;
    }
    const duration elapsed = now - call.started;
    const duration own = elapsed - call.in_sub_calls;
    const std::size_t in_flight = running_.size();
    switch (result)
    {
    case call_result::ok:
    {
        const bool low_load =
            (in_flight + 1) * low_load_divisor <= limit_.value();
        const double inflation =
            times_.record(call.work_class, {elapsed, own}, low_load, now);
        limit_.on_answer(
            {.started = call.started, .inflation = inflation}, in_flight, now);
        break;
    }
    case call_result::timed_out:
    {
        const double inflation =
            times_.record_lower_bound(call.work_class, {elapsed, own}, now);
        limit_.on_answer(
            {.started = call.started,
             .inflation = inflation,
             .timed_out = true},
            in_flight,
            now);
        break;
    }
    case call_result::shed_by_upstream:
        limit_.on_shed(in_flight, now);
        return;
    case call_result::cancelled:
        times_.record_lower_bound(call.work_class, {elapsed, own}, now);
        break;
    case call_result::failed:
        // The call got as far as its sub-call, so the upstream's own time is a
        // valid sample. While all sub-calls fail there are no other samples.
        if (call.in_sub_calls > duration(0))
        {
            const double inflation =
                times_.record_lower_bound(call.work_class, {elapsed, own}, now);
            limit_.on_answer(
                {.started = call.started,
                 .inflation = inflation,
                 .partial = true},
                in_flight,
                now);
        }
        break;
    case call_result::never_started:
        return;
    }
    meter_.on_finished(now);
    const double seconds = to_seconds(elapsed);
    slot_time_ = slot_time_ == 0
                     ? seconds
                     : slot_time_ + (seconds - slot_time_) * slot_time_weight;
}

bool admission_lane::sub_call_started(ticket_id ticket, time_point now)
{
    const auto found = running_.find(ticket);
    if (found == running_.end())
    {
        return false;
    }
    running_call& call = found->second;
    if (call.open_sub_calls == 0)
    {
        call.sub_calls_since = now;
        ++in_sub_calls_;
        limit_.on_progress(now);
    }
    ++call.open_sub_calls;
    return true;
}

bool admission_lane::sub_call_ended(ticket_id ticket, time_point now)
{
    const auto found = running_.find(ticket);
    if (found == running_.end() || found->second.open_sub_calls == 0)
    {
        return found != running_.end();
    }
    running_call& call = found->second;
    --call.open_sub_calls;
    if (call.open_sub_calls == 0)
    {
        call.in_sub_calls += now - call.sub_calls_since;
        --in_sub_calls_;
        limit_.on_progress(now);
    }
    return true;
}

bool admission_lane::cancel(ticket_id ticket)
{
    return queue_.remove(ticket);
}

void admission_lane::process_queue(
    std::size_t cap, time_point now, random_engine& engine, queue_outcomes& out)
{
    while (const auto expired = queue_.pop_expired(now))
    {
        out.push_back(
            {expired->info.ticket,
             refuse(expired->info, refusal_reason::overload, now, engine)});
    }
    const std::size_t max_running = std::min(limit_.value(), cap);
    while (running_.size() < max_running)
    {
        const auto next = queue_.pop();
        if (!next)
        {
            break;
        }
        start(next->info, now);
        out.push_back({next->info.ticket, admitted{}});
    }
}

void admission_lane::refuse_all(
    refusal_reason reason,
    time_point now,
    random_engine& engine,
    queue_outcomes& out)
{
    while (const auto next = queue_.pop())
    {
        refused verdict{reason, duration(0)};
        if (reason != refusal_reason::leaving)
        {
            verdict = refuse(next->info, reason, now, engine);
        }
        out.push_back({next->info.ticket, verdict});
    }
}

void admission_lane::yield(time_point now)
{
    if (running_.size() <= limit_.value())
    {
        limit_.yield(running_.size(), now);
    }
}

void admission_lane::tick(time_point now)
{
    limit_.on_tick(working(), times_.typical(), now);
}

// Pattern of failure: the process is stopped for half a second under load. Its
// running calls then appear to have taken that long. Without this correction
// the limit would be reduced, the queue would appear to drain at a tenth of its
// speed, and calls of rank 0 would be refused for a predicted wait that is
// wrong.
void admission_lane::on_pause(time_point now)
{
    for (auto& [ticket, call] : running_)
    {
        call.was_paused = true;
    }
    limit_.on_progress(now);
}

void admission_lane::begin_warm_up(time_point now)
{
    limit_.begin_warm_up(now);
}

std::optional<time_point> admission_lane::next_event() const
{
    const auto expiry = queue_.next_expiry();
    const auto stall = limit_.stall_at(working(), times_.typical());
    if (expiry && stall)
    {
        return std::min(*expiry + duration(1), *stall);
    }
    return expiry ? std::optional(*expiry + duration(1)) : stall;
}

lane_level admission_lane::level(time_point now) const
{
    return meter_.level(now);
}

} // namespace nutmegusher::internal
