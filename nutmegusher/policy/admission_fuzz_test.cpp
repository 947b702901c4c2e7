// Stateful fuzzing of the admission controller against a simple model.
#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <vector>

namespace nutmegusher
{
namespace
{

// A ticket that waits or runs, as the model knows it.
struct open_ticket
{
    call_info info;
    bool running = false;
};

// Drives a controller and checks every outcome.
class checked_controller
{
public:
    void arrive()
    {
        call_info call;
        call.ticket = ticket_id(++last_ticket_);
        call.rank = *rc::gen::inRange<std::uint8_t>(0, 10);
        call.customer = *rc::gen::inRange<std::uint64_t>(0, 4);
        call.work_class = call.rank;
        call.bulk = *rc::gen::inRange(0, 5) == 0;
        call.sub_call = *rc::gen::inRange(0, 2) == 0;
        call.deadline =
            now_ + std::chrono::milliseconds(*rc::gen::inRange(-5, 200));
        const arrival_result at = controller_.arrive(call, now_);
        open_.emplace(call.ticket, open_ticket{call, false});
        const std::vector<queue_outcome> others(
            at.outcomes.begin(), at.outcomes.end());
        if (std::holds_alternative<admitted>(at.verdict))
        {
            admit(call.ticket);
        }
        else if (std::holds_alternative<refused>(at.verdict))
        {
            open_.erase(call.ticket);
        }
        check(others);
    }

    void finish()
    {
        const auto one = any(true);
        if (one == open_.end())
        {
            return;
        }
        constexpr std::array results{
            call_result::ok,
            call_result::failed,
            call_result::shed_by_upstream,
            call_result::timed_out,
            call_result::cancelled,
            call_result::never_started};
        const auto result = results.at(*rc::gen::inRange<std::size_t>(0, 6));
        const ticket_id ticket = one->first;
        open_.erase(one);
        check(controller_.finish(ticket, result, now_));
    }

    void cancel()
    {
        const auto one = any(*rc::gen::arbitrary<bool>());
        if (one == open_.end())
        {
            return;
        }
        const ticket_id ticket = one->first;
        open_.erase(one);
        check(controller_.cancel(ticket, now_));
    }

    void sub_call()
    {
        const auto one = any(true);
        if (one == open_.end())
        {
            return;
        }
        if (*rc::gen::arbitrary<bool>())
        {
            controller_.sub_call_started(one->first, now_);
        }
        else
        {
            controller_.sub_call_ended(one->first, now_);
        }
    }

    void pass_time()
    {
        now_ += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
        check(controller_.tick(now_));
    }

    // Without further arrivals every ticket must get its outcome.
    void drain()
    {
        while (!open_.empty())
        {
            const auto one = any(true);
            if (one == open_.end())
            {
                // Only waiting calls are left: `tick` refuses or admits them.
                const auto next = controller_.next_event();
                RC_ASSERT(next.has_value());
                now_ = std::max(now_ + duration(1), *next);
                check(controller_.tick(now_));
                continue;
            }
            const ticket_id ticket = one->first;
            open_.erase(one);
            check(controller_.finish(ticket, call_result::ok, now_));
        }
        RC_ASSERT(controller_.state().short_lane.in_flight == 0U);
        RC_ASSERT(controller_.state().bulk_lane.in_flight == 0U);
        RC_ASSERT(controller_.state().short_lane.waiting == 0U);
        RC_ASSERT(controller_.state().bulk_lane.waiting == 0U);
    }

    void check_invariants()
    {
        const admission_state state = controller_.state();
        RC_ASSERT(state.short_lane.limit >= 1U);
        RC_ASSERT(state.bulk_lane.limit >= 1U);
        const std::size_t known =
            state.short_lane.in_flight + state.bulk_lane.in_flight +
            state.short_lane.waiting + state.bulk_lane.waiting;
        RC_ASSERT(known == open_.size());
        const std::string text = format_level(controller_.level(now_));
        RC_ASSERT(parse_level(text).value() == controller_.level(now_));
    }

private:
    using tickets = std::map<ticket_id, open_ticket>;

    tickets::iterator any(bool running)
    {
        std::vector<tickets::iterator> matching;
        for (auto each = open_.begin(); each != open_.end(); ++each)
        {
            if (each->second.running == running)
            {
                matching.push_back(each);
            }
        }
        if (matching.empty())
        {
            return open_.end();
        }
        return matching[*rc::gen::inRange<std::size_t>(0, matching.size())];
    }

    void admit(ticket_id ticket)
    {
        open_ticket& one = open_.at(ticket);
        RC_ASSERT(!one.running);
        RC_ASSERT(one.info.deadline > now_);
        // Strict rank order: no call of a better rank waits in its lane.
        for (const auto& [other, waits] : open_)
        {
            const bool same_lane = waits.info.bulk == one.info.bulk;
            const bool better = waits.info.rank < one.info.rank;
            const bool pending = !waits.running && !unapplied_.contains(other);
            RC_ASSERT(!(same_lane && better && pending && other != ticket));
        }
        one.running = true;
    }

    void check(std::span<const queue_outcome> outcomes)
    {
        unapplied_.clear();
        for (const queue_outcome& each : outcomes)
        {
            RC_ASSERT(unapplied_.insert(each.ticket).second);
            RC_ASSERT(open_.contains(each.ticket));
        }
        for (const queue_outcome& each : outcomes)
        {
            unapplied_.erase(each.ticket);
            if (std::holds_alternative<admitted>(each.verdict))
            {
                admit(each.ticket);
            }
            else
            {
                RC_ASSERT(!open_.at(each.ticket).running);
                open_.erase(each.ticket);
            }
        }
    }

    admission_controller controller_{7};
    time_point now_ = manual_clock().now();
    tickets open_;
    std::set<ticket_id> unapplied_;
    std::uint64_t last_ticket_ = 0;
};

RC_GTEST_PROP(admission_fuzz, answers_each_ticket_once_and_leaks_no_slot, ())
{
    checked_controller controller;
    const int steps = *rc::gen::inRange(1, 300);
    for (int step = 0; step < steps; ++step)
    {
        switch (*rc::gen::inRange(0, 10))
        {
        case 0:
        case 1:
            controller.finish();
            break;
        case 2:
            controller.cancel();
            break;
        case 3:
            controller.pass_time();
            break;
        case 4:
            controller.sub_call();
            break;
        default:
            controller.arrive();
        }
        controller.check_invariants();
    }
    controller.drain();
}

} // namespace
} // namespace nutmegusher
