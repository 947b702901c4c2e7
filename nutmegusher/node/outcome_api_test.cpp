#include "nutmegusher/node/outcome_api.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>

namespace nutmegusher::node
{
namespace
{

constexpr const char* never_ran = R"({"customer": "c", "class": "payout",
    "key": "k", "never_ran": true, "holder": {"entry_host": "e",
    "entry_incarnation": 3, "sequence": 1876953497600000001,
    "executor_host": "x", "executor_incarnation": 4, "execution": 5}})";

std::string without_field(const std::string& name)
{
    auto value = json::parse(never_ran);
    value.get_object().erase(name);
    return json::serialize(value);
}

std::string with_field(const std::string& name, json::value what)
{
    auto value = json::parse(never_ran);
    value.get_object()[name] = std::move(what);
    return json::serialize(value);
}

std::string parse_error(const std::string& text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(parse_settlement(text));
            return std::string("accepted");
        },
        [](const json_error& error)
        {
            return std::string(to_string(error.problem)) + " " + error.field;
        },
        []
        {
            return std::string("another error");
        });
}

TEST(parse_settlement, reads_holder_and_key)
{
    const auto command = parse_settlement(never_ran);
    ASSERT_TRUE(command);
    EXPECT_EQ(command->key().idempotency_key(), "k");
    EXPECT_EQ(command->by().sequence(), 1876953497600000001U);
    EXPECT_EQ(command->executor().execution(), 5U);
    EXPECT_TRUE(command->has_resolve());
    EXPECT_FALSE(command->resolve().has_answer());
}

TEST(parse_settlement, reads_an_outcome)
{
    auto value = json::parse(without_field("never_ran"));
    value.get_object()["status"] = 201;
    const auto command = parse_settlement(json::serialize(value));
    ASSERT_TRUE(command);
    EXPECT_EQ(command->resolve().answer().status(), 201U);
}

TEST(parse_settlement, names_what_is_wrong)
{
    EXPECT_EQ(parse_error("{"), "not-json ");
    EXPECT_EQ(parse_error("[]"), "not-an-object ");
    EXPECT_EQ(parse_error(without_field("key")), "missing-field key");
    EXPECT_EQ(parse_error(without_field("holder")), "missing-field holder");
    EXPECT_EQ(parse_error(without_field("never_ran")), "missing-field status");
    EXPECT_EQ(parse_error(with_field("class", 3)), "wrong-type class");
    EXPECT_EQ(
        parse_error(with_field("never_ran", false)), "out-of-range never_ran");
    EXPECT_EQ(parse_error(with_field("status", 201)), "out-of-range never_ran");
}

TEST(outcome_json, no_record_is_not_taken_for_not_run)
{
    const auto shown = outcome_json(messages::claim_result());
    EXPECT_EQ(shown.at("outcome").as_string(), "no-record");
}

TEST(outcome_json, holder_can_be_given_back)
{
    messages::claim_result result;
    result.set_verdict(messages::claim_in_progress);
    result.mutable_holder()->set_entry_host("e");
    result.mutable_holder()->set_sequence(1876953497600000001U);
    result.mutable_executor()->set_execution(5);
    const auto shown = outcome_json(result);
    EXPECT_EQ(shown.at("outcome"), "unknown");
    const auto command =
        parse_settlement(with_field("holder", shown.at("holder")));
    ASSERT_TRUE(command);
    EXPECT_EQ(command->by().sequence(), result.holder().sequence());
    EXPECT_EQ(command->executor().execution(), 5U);
}

} // namespace
} // namespace nutmegusher::node
