#include "nutmegusher/ctl/ctl_test_support.hpp"

namespace nutmegusher::ctl
{
namespace
{

using ::testing::HasSubstr;

TEST_F(ctl_test, upstreams_are_tables_by_service)
{
    script_reply("/v1/upstreams", 200, R"({
        "balances": [{"host": "b1", "in_flight": 3, "ejected": false}],
        "statements": [{"host": "s1", "in_flight": 0, "ejected": true}]})");
    EXPECT_EQ(run_with_address("upstreams"), exit_code::success);
    EXPECT_THAT(
        out.str(),
        HasSubstr("balances:\n  host  in_flight  ejected\n"
                  "  b1    3          false\n"));
    out.str("");
    EXPECT_EQ(
        run_with_address("upstreams --service statements"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("s1"));
    EXPECT_EQ(
        run_with_address("upstreams --service none"), exit_code::bad_usage);
}

TEST_F(ctl_test, drain_is_sent_once)
{
    script_reply("/v1/drain", exchange_failure::connection_lost);
    EXPECT_EQ(run_with_address("drain"), exit_code::failed);
    ASSERT_EQ(queries.size(), 1U);
    EXPECT_EQ(queries[0].method, "POST");
}

TEST_F(ctl_test, control_shows_members_and_replace_is_another_command)
{
    script_reply(
        "/v1/control", 200, R"({"leader": "c1", "members": ["c1", "c2"]})");
    EXPECT_EQ(run_with_address("control"), exit_code::success);
    EXPECT_EQ(out.str(), "leader: c1\nmembers:\n  c1\n  c2\n");

    script_reply("/v1/control/replace", 200, R"({"state": "catching-up"})");
    EXPECT_EQ(
        run_with_address("control replace --lost c2 --new c4 "
                         "--address-of-new 127.0.0.4:9"),
        exit_code::success);
    EXPECT_EQ(
        queries.back().body,
        R"({"old":"c2","new":"c4","address":"127.0.0.4:9"})");
}

TEST_F(ctl_test, teams_shows_the_quotas)
{
    script_reply(
        "/v1/teams",
        200,
        R"({"term": 3, "teams": [{"team": "audit", "rate": 5, "held": 2}]})");
    EXPECT_EQ(run_with_address("teams"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("audit"));
}

TEST_F(ctl_test, quarantine_is_listed_and_released_by_digest)
{
    script_reply(
        "/v1/quarantine",
        200,
        R"([{"digest": "00000000000000ab", "service": "s", "ends": 3}])");
    EXPECT_EQ(run_with_address("quarantine list"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("00000000000000ab"));

    script_reply("/v1/quarantine/release", 200, R"({"released": true})");
    EXPECT_EQ(
        run_with_address("quarantine release --digest 00000000000000ab"),
        exit_code::success);
    EXPECT_EQ(queries.back().body, R"({"digest":"00000000000000ab"})");
}

TEST_F(ctl_test, lost_answer_to_a_replacement_is_not_resent)
{
    script_reply("/v1/control/replace", exchange_failure::timed_out);
    EXPECT_EQ(
        run_with_address("control replace --lost c2 --new c4 "
                         "--address-of-new 127.0.0.4:9"),
        exit_code::failed);
    EXPECT_EQ(queries.size(), 1U);
    EXPECT_THAT(error.str(), HasSubstr("see `control`"));
}

} // namespace
} // namespace nutmegusher::ctl
