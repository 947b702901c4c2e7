#include "nutmegusher/node/json_messages.hpp"

#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>

namespace nutmegusher::node
{
namespace
{

constexpr std::string_view valid_change = R"({"change_id": "c-1", "based_on": 3,
 "declare": {"name": "payouts", "service": "disbursement", "rank": 0,
 "target": {"latency_ms": 800, "completion_ppm": 999000}}})";

json_error error_of(std::string_view text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<json_error>
        {
            BOOST_LEAF_CHECK(parse_change(text));
            return json_error{json_problem::not_json, "accepted"};
        },
        [](const json_error& error)
        {
            return error;
        },
        []
        {
            return json_error{json_problem::not_json, "untyped"};
        });
}

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text(valid_change);
    text.replace(text.find(from), from.size(), to);
    return text;
}

TEST(parse_change, reads_a_declaration)
{
    const auto change = parse_change(valid_change);
    ASSERT_TRUE(change);
    EXPECT_EQ(change->based_on(), 3U);
    EXPECT_EQ(change->declare().path_prefix(), "/");
    EXPECT_FALSE(change->declare().repeatable());
    EXPECT_EQ(change->declare().target().latency_ms(), 800U);
}

TEST(parse_change, names_the_field)
{
    EXPECT_EQ(error_of("{").problem, json_problem::not_json);
    EXPECT_EQ(error_of("[]").problem, json_problem::not_an_object);
    const auto unknown = error_of(replaced("\"rank\"", "\"weight\""));
    EXPECT_EQ(unknown.problem, json_problem::unknown_field);
    EXPECT_EQ(unknown.field, "declare.weight");
    const auto type = error_of(replaced("800", "\"800\""));
    EXPECT_EQ(type.problem, json_problem::wrong_type);
    EXPECT_EQ(type.field, "declare.target.latency_ms");
    EXPECT_EQ(
        error_of(replaced("800", "-1")).problem, json_problem::out_of_range);
    EXPECT_EQ(
        error_of(replaced("\"change_id\": \"c-1\", ", "")).field, "change_id");
}

TEST(parse_change, round_trips_through_json)
{
    const auto change = parse_change(valid_change);
    ASSERT_TRUE(change);
    const auto again = parse_change(json::serialize(to_json(*change)));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->SerializeAsString(), change->SerializeAsString());
}

} // namespace
} // namespace nutmegusher::node
