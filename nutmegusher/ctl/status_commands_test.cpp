#include "nutmegusher/ctl/ctl_test_support.hpp"

namespace nutmegusher::ctl
{
namespace
{

using ::testing::HasSubstr;

constexpr const char* lagging = R"({"revision": 10,
    "counts": [{"revision": 10, "daemons": 14}, {"revision": 9, "daemons": 2}],
    "lagging": [{"host": "d1", "revision": 9}, {"host": "d2", "revision": 9}]})";
constexpr const char* in_force = R"({"revision": 11,
    "counts": [{"revision": 11, "daemons": 1}, {"revision": 10, "daemons": 15}],
    "lagging": [{"host": "d1", "revision": 10}]})";

TEST_F(ctl_test, status_names_who_lags)
{
    answer("/v1/rollout", 200, lagging);
    EXPECT_EQ(command("status"), exit_code::success);
    EXPECT_THAT(
        out.str(), HasSubstr("revision 10 is in force at 14 of 16 daemons"));
    EXPECT_THAT(out.str(), HasSubstr("d2              9"));
}

TEST_F(ctl_test, wait_shows_progress_and_ends_when_all_have_it)
{
    answer("/v1/rollout", 200, lagging);
    answer("/v1/rollout", 200, lagging);
    answer("/v1/rollout", 200, in_force);
    EXPECT_EQ(command("status --wait --revision 10"), exit_code::success);
    EXPECT_THAT(
        error.str(),
        HasSubstr("revision 10: 14 of 16 daemons; waiting for d1, d2"));
    EXPECT_THAT(out.str(), HasSubstr("in force at all 16 daemons"));
}

TEST_F(ctl_test, totals_will_do_where_there_are_no_counts)
{
    answer(
        "/v1/rollout", 200, R"({"revision": 9, "daemons": 2, "in_force": 2})");
    answer(
        "/v1/rollout", 200, R"({"revision": 10, "daemons": 2, "in_force": 1})");
    answer(
        "/v1/rollout", 200, R"({"revision": 10, "daemons": 2, "in_force": 2})");
    EXPECT_EQ(command("status --wait --revision 10"), exit_code::success);
    EXPECT_EQ(queries.size(), 3U);
}

TEST_F(ctl_test, wait_ends_with_4_when_its_time_is_over)
{
    answer("/v1/rollout", 200, lagging);
    EXPECT_EQ(command("status --wait --wait-seconds 2"), exit_code::timed_out);
    EXPECT_THAT(out.str(), HasSubstr("d1"));
}

TEST_F(ctl_test, nobody_there_is_not_in_force_everywhere)
{
    answer("/v1/rollout", 200, R"({"revision": 10, "counts": []})");
    EXPECT_EQ(command("status --wait --wait-seconds 1"), exit_code::timed_out);
}

TEST_F(ctl_test, change_can_wait_until_it_is_in_force)
{
    answer("/v1/configuration", 200, two_classes);
    answer("/v1/changes", 200, accepted);
    answer("/v1/rollout", 200, lagging);
    answer("/v1/rollout", 200, in_force);
    EXPECT_EQ(command("class remove statement --wait"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("revision 10 is in force at all 16"));
}

TEST_F(ctl_test, plain_daemon_knows_no_rollout)
{
    answer(
        "/v1/rollout", 404, R"({"error": {"problem": "not-a-control-host"}})");
    EXPECT_EQ(command("status"), exit_code::bad_usage);
    EXPECT_THAT(error.str(), HasSubstr("not-a-control-host, status 404"));
}

} // namespace
} // namespace nutmegusher::ctl
