#include "nutmegusher/node/json_messages.hpp"
#include "nutmegusher/node/own_upstream.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::node
{
namespace
{

const endpoint peers(boost::asio::ip::make_address("127.0.0.1"), 8082);

announcement make_announcement(messages::upstream_state state)
{
    announcement made;
    made.service = service_name("balances");
    made.address = peers;
    made.state = state;
    return made;
}

own_upstream make_upstream()
{
    host_settings host;
    host.id = host_id("a1");
    return {host, peers, incarnation(3)};
}

TEST(own_upstream, announces_and_leaves)
{
    manual_clock clock;
    auto upstream = make_upstream();
    EXPECT_FALSE(upstream.record());
    EXPECT_EQ(
        upstream.announce(
            make_announcement(messages::upstream_serving), clock.now()),
        upstream_change::appeared);
    EXPECT_EQ(upstream.record()->version(), 1U);
    EXPECT_EQ(
        upstream.announce(
            make_announcement(messages::upstream_serving), clock.now()),
        upstream_change::none);
    EXPECT_EQ(
        upstream.announce(
            make_announcement(messages::upstream_leaving), clock.now()),
        upstream_change::leaving);
    EXPECT_EQ(upstream.record()->version(), 2U);
    EXPECT_TRUE(upstream.current());
}

TEST(own_upstream, a_silent_upstream_is_withdrawn_and_may_return)
{
    manual_clock clock;
    auto upstream = make_upstream();
    upstream.announce(
        make_announcement(messages::upstream_serving), clock.now());
    clock.advance(announcement_timeout - std::chrono::milliseconds(1));
    EXPECT_EQ(upstream.expire(clock.now()), upstream_change::none);
    clock.advance(std::chrono::milliseconds(1));
    EXPECT_EQ(upstream.expire(clock.now()), upstream_change::lost);
    EXPECT_FALSE(upstream.current());
    EXPECT_EQ(upstream.record()->state(), messages::upstream_leaving);
    EXPECT_EQ(upstream.expire(clock.now()), upstream_change::none);
    EXPECT_EQ(
        upstream.announce(
            make_announcement(messages::upstream_serving), clock.now()),
        upstream_change::appeared);
}

TEST(own_upstream, a_new_start_increments_the_record_version)
{
    manual_clock clock;
    auto upstream = make_upstream();
    auto first = make_announcement(messages::upstream_serving);
    first.start = 7;
    upstream.announce(first, clock.now());
    EXPECT_EQ(upstream.announce(first, clock.now()), upstream_change::none);
    auto second = first;
    second.start = 8;
    EXPECT_EQ(
        upstream.announce(second, clock.now()), upstream_change::appeared);
    EXPECT_EQ(upstream.record()->version(), 2U);
    EXPECT_EQ(upstream.record()->upstream_start(), 8U);
}

TEST(own_upstream, supersedes_a_run_numbered_higher_by_a_fast_clock)
{
    manual_clock clock;
    auto upstream = make_upstream();
    upstream.announce(
        make_announcement(messages::upstream_serving), clock.now());
    EXPECT_EQ(upstream.run(), 3U);
    upstream.supersede_run(7);
    EXPECT_EQ(upstream.run(), 8U);
    EXPECT_EQ(upstream.record()->incarnation(), 8U);
    upstream.supersede_run(5);
    EXPECT_EQ(upstream.run(), 8U);
}

TEST(own_upstream, stays_leaving_when_its_daemon_stops)
{
    manual_clock clock;
    auto upstream = make_upstream();
    upstream.announce(
        make_announcement(messages::upstream_serving), clock.now());
    upstream.leave();
    upstream.announce(
        make_announcement(messages::upstream_serving), clock.now());
    EXPECT_EQ(upstream.record()->state(), messages::upstream_leaving);
}

std::string rejected_field(std::string_view text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(parse_announcement(text));
            return std::string("(accepted)");
        },
        [](const json_error& error)
        {
            return error.field;
        },
        []
        {
            return std::string("(untyped)");
        });
}

TEST(parse_announcement, names_the_wrong_field)
{
    EXPECT_EQ(
        rejected_field(R"({"service":"s","address":"127.0.0.1:1",
                     "state":"serving"})"),
        "(accepted)");
    EXPECT_EQ(
        rejected_field(R"({"address":"127.0.0.1:1","state":"serving"})"),
        "service");
    EXPECT_EQ(
        rejected_field(R"({"service":"s","address":"h:1","state":"serving"})"),
        "address");
    EXPECT_EQ(
        rejected_field(
            R"({"service":"s","address":"127.0.0.1:1","state":"up"})"),
        "state");
    EXPECT_EQ(
        rejected_field(R"({"service":"a/b","address":"127.0.0.1:1",
                     "state":"serving"})"),
        "service");
}

} // namespace
} // namespace nutmegusher::node
