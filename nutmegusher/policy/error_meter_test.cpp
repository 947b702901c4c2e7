#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;

const data_center_name here("dc1");
const data_center_name there("dc2");

class error_meter_test : public testing::Test
{
protected:
    // Adds one answer each 10 ms; one in `every` is an error, 0: none.
    void add_answers(const data_center_name& from, int count, int every)
    {
        for (int i = 0; i < count; ++i)
        {
            now += milliseconds(10);
            meter.on_answer(from, every > 0 && i % every == 0, now);
        }
    }

    error_meter meter;
    time_point now = time_point(std::chrono::hours(1));
};

TEST_F(error_meter_test, returns_the_share_of_errors)
{
    add_answers(here, 100, 2);
    EXPECT_NEAR(meter.share(here, now), 0.5, 0.05);
}

TEST_F(error_meter_test, share_is_zero_for_too_few_answers)
{
    add_answers(here, 3, 3);
    EXPECT_EQ(meter.share(here, now), 0);
}

TEST_F(error_meter_test, errors_that_failed_calls_explain_are_not_its_own)
{
    for (int i = 0; i < 100; ++i)
    {
        add_answers(here, 1, 0);
        meter.on_failed_call(now);
        add_answers(here, 1, 1);
    }
    EXPECT_NEAR(meter.share(here, now), 0, 0.02);
}

TEST_F(error_meter_test, counts_errors_per_data_center)
{
    for (int i = 0; i < 50; ++i)
    {
        add_answers(here, 1, 1);
        add_answers(there, 1, 0);
    }
    EXPECT_GT(meter.share(here, now), 0.9);
    EXPECT_LT(meter.share(there, now), 0.1);
}

TEST_F(error_meter_test, a_data_center_with_few_calls_gets_the_overall_share)
{
    add_answers(here, 100, 2);
    EXPECT_NEAR(meter.share(there, now), 0.5, 0.05);
}

TEST_F(error_meter_test, past_errors_decay_within_seconds)
{
    add_answers(here, 100, 1);
    add_answers(here, 400, 0);
    EXPECT_LT(meter.share(here, now), 0.1);
}

} // namespace
} // namespace nutmegusher
