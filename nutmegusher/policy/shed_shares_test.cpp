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
class shed_shares_test : public ::testing::Test
{
protected:
    shed_shares_test()
    {
        for (int i = 0; i < 200; ++i)
        {
            now += 10ms;
            shares.on_request(i % 10 == 0 ? sign : browse, now);
            shares.on_answer(browse, 450ms);
            shares.on_answer(sign, 90ms);
        }
    }

    [[nodiscard]] double total_share(double shed_share) const
    {
        return 0.9 * shares.share_of(browse, shed_share, now) +
               0.1 * shares.share_of(sign, shed_share, now);
    }

    time_point now{std::chrono::hours(1)};
    shed_shares shares;
};

TEST_F(shed_shares_test, a_class_is_shed_in_proportion_to_its_time)
{
    const double of_browse = shares.share_of(browse, 0.5, now);
    const double of_sign = shares.share_of(sign, 0.5, now);
    EXPECT_NEAR(of_browse / of_sign, 5.0, 0.1);
}

TEST_F(shed_shares_test, all_classes_together_lose_the_requested_share)
{
    for (const double shed_share : {0.1, 0.5, 0.9, 0.93, 0.97})
    {
        EXPECT_NEAR(total_share(shed_share), shed_share, 0.02) << shed_share;
    }
    EXPECT_DOUBLE_EQ(shares.share_of(sign, 0, now), 0);
    EXPECT_DOUBLE_EQ(shares.share_of(sign, 1, now), 1);
}

TEST_F(shed_shares_test, short_classes_are_shed_last)
{
    EXPECT_DOUBLE_EQ(shares.share_of(browse, 0.95, now), 1);
    EXPECT_NEAR(shares.share_of(sign, 0.95, now), 0.5, 0.05);
}

TEST(shed_shares, classes_of_which_nothing_is_known_lose_the_same)
{
    const time_point now{std::chrono::hours(1)};
    shed_shares shares;
    EXPECT_DOUBLE_EQ(shares.share_of(browse, 0.4, now), 0.4);
    shares.on_request(browse, now);
    shares.on_request(sign, now);
    EXPECT_DOUBLE_EQ(shares.share_of(browse, 0.4, now), 0.4);
    EXPECT_DOUBLE_EQ(shares.share_of(sign, 0.4, now), 0.4);
}

} // namespace
} // namespace nutmegusher
