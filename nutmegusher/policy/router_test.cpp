#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <string>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;

class routing : public testing::Test
{
protected:
    // Lists `near` upstreams in this data centre, then `far` ones in another.
    void set_up(std::size_t near, std::size_t far)
    {
        candidates.clear();
        for (std::size_t index = 0; index < near + far; ++index)
        {
            candidates.push_back(
                {host_id(std::to_string(index)),
                 index < near ? network_distance::same_data_center
                              : network_distance::same_region,
                 false});
        }
        route.update(candidates, clock.now());
        call.repeatable = true;
    }

    std::optional<upstream_handle> choose()
    {
        return route.choose(call, {}, clock.now(), engine);
    }

    // Makes calls that are all answered after `latency`. Returns how often each
    // host was chosen.
    std::map<std::string, int> run(int calls, duration latency)
    {
        std::map<std::string, int> chosen;
        for (int index = 0; index < calls; ++index)
        {
            const auto to = choose();
            if (!to)
            {
                continue;
            }
            ++chosen[route.host(*to)->str()];
            route.on_start(*to, false, clock.now());
            clock.advance(milliseconds(1));
            route.on_answer(*to, false, latency, clock.now());
        }
        return chosen;
    }

    upstream_handle handle_of(const std::string& host)
    {
        for (std::uint64_t value = 1; value <= candidates.size(); ++value)
        {
            const host_id* const known = route.host(upstream_handle(value));
            if (known != nullptr && known->str() == host)
            {
                return upstream_handle(value);
            }
        }
        return upstream_handle(0);
    }

    manual_clock clock;
    random_engine engine{1};
    router route;
    std::vector<candidate> candidates;
    call_info call;
};

TEST_F(routing, stays_in_the_near_data_center)
{
    set_up(2, 4);
    const auto chosen = run(1000, milliseconds(10));
    EXPECT_EQ(chosen.size(), 2U);
    EXPECT_GT(chosen.at("0"), 300);
    EXPECT_GT(chosen.at("1"), 300);
}

TEST_F(routing, uses_far_upstreams_for_ranks_the_near_ones_refuse)
{
    set_up(2, 4);
    admission_level level;
    level.short_lane = {5, 0};
    for (const char* near : {"0", "1"})
    {
        route.on_level(handle_of(near), level, clock.now());
    }
    call.rank = 7;
    const auto far = choose();
    ASSERT_TRUE(far.has_value());
    EXPECT_GE(std::stoi(route.host(*far)->str()), 2);
    call.rank = 0;
    const auto near = choose();
    ASSERT_TRUE(near.has_value());
    EXPECT_LT(std::stoi(route.host(*near)->str()), 2);
}

TEST_F(routing, ejects_a_silent_upstream_at_once_and_readmits_it)
{
    set_up(4, 0);
    run(100, milliseconds(10));
    route.on_start(handle_of("2"), false, clock.now());
    route.on_silent(handle_of("2"), false, clock.now());
    EXPECT_FALSE(run(100, milliseconds(10)).contains("2"));
    clock.advance(milliseconds(300));
    EXPECT_GT(run(100, milliseconds(10))["2"], 0);
}

TEST_F(routing, readmits_an_upstream_that_gets_no_short_idempotent_calls)
{
    for (const bool bulk : {false, true})
    {
        route = router();
        set_up(3, 0);
        run(30, milliseconds(2));
        call.repeatable = false;
        call.bulk = bulk;
        const auto silent = choose();
        ASSERT_TRUE(silent);
        const auto host = route.host(*silent)->str();
        route.on_start(*silent, false, clock.now());
        route.on_silent(*silent, false, clock.now());
        EXPECT_FALSE(run(200, milliseconds(2)).contains(host));
        run(5000, milliseconds(2));
        EXPECT_TRUE(run(200, milliseconds(2)).contains(host));
    }
}

TEST_F(routing, ejects_a_slow_upstream)
{
    set_up(4, 0);
    run(200, milliseconds(10));
    const upstream_handle slow = handle_of("1");
    for (int index = 0; index < 10; ++index)
    {
        route.on_start(slow, false, clock.now());
        route.on_answer(slow, false, milliseconds(200), clock.now());
    }
    EXPECT_FALSE(run(100, milliseconds(10)).contains("1"));
}

TEST_F(routing, never_leaves_a_service_without_upstreams)
{
    set_up(4, 0);
    for (int round = 0; round < 20; ++round)
    {
        for (const char* host : {"0", "1", "2", "3"})
        {
            route.on_start(handle_of(host), false, clock.now());
            route.on_silent(handle_of(host), false, clock.now());
        }
    }
    std::size_t ejected = 0;
    for (const upstream_state& each : route.state())
    {
        ejected += each.ejected ? 1 : 0;
    }
    EXPECT_LE(ejected, 2U);
    EXPECT_TRUE(choose().has_value());
}

TEST_F(routing, sends_no_calls_to_a_leaving_upstream)
{
    set_up(3, 0);
    candidates[1].leaving = true;
    route.update(candidates, clock.now());
    EXPECT_FALSE(run(200, milliseconds(10)).contains("1"));
    const std::array tried{handle_of("0"), handle_of("2")};
    EXPECT_FALSE(route.choose(call, tried, clock.now(), engine).has_value());
}

TEST_F(routing, a_service_refuses_only_when_half_of_its_upstreams_do)
{
    set_up(4, 0);
    admission_level level;
    level.short_lane = {0, 1000};
    route.on_level(handle_of("0"), level, clock.now());
    EXPECT_EQ(route.service_level(clock.now()).short_lane, lane_level{});
    for (const char* host : {"1", "2", "3"})
    {
        route.on_level(handle_of(host), level, clock.now());
    }
    EXPECT_EQ(route.service_level(clock.now()).short_lane.rank, 0);
}

} // namespace
} // namespace nutmegusher
