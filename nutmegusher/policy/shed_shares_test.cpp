#include "nutmegusher/policy/shed_shares.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t browse = 1;
constexpr std::uint64_t sign = 2;

// For each request that needs a single slot there are nine that pass through
// four services.
class ordered : public ::testing::Test
{
protected:
    ordered()
    {
        for (int i = 0; i < 200; ++i)
        {
            now += 10ms;
            order.on_request(i % 10 == 0 ? sign : browse, now);
            order.on_answer(browse, 450ms);
            order.on_answer(sign, 90ms);
        }
    }

    [[nodiscard]] double total_share(double part) const
    {
        return 0.9 * order.share_of(browse, part, now) +
               0.1 * order.share_of(sign, part, now);
    }

    time_point now{std::chrono::hours(1)};
    shed_shares order;
};

TEST_F(ordered, a_class_is_turned_away_in_proportion_to_its_time)
{
    const double of_browse = order.share_of(browse, 0.5, now);
    const double of_sign = order.share_of(sign, 0.5, now);
    EXPECT_NEAR(of_browse / of_sign, 5.0, 0.1);
}

TEST_F(ordered, all_classes_together_lose_the_part_asked_for)
{
    for (const double part : {0.1, 0.5, 0.9, 0.93, 0.97})
    {
        EXPECT_NEAR(total_share(part), part, 0.02) << part;
    }
    EXPECT_DOUBLE_EQ(order.share_of(sign, 0, now), 0);
    EXPECT_DOUBLE_EQ(order.share_of(sign, 1, now), 1);
}

TEST_F(ordered, the_short_ones_go_last)
{
    EXPECT_DOUBLE_EQ(order.share_of(browse, 0.95, now), 1);
    EXPECT_NEAR(order.share_of(sign, 0.95, now), 0.5, 0.05);
}

TEST(shed_shares, classes_of_which_nothing_is_known_lose_the_same)
{
    const time_point now{std::chrono::hours(1)};
    shed_shares order;
    EXPECT_DOUBLE_EQ(order.share_of(browse, 0.4, now), 0.4);
    order.on_request(browse, now);
    order.on_request(sign, now);
    EXPECT_DOUBLE_EQ(order.share_of(browse, 0.4, now), 0.4);
    EXPECT_DOUBLE_EQ(order.share_of(sign, 0.4, now), 0.4);
}

} // namespace
} // namespace nutmegusher
