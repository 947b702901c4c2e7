#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace nutmegusher
{
namespace
{

TEST(router, a_leaving_upstream_gets_no_calls_before_membership_reports_it)
{
    manual_clock clock;
    random_engine engine(7);
    router route;
    const std::array both{
        candidate{host_id("leaves"), network_distance::same_data_center},
        candidate{host_id("stays"), network_distance::same_region}};
    route.update(both, clock.now());
    call_info call;
    call.deadline = clock.now() + std::chrono::hours(1);
    const auto first = route.choose(call, {}, clock.now(), engine);
    ASSERT_TRUE(first);
    ASSERT_EQ(*route.host(*first), host_id("leaves"));
    route.on_start(*first, false, clock.now());
    route.on_leaving(*first, false, clock.now());
    for (int i = 0; i < 100; ++i)
    {
        // Membership lags: it still lists the upstream as serving.
        route.update(both, clock.now());
        const auto next = route.choose(call, {}, clock.now(), engine);
        ASSERT_TRUE(next);
        EXPECT_EQ(*route.host(*next), host_id("stays"));
        clock.advance(std::chrono::milliseconds(10));
    }
}

TEST(router, an_upstream_that_has_said_it_leaves_stays_out_until_it_restarts)
{
    manual_clock clock;
    random_engine engine(7);
    router route;
    std::array both{
        candidate{host_id("leaves"), network_distance::same_data_center},
        candidate{host_id("stays"), network_distance::same_region}};
    both[0].start = 1;
    route.update(both, clock.now());
    call_info call;
    call.deadline = clock.now() + std::chrono::hours(1);
    const auto choose = [&]
    {
        const auto chosen = route.choose(call, {}, clock.now(), engine);
        return chosen ? *route.host(*chosen) : host_id("");
    };
    const auto first = route.choose(call, {}, clock.now(), engine);
    ASSERT_TRUE(first);
    ASSERT_EQ(*route.host(*first), host_id("leaves"));
    route.on_left(*first);
    clock.advance(std::chrono::minutes(1));
    EXPECT_EQ(choose(), host_id("stays"));
    // An old record lists it again after membership had dropped it.
    route.update(std::span(both).last(1), clock.now());
    route.update(both, clock.now());
    EXPECT_EQ(choose(), host_id("stays"));
    both[0].start = 2;
    route.update(both, clock.now());
    EXPECT_EQ(choose(), host_id("leaves"));
}

TEST(router, an_upstream_whose_address_was_reused_gets_no_calls_until_updated)
{
    manual_clock clock;
    random_engine engine(7);
    router route;
    std::array both{
        candidate{host_id("gone"), network_distance::same_data_center},
        candidate{host_id("stays"), network_distance::same_region}};
    route.update(both, clock.now());
    call_info call;
    call.deadline = clock.now() + std::chrono::hours(1);
    const auto choose = [&]
    {
        const auto chosen = route.choose(call, {}, clock.now(), engine);
        return chosen ? *route.host(*chosen) : host_id("");
    };
    const auto first = route.choose(call, {}, clock.now(), engine);
    ASSERT_TRUE(first);
    ASSERT_EQ(*route.host(*first), host_id("gone"));
    route.on_start(*first, false, clock.now());
    route.on_address_reused(*first, false, clock.now());
    for (int i = 0; i < 50; ++i)
    {
        route.update(both, clock.now());
        EXPECT_EQ(choose(), host_id("stays"));
        clock.advance(std::chrono::milliseconds(100));
    }
    both[0].start = 2;
    route.update(both, clock.now());
    EXPECT_EQ(choose(), host_id("gone")) << "it has started again";
}

// An upstream that failed and was ejected restarts. Guards against failures and
// late answers of the earlier start being counted for the new one.
TEST(router, a_restarted_upstream_does_not_inherit_earlier_failures)
{
    manual_clock clock;
    random_engine engine(7);
    router route;
    std::array both{
        candidate{host_id("failed"), network_distance::same_data_center},
        candidate{host_id("other"), network_distance::same_data_center}};
    route.update(both, clock.now());
    upstream_handle bad;
    for (const auto& each : route.state())
    {
        bad = each.host == host_id("failed") ? each.handle : bad;
    }
    for (int i = 0; i < 10; ++i)
    {
        route.on_start(bad, false, clock.now());
        route.on_failure(bad, false, clock.now());
    }
    const auto is_ejected = [&]
    {
        const auto states = route.state();
        return std::any_of(
            states.begin(),
            states.end(),
            [](const upstream_state& each)
            {
                return each.ejected;
            });
    };
    ASSERT_TRUE(is_ejected());
    both[0].start = 2;
    route.update(both, clock.now());
    EXPECT_FALSE(is_ejected());
    route.on_answer(bad, false, std::chrono::seconds(9), clock.now());
    for (const auto& each : route.state())
    {
        EXPECT_EQ(each.latency, duration::zero()) << "a late answer";
    }
}

} // namespace
} // namespace nutmegusher
