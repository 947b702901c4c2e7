#include "nutmegusher/ctl/ctl_test_support.hpp"

#include <boost/json/parse.hpp>

namespace nutmegusher::ctl
{
namespace
{

namespace json = boost::json;

using ::testing::HasSubstr;
using ::testing::Not;

constexpr const char* set_payout =
    "class set-target payout --latency-ms 500 --completion 99.95";
constexpr const char* declare_lookup =
    "class declare lookup --service statements --method GET --path /short "
    "--rank 3 --repeatable --latency-ms 200 --completion 99";

class change_commands_test : public ctl_test
{
protected:
    change_commands_test()
    {
        script_reply("/v1/configuration", 200, two_classes);
    }

    // Bodies of the changes that were sent, in order.
    std::vector<json::value> changes() const
    {
        std::vector<json::value> out;
        for (const auto& query : queries)
        {
            if (query.target == "/v1/changes")
            {
                out.push_back(json::parse(query.body));
            }
        }
        return out;
    }
};

TEST_F(change_commands_test, change_is_based_on_the_revision_of_its_class)
{
    script_reply("/v1/changes", 200, accepted_reply);
    EXPECT_EQ(run_with_address(set_payout), exit_code::success);
    ASSERT_EQ(changes().size(), 1U);
    EXPECT_EQ(
        changes()[0],
        json::parse(R"({"change_id": "fedcba0000000000fedcba0000000000",
            "based_on": 7, "author": "ana", "set_target": {"class_name":
            "payout", "target": {"latency_ms": 500,
            "completion_ppm": 999500}}})"));
    EXPECT_THAT(out.str(), HasSubstr("accepted as revision 10"));
    EXPECT_THAT(
        error.str(), HasSubstr("change id fedcba0000000000fedcba0000000000"));
}

TEST_F(change_commands_test, new_class_is_based_on_revision_zero)
{
    script_reply("/v1/changes", 200, accepted_reply);
    EXPECT_EQ(run_with_address(declare_lookup), exit_code::success);
    ASSERT_EQ(changes().size(), 1U);
    EXPECT_EQ(changes()[0].at("based_on"), 0);
    EXPECT_EQ(changes()[0].at("declare").at("path_prefix"), "/short");
    EXPECT_EQ(changes()[0].at("declare").at("repeatable"), true);
}

TEST_F(change_commands_test, lost_answer_is_resent_with_the_same_content)
{
    script_reply("/v1/changes", exchange_failure::connection_lost);
    script_reply("/v1/changes", 503, R"({"verdict": "unavailable"})");
    script_reply("/v1/changes", 200, accepted_reply);
    EXPECT_EQ(run_with_address(set_payout), exit_code::success);
    ASSERT_EQ(changes().size(), 3U);
    EXPECT_EQ(changes()[0], changes()[1]);
    EXPECT_EQ(changes()[1], changes()[2]);
}

TEST_F(change_commands_test, unanswered_change_tells_how_to_resend_it)
{
    EXPECT_EQ(run_with_address(set_payout), exit_code::failed);
    EXPECT_THAT(
        error.str(),
        HasSubstr("--change-id fedcba0000000000fedcba0000000000 --based-on 7"));
}

TEST_F(change_commands_test, manual_resend_does_not_read_the_configuration)
{
    script_reply("/v1/changes", 200, accepted_reply);
    EXPECT_EQ(
        run_with_address(
            std::string(set_payout) + " --change-id c-1 --based-on 4"),
        exit_code::success);
    ASSERT_EQ(queries.size(), 1U);
    EXPECT_EQ(changes()[0].at("change_id"), "c-1");
    EXPECT_EQ(changes()[0].at("based_on"), 4);
}

TEST_F(change_commands_test, conflict_ends_with_3_and_is_not_resent)
{
    script_reply(
        "/v1/changes", 409, R"({"verdict": "conflict", "revision": 8})");
    EXPECT_EQ(run_with_address(set_payout), exit_code::conflict);
    EXPECT_EQ(changes().size(), 1U);
    EXPECT_THAT(error.str(), HasSubstr("revision 8"));
}

TEST_F(change_commands_test, invalid_change_ends_with_2_and_names_the_field)
{
    script_reply(
        "/v1/changes",
        422,
        R"({"verdict": "invalid", "problem": "overlapping-match",
            "field": "declare.path_prefix"})");
    EXPECT_EQ(run_with_address(declare_lookup), exit_code::bad_usage);
    EXPECT_THAT(
        error.str(),
        HasSubstr("overlapping-match (declare.path_prefix), status 422"));
}

TEST_F(change_commands_test, locally_invalid_change_is_not_sent)
{
    EXPECT_EQ(
        run_with_address(
            "class set-target payout --latency-ms 5 --completion 101"),
        exit_code::bad_usage);
    EXPECT_EQ(
        run_with_address("class declare x --service s --rank 12 --latency-ms 5 "
                         "--completion 99"),
        exit_code::bad_usage);
    EXPECT_TRUE(queries.empty());
    EXPECT_THAT(error.str(), HasSubstr("rank_too_high"));
}

TEST_F(change_commands_test, dry_run_shows_the_effect_and_sends_nothing)
{
    EXPECT_EQ(
        run_with_address(std::string(set_payout) + " --dry-run"),
        exit_code::success);
    EXPECT_TRUE(changes().empty());
    EXPECT_THAT(out.str(), HasSubstr("latency_ms      800     500"));
    EXPECT_THAT(out.str(), HasSubstr("completion_ppm  999000  999500"));
    EXPECT_THAT(out.str(), Not(HasSubstr("rank ")));
}

TEST_F(change_commands_test, dry_run_of_a_new_class_shows_overlapping_classes)
{
    EXPECT_EQ(
        run_with_address(std::string(declare_lookup) + " --dry-run"),
        exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("wins): statement\n"));
    EXPECT_THAT(
        out.str(), HasSubstr("refused before it under overload: statement"));
    EXPECT_THAT(
        out.str(), HasSubstr("refused after it under overload: payout"));
}

TEST_F(change_commands_test, dry_run_of_a_removal_and_as_json)
{
    EXPECT_EQ(
        run_with_address("class remove payout --dry-run --json"),
        exit_code::success);
    const auto effect = json::parse(out.str());
    EXPECT_EQ(effect.at("fields").as_array().size(), 8U);
    EXPECT_EQ(effect.at("fields").at(0).at("now"), "disbursement");
    EXPECT_EQ(effect.at("fields").at(0).at("then"), "");
}

TEST_F(change_commands_test, list_shows_a_table_or_json)
{
    EXPECT_EQ(run_with_address("class list"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("revision 9\nclass "));
    EXPECT_THAT(out.str(), HasSubstr("payout     disbursement  POST"));
    out.str("");
    EXPECT_EQ(run_with_address("class list --json"), exit_code::success);
    EXPECT_EQ(json::parse(out.str()), json::parse(two_classes));
}

TEST_F(change_commands_test, history_can_be_limited_to_one_class)
{
    script_reply("/v1/history", 200, R"([
        {"revision": 7, "change": {"change_id": "a", "author": "ana",
         "declare": {"name": "payout"}}},
        {"revision": 8, "change": {"change_id": "b", "author": "luis",
         "set_target": {"class_name": "statement"}}},
        {"revision": 9, "change": {"change_id": "c", "author": "luis",
         "remove_class": "payout"}}])");
    EXPECT_EQ(run_with_address("class history payout"), exit_code::success);
    EXPECT_THAT(out.str(), HasSubstr("7         declare  payout  ana     a"));
    EXPECT_THAT(out.str(), HasSubstr("remove"));
    EXPECT_THAT(out.str(), Not(HasSubstr("set target")));
}

} // namespace
} // namespace nutmegusher::ctl
