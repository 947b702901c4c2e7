#include "nutmegusher/policy/admission_controller.hpp"

#include <algorithm>
#include <limits>

namespace nutmegusher
{

namespace
{

constexpr std::size_t no_cap = std::numeric_limits<std::size_t>::max();

decision to_decision(const std::variant<admitted, refused>& verdict)
{
    if (const auto* refusal = std::get_if<refused>(&verdict))
    {
        return *refusal;
    }
    return admitted{};
}

lane_state state_of(const internal::admission_lane& lane)
{
    return {lane.limit(), lane.in_flight(), lane.waiting()};
}

} // namespace

admission_controller::admission_controller(std::uint64_t seed)
    : engine_(seed)
{
}

internal::admission_lane& admission_controller::lane_for(bool bulk)
{
    return bulk ? bulk_lane_ : short_lane_;
}

arrival_result
admission_controller::arrive(const call_info& call, time_point now)
{
    outcomes_.clear();
    if (leaving_)
    {
        return {refused{refusal_reason::leaving, duration(0)}, outcomes_};
    }
    decision verdict =
        lane_for(call.bulk).arrive(call, now, engine_, outcomes_);
    process_queue(now);
    if (std::holds_alternative<queued>(verdict))
    {
        verdict = take_outcome_of(call.ticket).value_or(verdict);
    }
    return {verdict, outcomes_};
}

std::optional<decision> admission_controller::take_outcome_of(ticket_id ticket)
{
    const auto own = std::find_if(
        outcomes_.begin(),
        outcomes_.end(),
        [ticket](const queue_outcome& each)
        {
            return each.ticket == ticket;
        });
    if (own == outcomes_.end())
    {
        return std::nullopt;
    }
    const decision verdict = to_decision(own->verdict);
    outcomes_.erase(own);
    return verdict;
}

std::span<const queue_outcome> admission_controller::finish(
    ticket_id ticket, call_result result, time_point now)
{
    outcomes_.clear();
    short_lane_.set_other_lane_dominates(
        bulk_lane_.in_flight() > short_lane_.in_flight());
    if (!short_lane_.finish(ticket, result, now))
    {
        bulk_lane_.finish(ticket, result, now);
    }
    balance_lanes(now);
    process_queue(now);
    return outcomes_;
}

void admission_controller::sub_call_started(ticket_id ticket, time_point now)
{
    if (!short_lane_.sub_call_started(ticket, now))
    {
        bulk_lane_.sub_call_started(ticket, now);
    }
}

void admission_controller::sub_call_ended(ticket_id ticket, time_point now)
{
    if (!short_lane_.sub_call_ended(ticket, now))
    {
        bulk_lane_.sub_call_ended(ticket, now);
    }
}

std::span<const queue_outcome>
admission_controller::cancel(ticket_id ticket, time_point now)
{
    if (!short_lane_.cancel(ticket) && !bulk_lane_.cancel(ticket))
    {
        return finish(ticket, call_result::cancelled, now);
    }
    outcomes_.clear();
    process_queue(now);
    return outcomes_;
}

std::span<const queue_outcome> admission_controller::tick(time_point now)
{
    outcomes_.clear();
    short_lane_.tick(now);
    bulk_lane_.tick(now);
    balance_lanes(now);
    process_queue(now);
    return outcomes_;
}

void admission_controller::balance_lanes(time_point now)
{
    if (short_lane_.take_contended())
    {
        bulk_lane_.yield(now);
    }
}

void admission_controller::process_queue(time_point now)
{
    short_lane_.process_queue(no_cap, now, engine_, outcomes_);
    bulk_lane_.process_queue(bulk_cap(), now, engine_, outcomes_);
}

std::size_t admission_controller::bulk_cap() const
{
    if (short_lane_.waiting() == 0)
    {
        return no_cap;
    }
    const std::size_t both = short_lane_.limit() + bulk_lane_.limit();
    return std::max<std::size_t>(1, both / 2);
}

std::optional<time_point> admission_controller::next_event() const
{
    const auto first = short_lane_.next_event();
    const auto second = bulk_lane_.next_event();
    if (first && second)
    {
        return std::min(*first, *second);
    }
    return first ? first : second;
}

admission_level admission_controller::level(time_point now) const
{
    admission_level level;
    level.short_lane = short_lane_.level(now);
    level.bulk_lane = bulk_lane_.level(now);
    duration wait{0};
    if (level.short_lane.rank < rank_count)
    {
        wait = short_lane_.retry_after(level.short_lane.rank, now);
    }
    if (level.bulk_lane.rank < rank_count)
    {
        wait =
            std::max(wait, bulk_lane_.retry_after(level.bulk_lane.rank, now));
    }
    level.retry_after = std::chrono::ceil<std::chrono::milliseconds>(wait);
    return level;
}

void admission_controller::on_pause(time_point now)
{
    short_lane_.on_pause(now);
    bulk_lane_.on_pause(now);
}

void admission_controller::begin_warm_up(time_point now)
{
    short_lane_.begin_warm_up(now);
    bulk_lane_.begin_warm_up(now);
}

std::span<const queue_outcome>
admission_controller::set_leaving(bool leaving, time_point now)
{
    outcomes_.clear();
    leaving_ = leaving;
    if (leaving)
    {
        short_lane_.refuse_all(
            refusal_reason::leaving, now, engine_, outcomes_);
        bulk_lane_.refuse_all(refusal_reason::leaving, now, engine_, outcomes_);
    }
    return outcomes_;
}

admission_state admission_controller::state() const
{
    return {state_of(short_lane_), state_of(bulk_lane_), leaving_};
}

} // namespace nutmegusher
