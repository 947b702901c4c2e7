#include "nutmegusher/ctl/ctl_test_support.hpp"

namespace nutmegusher::ctl
{
namespace
{

using ::testing::HasSubstr;

TEST_F(ctl_test, help_lists_commands_and_exit_codes)
{
    EXPECT_EQ(run_line("--help"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("class set-target"));
    EXPECT_THAT(out.str(), HasSubstr("control replace"));
    EXPECT_THAT(out.str(), HasSubstr("Exit codes"));
}

TEST_F(ctl_test, each_command_has_help)
{
    EXPECT_EQ(run_line("class declare --help"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("--latency-ms"));
    EXPECT_TRUE(queries.empty());
}

TEST_F(ctl_test, version_is_shown)
{
    EXPECT_EQ(run_line("--version"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("nutmegusherctl "));
}

TEST_F(ctl_test, wrong_usage_ends_with_2_and_sends_nothing)
{
    for (const auto* const line :
         {"",
          "class",
          "nonsense",
          "class list",
          "class list --address nowhere",
          "class list --address 127.0.0.1:1 --unknown",
          "class list --address 127.0.0.1:1 stray",
          "class remove --address 127.0.0.1:1",
          "class set-target payout --address 127.0.0.1:1 --latency-ms 5",
          "class set-target payout --address 127.0.0.1:1 --completion x",
          "outcome --address 127.0.0.1:1 --customer c --class p"})
    {
        EXPECT_EQ(run_line(line), exit_code::bad_usage) << line;
    }
    EXPECT_TRUE(queries.empty());
}

TEST_F(ctl_test, says_which_option_is_missing)
{
    run_line("class set-target payout --latency-ms 5 --address 127.0.0.1:1");
    EXPECT_THAT(error.str(), HasSubstr("--completion is missing"));
}

TEST_F(ctl_test, address_may_come_from_the_environment)
{
    env.default_address = "127.0.0.1:7";
    script_reply("/v1/configuration", 200, two_classes);
    EXPECT_EQ(run_line("class list"), exit_code::success);
    EXPECT_EQ(addresses, std::vector<std::string>{"127.0.0.1:7"});
}

TEST_F(ctl_test, reads_are_repeated_at_the_next_address)
{
    script_reply("/v1/configuration", exchange_failure::unreachable);
    script_reply("/v1/configuration", exchange_failure::timed_out);
    script_reply("/v1/configuration", 200, two_classes);
    EXPECT_EQ(
        run_line("class list --address 127.0.0.1:1,127.0.0.1:2"),
        exit_code::success);
    EXPECT_EQ(queries.size(), 3U);
    EXPECT_THAT(error.str(), HasSubstr("timed out"));
}

TEST_F(ctl_test, gives_up_with_1_when_nobody_answers)
{
    const auto began = clock.now();
    EXPECT_EQ(run_with_address("status"), exit_code::failed);
    EXPECT_LE(clock.now() - began, std::chrono::seconds(15));
    EXPECT_GE(queries.size(), 5U);
    EXPECT_THAT(error.str(), HasSubstr("error: unreachable"));
}

TEST_F(ctl_test, answer_that_is_not_json_is_an_error)
{
    script_reply("/v1/dump", 200, "<html>");
    EXPECT_EQ(run_with_address("dump"), exit_code::failed);
    EXPECT_THAT(error.str(), HasSubstr("isn't JSON"));
}

} // namespace
} // namespace nutmegusher::ctl
