#include "testing/testing.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::test_support
{
namespace
{

std::vector<violation>
check_one(caller_outcome outcome, bool keyed, execution_count count)
{
    load_record record;
    record.class_name = "payout";
    record.token = "t";
    record.key = keyed ? "t" : "";
    record.outcome = outcome;
    return check_executions({record}, {{"t", count}});
}

TEST(oracle, finds_a_keyed_call_that_ran_twice)
{
    EXPECT_EQ(
        check_one(caller_outcome::completed, true, {2, 2}).at(0).kind,
        violation_kind::ran_twice);
    EXPECT_TRUE(check_one(caller_outcome::completed, false, {2, 2}).empty());
}

TEST(oracle, finds_a_false_not_run)
{
    EXPECT_EQ(
        check_one(caller_outcome::not_run, true, {1, 0}).at(0).kind,
        violation_kind::not_run_but_ran);
    EXPECT_TRUE(check_one(caller_outcome::not_run, true, {0, 0}).empty());
    EXPECT_TRUE(check_one(caller_outcome::unknown, true, {1, 0}).empty());
}

TEST(oracle, finds_an_answer_without_an_execution)
{
    EXPECT_EQ(
        check_one(caller_outcome::completed, true, {0, 0}).at(0).kind,
        violation_kind::completed_not_run);
}

TEST(oracle, finds_a_wrong_answer)
{
    EXPECT_EQ(
        check_one(caller_outcome::wrong, false, {1, 1}).at(0).kind,
        violation_kind::wrong_answer);
}

} // namespace
} // namespace nutmegusher::test_support
