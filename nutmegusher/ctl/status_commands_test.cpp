#include "nutmegusher/ctl/ctl_test_support.hpp"

namespace nutmegusher::ctl
{
namespace
{

using ::testing::HasSubstr;

// Revision 10 is missing at two of 16 daemons.
constexpr const char* lagging_rollout = R"({"revision": 10,
    "counts": [{"revision": 10, "daemons": 14}, {"revision": 9, "daemons": 2}],
    "lagging": [{"host": "d1", "revision": 9}, {"host": "d2", "revision": 9}]})";
// All daemons run revision 10 or a later one.
constexpr const char* complete_rollout = R"({"revision": 11,
    "counts": [{"revision": 11, "daemons": 1}, {"revision": 10, "daemons": 15}],
    "lagging": [{"host": "d1", "revision": 10}]})";

TEST_F(ctl_test, status_names_lagging_daemons)
{
    script_reply("/v1/rollout", 200, lagging_rollout);
    EXPECT_EQ(run_with_address("status"), exit_code::success);
    EXPECT_THAT(
        out.str(), HasSubstr("revision 10 is in force at 14 of 16 daemons"));
    EXPECT_THAT(out.str(), HasSubstr("d2              9"));
}

TEST_F(ctl_test, wait_shows_progress_and_ends_when_all_have_it)
{
    script_reply("/v1/rollout", 200, lagging_rollout);
    script_reply("/v1/rollout", 200, lagging_rollout);
    script_reply("/v1/rollout", 200, complete_rollout);
    EXPECT_EQ(
        run_with_address("status --wait --revision 10"), exit_code::success);
    EXPECT_THAT(
        error.str(),
        HasSubstr("revision 10: 14 of 16 daemons; waiting for d1, d2"));
    EXPECT_THAT(out.str(), HasSubstr("in force at all 16 daemons"));
}

TEST_F(ctl_test, totals_are_used_without_counts)
{
    script_reply(
        "/v1/rollout", 200, R"({"revision": 9, "daemons": 2, "in_force": 2})");
    script_reply(
        "/v1/rollout", 200, R"({"revision": 10, "daemons": 2, "in_force": 1})");
    script_reply(
        "/v1/rollout", 200, R"({"revision": 10, "daemons": 2, "in_force": 2})");
    EXPECT_EQ(
        run_with_address("status --wait --revision 10"), exit_code::success);
    EXPECT_EQ(queries.size(), 3U);
}

TEST_F(ctl_test, wait_ends_with_4_when_its_time_is_over)
{
    script_reply("/v1/rollout", 200, lagging_rollout);
    EXPECT_EQ(
        run_with_address("status --wait --wait-seconds 2"),
        exit_code::timed_out);
    EXPECT_THAT(out.str(), HasSubstr("d1"));
}

TEST_F(ctl_test, no_daemons_is_not_in_force_everywhere)
{
    script_reply("/v1/rollout", 200, R"({"revision": 10, "counts": []})");
    EXPECT_EQ(
        run_with_address("status --wait --wait-seconds 1"),
        exit_code::timed_out);
}

TEST_F(ctl_test, change_can_wait_until_it_is_in_force)
{
    script_reply("/v1/configuration", 200, two_classes);
    script_reply("/v1/changes", 200, accepted_reply);
    script_reply("/v1/rollout", 200, lagging_rollout);
    script_reply("/v1/rollout", 200, complete_rollout);
    EXPECT_EQ(
        run_with_address("class remove statement --wait"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("revision 10 is in force at all 16"));
}

TEST_F(ctl_test, daemon_without_control_has_no_rollout)
{
    script_reply(
        "/v1/rollout", 404, R"({"error": {"problem": "not-a-control-host"}})");
    EXPECT_EQ(run_with_address("status"), exit_code::bad_usage);
    EXPECT_THAT(error.str(), HasSubstr("not-a-control-host, status 404"));
}

} // namespace
} // namespace nutmegusher::ctl
