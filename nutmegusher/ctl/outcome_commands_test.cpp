#include "nutmegusher/ctl/ctl_test_support.hpp"

#include <boost/json/parse.hpp>

namespace nutmegusher::ctl
{
namespace
{

using ::testing::HasSubstr;

constexpr const char* outcome_target =
    "/v1/outcome?customer=c&class=payout&key=k";
constexpr const char* unknown_outcome = R"({"outcome": "unknown", "holder":
    {"entry_host": "e", "entry_incarnation": 3,
     "sequence": 1876953497600000001, "executor_host": "x",
     "executor_incarnation": 4, "execution": 5}})";
const std::string settle_command =
    "outcome settle --customer c --class payout --key k --executor x ";

TEST_F(ctl_test, outcome_percent_encodes_its_query)
{
    script_reply(
        "/v1/outcome?customer=Relief%26Co&class=payout&key=k%2F1",
        200,
        R"({"outcome": "completed", "status": 201})");
    EXPECT_EQ(
        run_with_address(
            "outcome --customer Relief&Co --class payout --key k/1"),
        exit_code::success);
    EXPECT_EQ(out.str(), "outcome: completed\nstatus: 201\n");
}

TEST_F(ctl_test, settling_sends_the_holder_that_was_shown)
{
    script_reply(outcome_target, 200, unknown_outcome);
    script_reply("/v1/outcome", 200, R"({"settled": true})");
    EXPECT_EQ(
        run_with_address(settle_command + "--execution 5 --never-ran"),
        exit_code::success);
    const auto sent = boost::json::parse(queries.back().body);
    EXPECT_EQ(
        sent.at("holder"), boost::json::parse(unknown_outcome).at("holder"));
    EXPECT_EQ(sent.at("never_ran"), true);
    EXPECT_EQ(
        run_with_address(settle_command + "--execution 5 --ran 201"),
        exit_code::success);
    EXPECT_EQ(boost::json::parse(queries.back().body).at("status"), 201);
}

TEST_F(ctl_test, settling_needs_the_present_holder)
{
    script_reply(outcome_target, 200, unknown_outcome);
    EXPECT_EQ(
        run_with_address(settle_command + "--execution 6 --never-ran"),
        exit_code::conflict);
    EXPECT_EQ(queries.size(), 1U);
    EXPECT_THAT(error.str(), HasSubstr("doesn't hold the call"));
}

TEST_F(ctl_test, settling_needs_one_outcome)
{
    EXPECT_EQ(
        run_with_address(settle_command + "--execution 5"),
        exit_code::bad_usage);
    EXPECT_EQ(
        run_with_address(
            settle_command + "--execution 5 --never-ran --ran 201"),
        exit_code::bad_usage);
    EXPECT_TRUE(queries.empty());
}

TEST_F(ctl_test, settling_is_sent_once)
{
    script_reply(outcome_target, 200, unknown_outcome);
    script_reply("/v1/outcome", exchange_failure::connection_lost);
    EXPECT_EQ(
        run_with_address(settle_command + "--execution 5 --never-ran"),
        exit_code::failed);
    EXPECT_EQ(queries.size(), 2U);
    EXPECT_THAT(error.str(), HasSubstr("may have been settled"));
}

} // namespace
} // namespace nutmegusher::ctl
