#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>

#include <array>

namespace nutmegusher
{
namespace
{

TEST(router, one_that_says_it_leaves_gets_nothing_before_membership_tells)
{
    manual_clock clock;
    random_engine engine(7);
    router route;
    const std::array both{
        candidate{host_id("leaves"), network_distance::same_data_center},
        candidate{host_id("stays"), network_distance::same_region}};
    route.update(both, clock.now());
    call_facts call;
    call.deadline = clock.now() + std::chrono::hours(1);
    const auto first = route.choose(call, {}, clock.now(), engine);
    ASSERT_TRUE(first);
    ASSERT_EQ(*route.host(*first), host_id("leaves"));
    route.on_start(*first, false, clock.now());
    route.on_leaving(*first, false, clock.now());
    for (int i = 0; i < 100; ++i)
    {
        // Membership lags: it still calls the upstream a serving one.
        route.update(both, clock.now());
        const auto next = route.choose(call, {}, clock.now(), engine);
        ASSERT_TRUE(next);
        EXPECT_EQ(*route.host(*next), host_id("stays"));
        clock.advance(std::chrono::milliseconds(10));
    }
}

} // namespace
} // namespace nutmegusher
