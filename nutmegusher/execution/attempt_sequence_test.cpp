#include "nutmegusher/execution/execution.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

TEST(attempt_sequence, rises_while_the_clock_stands_still_or_goes_back)
{
    attempt_sequence sequence;
    const auto first = sequence.next(1000);
    const auto second = sequence.next(1000);
    const auto third = sequence.next(900);
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
}

TEST(attempt_sequence, rises_across_a_restart)
{
    attempt_sequence before;
    attempt_sequence after;
    EXPECT_LT(before.next(1000), after.next(1001));
}

TEST(attempt_sequence, encodes_the_time_of_issue)
{
    attempt_sequence sequence;
    const auto number = sequence.next(1'790'000'000'000);
    EXPECT_EQ(attempt_sequence::issued_at_ms(number), 1'790'000'000'000U);
}

} // namespace
} // namespace nutmegusher
