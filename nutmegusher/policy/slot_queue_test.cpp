// Tests of the order and the refusals of the queue in front of an upstream's
// slots.
#include "nutmegusher/policy/slot_queue.hpp"

#include <gtest/gtest.h>

#include <map>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

class slots : public ::testing::Test
{
protected:
    slots()
        : queue(1)
    {
        queue.set_slots(2, now);
    }

    call_info call(std::uint8_t rank, duration target, duration left)
    {
        call_info made;
        made.ticket = ticket_id(++tickets);
        made.rank = rank;
        made.work_class = rank;
        made.target = target;
        made.deadline = now + left;
        return made;
    }

    decision arrive(const call_info& info)
    {
        return queue.arrive(info, now).verdict;
    }

    // Runs calls of the rank's class until its slot time is known.
    void learn(std::uint8_t rank, duration slot_time)
    {
        for (int i = 0; i < 50; ++i)
        {
            const auto info = call(rank, 1s, 5s);
            arrive(info);
            now += slot_time;
            queue.finish(info.ticket, call_result::ok, now);
        }
    }

    std::vector<ticket_id>
    admitted_in(std::span<const queue_outcome> outcomes) const
    {
        std::vector<ticket_id> all;
        for (const auto& each : outcomes)
        {
            if (std::holds_alternative<admitted>(each.verdict))
            {
                all.push_back(each.ticket);
            }
        }
        return all;
    }

    time_point now{std::chrono::hours(1)};
    slot_queue queue;
    std::uint64_t tickets = 0;
};

TEST_F(slots, lets_in_as_many_as_the_upstream_works_on)
{
    EXPECT_EQ(arrive(call(1, 1s, 5s)), decision(admitted()));
    EXPECT_EQ(arrive(call(1, 1s, 5s)), decision(admitted()));
    EXPECT_EQ(arrive(call(0, 1s, 5s)), decision(queued()));
}

TEST_F(slots, the_better_rank_goes_first_then_the_earliest_deadline)
{
    const auto running = call(1, 1s, 5s);
    arrive(running);
    arrive(call(1, 1s, 5s));
    const auto lesser = call(2, 50ms, 200ms);
    const auto long_work = call(1, 300ms, 700ms);
    const auto lookup = call(1, 120ms, 500ms);
    const auto payout = call(0, 1500ms, 5s);
    for (const auto& each : {lesser, long_work, lookup, payout})
    {
        EXPECT_EQ(arrive(each), decision(queued()));
    }
    std::vector<ticket_id> order;
    auto ended = running.ticket;
    for (int i = 0; i < 4; ++i)
    {
        const auto next =
            admitted_in(queue.finish(ended, call_result::ok, now));
        ASSERT_EQ(next.size(), 1U);
        order.push_back(next.front());
        ended = next.front();
    }
    const std::vector<ticket_id> wanted{
        payout.ticket, lookup.ticket, long_work.ticket, lesser.ticket};
    EXPECT_EQ(order, wanted);
}

// A sub-call of a better rank with time to spare waits beside a call whose
// target is tight.
TEST_F(slots, in_a_short_queue_the_tightest_target_goes_first)
{
    learn(1, 20ms);
    learn(2, 60ms);
    const auto running = call(1, 300ms, 700ms);
    arrive(running);
    arrive(call(1, 300ms, 700ms));
    const auto sub_call = call(1, 300ms, 700ms);
    const auto signing = call(2, 250ms, 1s);
    EXPECT_EQ(arrive(sub_call), decision(queued()));
    EXPECT_EQ(arrive(signing), decision(queued()));
    const auto next =
        admitted_in(queue.finish(running.ticket, call_result::ok, now));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next.front(), signing.ticket);
}

// The queue is longer than the targets: calls that are refused last start
// first.
TEST_F(slots, in_a_long_queue_the_better_rank_goes_first)
{
    learn(1, 20ms);
    learn(2, 60ms);
    const auto running = call(1, 300ms, 700ms);
    arrive(running);
    arrive(call(1, 300ms, 700ms));
    std::vector<ticket_id> sub_calls;
    for (int i = 0; i < 40; ++i)
    {
        const auto one = call(1, 300ms, 7s);
        sub_calls.push_back(one.ticket);
        EXPECT_EQ(arrive(one), decision(queued()));
    }
    EXPECT_EQ(arrive(call(2, 250ms, 9s)), decision(queued()));
    const auto next =
        admitted_in(queue.finish(running.ticket, call_result::ok, now));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next.front(), sub_calls.front());
}

TEST_F(slots, refuses_at_once_what_cannot_end_in_time)
{
    learn(1, 100ms);
    EXPECT_TRUE(std::holds_alternative<refused>(arrive(call(1, 1s, 60ms))));
    arrive(call(1, 1s, 5s));
    arrive(call(1, 1s, 5s));
    // A slot becomes free every 50 ms: the tenth call would end after 600 ms.
    for (int i = 0; i < 9; ++i)
    {
        EXPECT_EQ(arrive(call(0, 100ms, 5s)), decision(queued()));
    }
    const auto verdict = arrive(call(1, 1s, 550ms));
    ASSERT_TRUE(std::holds_alternative<refused>(verdict));
    EXPECT_GT(std::get<refused>(verdict).retry_after, 0ms);
}

// Shedding lesser work frees no slot that a call refused for its slot time
// could use.
TEST_F(slots, calls_that_are_refused_as_too_slow_raise_no_level)
{
    learn(1, 400ms);
    for (int i = 0; i < 1000; ++i)
    {
        now += 1ms;
        if (arrive(call(1, 1s, 300ms)) == decision(admitted()))
        {
            break;
        }
    }
    EXPECT_EQ(queue.state().running, 1U);
    EXPECT_LT(queue.state().demand, 1.0);
    EXPECT_EQ(queue.shed_level(), 0);
}

TEST_F(slots, a_waiting_call_is_refused_once_it_would_miss_its_deadline)
{
    learn(1, 100ms);
    arrive(call(1, 1s, 5s));
    arrive(call(1, 1s, 5s));
    const auto waits = call(1, 1s, 400ms);
    EXPECT_EQ(arrive(waits), decision(queued()));
    ASSERT_TRUE(queue.next_event());
    EXPECT_LE(*queue.next_event(), waits.deadline);
    now += 350ms;
    const auto outcomes = queue.tick(now);
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes.front().ticket, waits.ticket);
    EXPECT_TRUE(std::holds_alternative<refused>(outcomes.front().verdict));
    EXPECT_FALSE(queue.next_event());
}

TEST_F(slots, a_leaving_upstream_gets_no_more_calls)
{
    const auto running = call(1, 1s, 5s);
    arrive(running);
    arrive(call(1, 1s, 5s));
    arrive(call(1, 1s, 5s));
    EXPECT_EQ(queue.set_leaving(true, now).size(), 1U);
    EXPECT_TRUE(std::holds_alternative<refused>(arrive(call(0, 1s, 5s))));
    EXPECT_TRUE(queue.finish(running.ticket, call_result::ok, now).empty());
}

TEST_F(slots, within_a_rate_limit_the_better_rank_goes_first)
{
    queue.set_rate_limit(10.0, now);
    const auto lesser = call(2, 1s, 5s);
    const auto payout = call(0, 1s, 5s);
    EXPECT_EQ(arrive(lesser), decision(queued()));
    EXPECT_EQ(arrive(payout), decision(queued()));
    EXPECT_TRUE(admitted_in(queue.tick(now + 99ms)).empty());
    now += 100ms;
    ASSERT_EQ(queue.next_limited_start(), now);
    EXPECT_EQ(admitted_in(queue.tick(now)), std::vector{payout.ticket});
    now += 100ms;
    EXPECT_EQ(admitted_in(queue.tick(now)), std::vector{lesser.ticket});
}

TEST_F(slots, a_rate_limit_shows_as_fewer_slots)
{
    queue.set_slots(100, now);
    learn(1, 100ms);
    EXPECT_EQ(queue.state().slots, 100U);
    queue.set_rate_limit(35.0, now);
    EXPECT_EQ(queue.state().slots, 3U);
    queue.set_rate_limit(2.0, now);
    EXPECT_EQ(queue.state().slots, 1U);
    EXPECT_EQ(queue.state().slot_time, 500ms);
    queue.set_rate_limit(std::nullopt, now);
    EXPECT_EQ(queue.state().slots, 100U);
}

TEST_F(slots, a_call_whose_caller_has_gone_frees_its_place)
{
    arrive(call(1, 1s, 5s));
    arrive(call(1, 1s, 5s));
    const auto waits = call(1, 1s, 5s);
    arrive(waits);
    queue.cancel(waits.ticket, now);
    EXPECT_EQ(queue.state().waiting, 0U);
    EXPECT_EQ(queue.state().running, 2U);
}

// An upstream with 16 slots that takes twice as long when all are taken and
// always has calls waiting.
class full_upstream : public slots
{
protected:
    full_upstream()
    {
        queue.set_slots(16, now);
    }

    void simulate(duration time)
    {
        const auto until = now + time;
        while (now < until)
        {
            while (queue.state().waiting < 4)
            {
                const auto info = call(1, 1s, 60s);
                if (arrive(info) == decision(admitted()))
                {
                    start(info.ticket);
                }
            }
            now = ends.begin()->first;
            const auto ended = ends.begin()->second;
            ends.erase(ends.begin());
            const auto let_in =
                admitted_in(queue.finish(ended, call_result::ok, now));
            for (const auto ticket : let_in)
            {
                start(ticket);
            }
        }
    }

    void start(ticket_id ticket)
    {
        const auto work = ends.size() + 1 >= 16 ? 40ms : 20ms;
        ends.emplace(now + work, ticket);
    }

    std::multimap<time_point, ticket_id> ends;
};

TEST_F(full_upstream, keeps_a_slot_free_that_slows_down_the_others)
{
    simulate(5s);
    EXPECT_EQ(queue.state().slots, 15U);
    EXPECT_EQ(queue.state().running, 15U);
}

TEST_F(full_upstream, uses_all_slots_if_it_makes_sub_calls)
{
    queue.note_sub_call(now);
    simulate(5s);
    EXPECT_EQ(queue.state().slots, 16U);
}

// An upstream crashes with all slots taken and restarts. The new process runs
// none of the earlier calls, and the slot times measured before don't apply to
// it.
TEST_F(slots, a_restart_forgets_running_calls_and_slot_times)
{
    learn(0, 400ms);
    const auto first = call(0, 1s, 5s);
    const auto second = call(0, 1s, 5s);
    arrive(first);
    arrive(second);
    const auto third = call(0, 1s, 5s);
    EXPECT_TRUE(std::holds_alternative<queued>(arrive(third)));
    const auto let_in = admitted_in(queue.restart(now));
    ASSERT_EQ(let_in.size(), 1U);
    EXPECT_EQ(let_in[0], third.ticket);
    EXPECT_EQ(queue.state().running, 1U);
    EXPECT_EQ(queue.state().slot_time, 0ms);
    EXPECT_TRUE(queue.finish(first.ticket, call_result::failed, now).empty());
    EXPECT_EQ(queue.state().running, 1U) << "a call of the earlier process";
    // The slot time of 400 ms is forgotten, so a deadline of 100 ms is
    // accepted.
    const auto short_one = call(0, 1s, 100ms);
    EXPECT_TRUE(std::holds_alternative<admitted>(arrive(short_one)));
}

} // namespace
} // namespace nutmegusher
