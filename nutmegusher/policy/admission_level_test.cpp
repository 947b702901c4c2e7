#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

// The error with which parsing `text` fails.
bad_admission_level problem_of(std::string_view text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bad_admission_level>
        {
            BOOST_LEAF_CHECK(parse_level(text));
            ADD_FAILURE() << "unexpectedly parsed: " << text;
            return bad_admission_level{};
        },
        [](const bad_admission_level& failure)
        {
            return failure;
        },
        []
        {
            ADD_FAILURE() << "unexpected error type";
            return bad_admission_level{};
        });
}

TEST(admission_level, survives_a_round_trip)
{
    const admission_level level{
        {4, 250}, {10, 0}, std::chrono::milliseconds(120)};
    const std::string text = format_level(level);
    EXPECT_LE(text.size(), max_level_text);
    EXPECT_EQ(parse_level(text).value(), level);
}

TEST(admission_level, reports_the_parse_error_and_its_field)
{
    EXPECT_EQ(problem_of("").problem, level_problem::missing_field);
    EXPECT_EQ(problem_of("4/250").problem, level_problem::missing_field);
    EXPECT_EQ(problem_of("x/250,10/0,1").problem, level_problem::not_a_number);
    EXPECT_EQ(problem_of("11/0,10/0,1").problem, level_problem::out_of_range);
    EXPECT_EQ(
        problem_of("4/250,10/0,1x").problem, level_problem::trailing_text);
    EXPECT_EQ(problem_of("4/250,10/0,1x").field, 4U);
}

TEST(admission_level, threshold_and_level_convert_both_ways)
{
    for (const double threshold : {0.0, 0.25, 3.5, 9.75, 10.0})
    {
        EXPECT_NEAR(
            pass_threshold(level_for_threshold(threshold)), threshold, 0.002);
    }
}

TEST(admission_level, refuses_worse_ranks_whole_and_its_own_in_part)
{
    admission_level level;
    level.short_lane = {4, 500};
    call_info call;
    call.rank = 3;
    call.request = ~std::uint64_t{0};
    EXPECT_TRUE(passes(level, call));
    call.rank = 4;
    EXPECT_FALSE(passes(level, call));
    call.request = 0;
    EXPECT_TRUE(passes(level, call));
    call.rank = 5;
    EXPECT_FALSE(passes(level, call));
}

} // namespace
} // namespace nutmegusher
