#include "nutmegusher/base/random.hpp"
#include "nutmegusher/policy/rate_meter.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(rate_meter, without_a_limit_it_allows_everything)
{
    rate_meter meter;
    const time_point now{seconds(1)};
    for (int i = 0; i < 1000; ++i)
    {
        ASSERT_TRUE(meter.allows(now));
        meter.on_start(now);
    }
}

TEST(rate_meter, a_limit_begins_without_a_burst)
{
    rate_meter meter;
    const time_point begin{seconds(1)};
    meter.set_limit(20.0, begin);
    EXPECT_FALSE(meter.allows(begin));
    EXPECT_EQ(meter.next_start(), begin + milliseconds(50));
    EXPECT_TRUE(meter.allows(meter.next_start()));
}

TEST(rate_meter, a_limit_that_ends_holds_nothing_back)
{
    rate_meter meter;
    const time_point begin{seconds(1)};
    meter.set_limit(0.0, begin);
    EXPECT_FALSE(meter.allows(begin));
    meter.set_limit(std::nullopt, begin);
    EXPECT_TRUE(meter.allows(begin));
}

TEST(rate_meter, an_upstream_that_takes_nothing_is_asked_now_and_then)
{
    rate_meter meter;
    const time_point begin{seconds(1)};
    meter.set_limit(0.0, begin);
    EXPECT_EQ(meter.next_start(), begin + seconds(4));
}

// Arrivals, pauses and changes of the limit at random; no span of four seconds
// has more starts than its highest limit allows.
class random_load : public ::testing::TestWithParam<std::uint64_t>
{
};

TEST_P(random_load, no_span_exceeds_its_limit)
{
    random_engine engine(GetParam());
    const auto draw = [&engine](std::uint64_t below)
    {
        return uniform_below(engine, below);
    };
    constexpr seconds span(4);
    rate_meter meter;
    time_point now{seconds(1)};
    std::deque<time_point> starts;
    std::deque<std::pair<time_point, double>> limits;
    double limit = 0;
    for (int i = 0; i < 20'000; ++i)
    {
        if (limits.empty() || draw(500) == 0)
        {
            limit = static_cast<double>(draw(3000)) / 10;
            meter.set_limit(limit, now);
            limits.emplace_back(now, std::max(limit, rate_meter::min_rate));
        }
        now +=
            draw(200) == 0 ? milliseconds(draw(3000)) : milliseconds(draw(10));
        while (meter.allows(now) && draw(10) > 0)
        {
            meter.on_start(now);
            starts.push_back(now);
        }
        while (!starts.empty() && starts.front() <= now - span)
        {
            starts.pop_front();
        }
        while (limits.size() > 1 && limits[1].first <= now - span)
        {
            limits.pop_front();
        }
        double highest = 0;
        for (const auto& [since, value] : limits)
        {
            highest = std::max(highest, value);
        }
        const double allowed =
            highest * span.count() + rate_meter::burst_of(highest);
        ASSERT_LE(static_cast<double>(starts.size()), allowed + 1e-6);
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, random_load, ::testing::Range(1UL, 21UL));

} // namespace
} // namespace nutmegusher
