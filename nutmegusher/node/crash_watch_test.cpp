#include "nutmegusher/node/crash_watch.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace nutmegusher::node
{
namespace
{

constexpr std::uint64_t digest = 77;
const service_name views("views");

void see_end(crash_watch& watch, std::uint64_t upstream)
{
    const auto run = watch.begin_run(digest);
    watch.lose_run(run);
    watch.on_upstream_ended(upstream, "i-1", views);
}

messages::sync_reply reply_of(std::uint64_t epoch)
{
    messages::sync_reply reply;
    reply.set_crash_epoch(epoch);
    return reply;
}

messages::sync_request filled(const crash_watch& watch)
{
    messages::sync_request request;
    watch.fill(request);
    return request;
}

TEST(crash_watch, tells_what_it_has_seen_until_it_was_heard)
{
    crash_watch watch;
    int news = 0;
    watch.on_news = [&news]
    {
        ++news;
    };
    see_end(watch, 1);
    EXPECT_EQ(news, 1);
    EXPECT_EQ(filled(watch).crashes_size(), 1);
    // The exchange was lost.
    const auto again = filled(watch);
    EXPECT_EQ(again.crashes_size(), 1);
    watch.on_reply(again, reply_of(0));
    EXPECT_EQ(filled(watch).crashes_size(), 0);
}

TEST(crash_watch, tells_all_of_it_to_a_control_host_that_has_forgotten)
{
    crash_watch watch;
    see_end(watch, 1);
    watch.on_reply(filled(watch), reply_of(1));
    watch.on_reply(filled(watch), reply_of(1));
    EXPECT_EQ(filled(watch).crashes_size(), 0);
    EXPECT_TRUE(watch.on_reply(filled(watch), reply_of(2)));
    EXPECT_EQ(filled(watch).crashes_size(), 1);
}

TEST(crash_watch, counts_an_end_once_however_many_calls_it_broke)
{
    crash_watch watch;
    const auto first = watch.begin_run(digest);
    const auto second = watch.begin_run(digest);
    watch.lose_run(first);
    watch.on_upstream_ended(1, "i-1", views);
    watch.lose_run(second);
    watch.on_upstream_ended(1, "i-1", views);
    EXPECT_EQ(watch.assess(digest).ends, 1U);
}

TEST(crash_watch, does_not_suspect_what_completed_there_a_moment_ago)
{
    crash_watch watch;
    const auto whole = watch.begin_run(digest);
    watch.complete_run(whole, digest);
    see_end(watch, 1);
    EXPECT_EQ(watch.assess(digest).suspicion, crash_suspicion::none);
}

TEST(crash_watch, takes_what_the_entry_and_the_upstream_side_saw_for_one_end)
{
    crash_watch watch;
    see_end(watch, 1);
    watch.note_end(digest, 1, std::chrono::milliseconds(50), views);
    EXPECT_EQ(watch.assess(digest).ends, 1U);
}

TEST(crash_watch, lets_a_suspect_in_one_at_a_time)
{
    crash_watch watch;
    EXPECT_TRUE(watch.begin_suspect(digest));
    EXPECT_FALSE(watch.begin_suspect(digest));
    EXPECT_TRUE(watch.begin_suspect(digest + 1));
    watch.end_suspect(digest);
    EXPECT_TRUE(watch.begin_suspect(digest));
}

TEST(crash_watch, records_travel_as_ages)
{
    const auto now = host_clock().now();
    crash_record record;
    record.digest = digest;
    record.service = "views";
    record.ends = {
        {5,
         now - std::chrono::milliseconds(900),
         now - std::chrono::milliseconds(830)}};
    const auto later = now + std::chrono::seconds(7);
    const auto read = from_message(to_message(record, now), later);
    ASSERT_EQ(read.ends.size(), 1U);
    EXPECT_EQ(read.ends[0].upstream, 5U);
    EXPECT_EQ(later - read.ends[0].crashed_at, std::chrono::milliseconds(830));
    EXPECT_EQ(
        read.ends[0].crashed_at - read.ends[0].started_at,
        std::chrono::milliseconds(70));
    EXPECT_EQ(read.cleared_at, time_point());
}

TEST(crash_watch, digests_are_read_as_they_are_written)
{
    EXPECT_EQ(parse_digest(digest_text(digest)), digest);
    EXPECT_FALSE(parse_digest("77"));
    EXPECT_FALSE(parse_digest("000000000000004g"));
}

} // namespace
} // namespace nutmegusher::node
