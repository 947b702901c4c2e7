#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;

// An upstream with slots and a FIFO queue that always has as many calls in
// flight as the limit allows. Each step ends one call.
class full_upstream
{
public:
    explicit full_upstream(std::size_t slots)
        : slots_(slots)
    {
    }

    // Serves calls for `span`; each takes `work` in a slot.
    void serve(concurrency_limit& limit, duration span, duration work)
    {
        const time_point end = clock_.now() + span;
        while (clock_.now() < end)
        {
            while (in_flight_.size() < limit.value())
            {
                in_flight_.push_back(clock_.now());
                limit.on_start(in_flight_.size(), clock_.now());
            }
            const std::size_t busy = std::min(slots_, in_flight_.size());
            clock_.advance(work / static_cast<std::int64_t>(busy));
            const time_point started = in_flight_.front();
            in_flight_.pop_front();
            const duration latency =
                std::max<duration>(clock_.now() - started, work);
            limit.on_answer(
                {.started = started,
                 .inflation = static_cast<double>(latency.count()) /
                              static_cast<double>(no_load.count())},
                in_flight_.size(),
                clock_.now());
        }
    }

    static constexpr duration no_load = milliseconds(20);

private:
    manual_clock clock_;
    std::size_t slots_;
    std::deque<time_point> in_flight_;
};

TEST(concurrency_limit, finds_the_slots_of_an_upstream)
{
    for (const std::size_t slots : {15U, 40U, 180U})
    {
        concurrency_limit limit;
        full_upstream upstream(slots);
        upstream.serve(limit, std::chrono::seconds(2), full_upstream::no_load);
        EXPECT_GE(limit.value(), slots * 9 / 10) << slots;
        EXPECT_LE(limit.value(), slots * 16 / 10) << slots;
    }
}

TEST(concurrency_limit, shrinks_when_the_upstream_loses_slots_and_recovers)
{
    concurrency_limit limit;
    limit.on_shed(60, time_point());
    const std::size_t before = limit.value();
    limit.on_shed(8, time_point());
    EXPECT_LE(limit.value(), std::max<std::size_t>(8, before / 2));
    full_upstream upstream(60);
    upstream.serve(limit, std::chrono::seconds(2), full_upstream::no_load);
    EXPECT_GE(limit.value(), 15U);
}

TEST(concurrency_limit, keeps_its_limit_when_latency_is_caused_elsewhere)
{
    concurrency_limit limit;
    // With so many slots no call waits, so all inflation is caused elsewhere.
    full_upstream upstream(100'000);
    upstream.serve(limit, milliseconds(200), full_upstream::no_load);
    const std::size_t before = limit.value();
    // Time for two reductions and their evaluation, each one or two call
    // latencies.
    upstream.serve(limit, milliseconds(800), milliseconds(100));
    EXPECT_GE(limit.value(), before);
}

TEST(concurrency_limit, halves_when_no_call_ends)
{
    concurrency_limit limit;
    const time_point start = manual_clock().now();
    limit.on_start(1, start);
    const auto stalled = limit.stall_at(16, milliseconds(20));
    ASSERT_TRUE(stalled.has_value());
    EXPECT_LE(*stalled - start, milliseconds(250));
    limit.on_tick(16, milliseconds(20), *stalled);
    EXPECT_EQ(limit.value(), concurrency_limit::initial / 2);
}

TEST(concurrency_limit, warms_up_no_faster_than_a_doubling_a_step)
{
    concurrency_limit limit;
    limit.begin_warm_up(manual_clock().now());
    full_upstream upstream(100'000);
    upstream.serve(
        limit,
        concurrency_limit::warm_up_step * 2 + milliseconds(50),
        full_upstream::no_load);
    EXPECT_LE(limit.value(), concurrency_limit::initial * 4);
    EXPECT_GE(limit.value(), concurrency_limit::initial * 2);
}

RC_GTEST_PROP(concurrency_limit, stays_at_least_one_whatever_happens, ())
{
    concurrency_limit limit;
    time_point now = manual_clock().now();
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int event : events)
    {
        now += milliseconds(*rc::gen::inRange(0, 100));
        const auto in_flight = *rc::gen::inRange<std::size_t>(0, 400);
        switch (event)
        {
        case 0:
            limit.on_shed(in_flight, now);
            break;
        case 1:
            limit.on_tick(in_flight, milliseconds(5), now);
            break;
        case 2:
            limit.yield(in_flight, now);
            break;
        case 3:
            limit.begin_warm_up(now);
            break;
        default:
            limit.on_answer(
                {.started = now,
                 .inflation = *rc::gen::inRange(0, 40) / 4.0,
                 .timed_out = *rc::gen::arbitrary<bool>()},
                in_flight,
                now);
        }
        RC_ASSERT(limit.value() >= 1U);
        RC_ASSERT(limit.value() <= 10'000U);
    }
}

} // namespace
} // namespace nutmegusher
