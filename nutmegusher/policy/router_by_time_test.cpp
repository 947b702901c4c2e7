// Routing by the load reports of upstreams: data centres with unequal load, and
// one of three upstreams less than half as fast as the others.
#include "nutmegusher/policy/router.hpp"

#include <gtest/gtest.h>

#include <array>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

class routing_by_expected_time : public ::testing::Test
{
protected:
    routing_by_expected_time()
        : route(router_options{false})
    {
        const std::array<candidate, 3> all{
            candidate{host_id("near-slow"), network_distance::same_data_center},
            candidate{host_id("far-1"), network_distance::same_region},
            candidate{host_id("far-2"), network_distance::same_region}};
        route.update(all, now);
    }

    // Reports the loads (running and waiting calls per upstream) and counts how
    // many of 1,000 calls each upstream would get.
    std::array<int, 3> shares(
        const std::array<std::size_t, 3>& calls, duration slow_slot_time = 44ms)
    {
        std::array<int, 3> counts{};
        for (int i = 0; i < 1000; ++i)
        {
            for (std::uint64_t at = 1; at <= 3; ++at)
            {
                const auto running = std::min<std::size_t>(calls[at - 1], 31);
                route.on_load(
                    upstream_handle(at),
                    {running,
                     calls[at - 1] - running,
                     31,
                     at == 1 ? slow_slot_time : duration(18ms)},
                    now);
            }
            const auto chosen = route.choose({}, {}, now, engine);
            ++counts[chosen->value() - 1];
        }
        return counts;
    }

    time_point now{std::chrono::hours(1)};
    random_engine engine{5};
    router route;
};

TEST_F(
    routing_by_expected_time,
    a_full_near_upstream_sends_calls_to_far_ones_with_room)
{
    const auto counts = shares({31 + 40, 10, 10});
    EXPECT_EQ(counts[0], 0);
}

TEST_F(
    routing_by_expected_time, a_slow_one_gets_calls_before_the_others_are_full)
{
    const auto counts = shares({2, 30, 30});
    EXPECT_GT(counts[0], 600);
}

TEST_F(
    routing_by_expected_time, a_slow_one_is_spared_while_the_others_have_room)
{
    const auto counts = shares({2, 10, 10});
    EXPECT_EQ(counts[0], 0);
}

TEST_F(routing_by_expected_time, light_loads_stay_near_among_equals)
{
    const auto counts = shares({5, 5, 5}, 18ms);
    EXPECT_GT(counts[0], 600);
}

// Two upstreams of 72 slots and one that is a third slower: at a utilization of
// 0.8 a call still finds a free slot at once on the faster ones.
TEST_F(
    routing_by_expected_time,
    a_slow_one_is_spared_until_large_ones_are_nearly_full)
{
    const std::array<candidate, 3> alike{
        candidate{host_id("slow"), network_distance::same_data_center},
        candidate{host_id("fast-1"), network_distance::same_data_center},
        candidate{host_id("fast-2"), network_distance::same_data_center}};
    route.update(alike, now);
    const auto states = route.state();
    const auto slow = states[0].handle;
    int to_slow = 0;
    for (int i = 0; i < 1000; ++i)
    {
        route.on_load(slow, {20, 0, 72, 2600ms}, now);
        route.on_load(states[1].handle, {58, 0, 72, 1900ms}, now);
        route.on_load(states[2].handle, {58, 0, 72, 1900ms}, now);
        const bool is_slow = route.choose({}, {}, now, engine) == slow;
        to_slow += is_slow ? 1 : 0;
    }
    EXPECT_EQ(to_slow, 0);
}

// One of three upstreams fails half of its calls immediately, and therefore has
// the shortest queue; there are 500 calls a second.
class routing_with_one_failing_upstream : public routing_by_expected_time
{
protected:
    // Returns how many calls went to the failing upstream within the time.
    int simulate(duration length)
    {
        int failing = 0;
        for (const auto until = now + length; now < until; now += 2ms)
        {
            const auto chosen = *route.choose({}, {}, now, engine);
            route.on_start(chosen, false, now);
            const bool fails = chosen.value() == 1;
            failing += fails ? 1 : 0;
            route.on_load(chosen, fails ? failing_load : healthy_load, now);
            route.on_answer(chosen, false, fails ? 2ms : 18ms, now);
        }
        return failing;
    }

    upstream_load failing_load{1, 0, 31, 2ms, 0.5};
    upstream_load healthy_load{10, 0, 31, 18ms, 0.0};
};

TEST_F(routing_with_one_failing_upstream, it_gets_one_check_call_a_second)
{
    simulate(1s);
    EXPECT_LE(simulate(10s), 20);
}

TEST_F(
    routing_with_one_failing_upstream,
    it_gets_calls_again_when_it_has_recovered)
{
    simulate(1s);
    failing_load.errors = 0;
    simulate(2s);
    EXPECT_GT(simulate(1s), 100);
}

TEST_F(routing_with_one_failing_upstream, all_are_used_where_all_fail)
{
    healthy_load.errors = 0.5;
    healthy_load.slot_time = failing_load.slot_time;
    healthy_load.running = failing_load.running;
    simulate(1s);
    EXPECT_GT(simulate(1s), 100);
}

} // namespace
} // namespace nutmegusher
