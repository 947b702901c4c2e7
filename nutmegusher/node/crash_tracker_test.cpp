#include "nutmegusher/node/crash_tracker.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace nutmegusher::node
{
namespace
{

constexpr std::uint64_t digest = 77;
const service_name views("views");

void simulate_crash(crash_tracker& tracker, std::uint64_t upstream)
{
    const auto run = tracker.begin_run(digest);
    tracker.mark_run_lost(run);
    tracker.on_upstream_crashed(upstream, "i-1", views);
}

messages::sync_reply reply_of(std::uint64_t epoch)
{
    messages::sync_reply reply;
    reply.set_crash_epoch(epoch);
    return reply;
}

messages::sync_request filled_request(const crash_tracker& tracker)
{
    messages::sync_request request;
    tracker.fill_request(request);
    return request;
}

TEST(crash_tracker, resends_records_until_acknowledged)
{
    crash_tracker tracker;
    int notifications = 0;
    tracker.on_change = [&notifications]
    {
        ++notifications;
    };
    simulate_crash(tracker, 1);
    EXPECT_EQ(notifications, 1);
    EXPECT_EQ(filled_request(tracker).crashes_size(), 1);
    // The first exchange was lost.
    const auto again = filled_request(tracker);
    EXPECT_EQ(again.crashes_size(), 1);
    tracker.on_reply(again, reply_of(0));
    EXPECT_EQ(filled_request(tracker).crashes_size(), 0);
}

TEST(crash_tracker, resends_everything_to_a_restarted_control_host)
{
    crash_tracker tracker;
    simulate_crash(tracker, 1);
    tracker.on_reply(filled_request(tracker), reply_of(1));
    tracker.on_reply(filled_request(tracker), reply_of(1));
    EXPECT_EQ(filled_request(tracker).crashes_size(), 0);
    EXPECT_TRUE(tracker.on_reply(filled_request(tracker), reply_of(2)));
    EXPECT_EQ(filled_request(tracker).crashes_size(), 1);
}

TEST(crash_tracker, counts_a_crash_once_however_many_calls_it_broke)
{
    crash_tracker tracker;
    const auto first = tracker.begin_run(digest);
    const auto second = tracker.begin_run(digest);
    tracker.mark_run_lost(first);
    tracker.on_upstream_crashed(1, "i-1", views);
    tracker.mark_run_lost(second);
    tracker.on_upstream_crashed(1, "i-1", views);
    EXPECT_EQ(tracker.assess(digest).ends, 1U);
}

TEST(crash_tracker, does_not_suspect_what_completed_there_a_moment_ago)
{
    crash_tracker tracker;
    const auto completed = tracker.begin_run(digest);
    tracker.complete_run(completed, digest);
    simulate_crash(tracker, 1);
    EXPECT_EQ(tracker.assess(digest).suspicion, crash_suspicion::none);
}

TEST(crash_tracker, counts_reports_from_both_sides_as_one_crash)
{
    crash_tracker tracker;
    simulate_crash(tracker, 1);
    tracker.record_crash(digest, 1, std::chrono::milliseconds(50), views);
    EXPECT_EQ(tracker.assess(digest).ends, 1U);
}

TEST(crash_tracker, admits_suspect_requests_one_at_a_time)
{
    crash_tracker tracker;
    EXPECT_TRUE(tracker.begin_suspect(digest));
    EXPECT_FALSE(tracker.begin_suspect(digest));
    EXPECT_TRUE(tracker.begin_suspect(digest + 1));
    tracker.end_suspect(digest);
    EXPECT_TRUE(tracker.begin_suspect(digest));
}

TEST(crash_tracker, records_travel_as_ages)
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

TEST(crash_tracker, digests_are_read_as_they_are_written)
{
    EXPECT_EQ(parse_digest(digest_text(digest)), digest);
    EXPECT_FALSE(parse_digest("77"));
    EXPECT_FALSE(parse_digest("000000000000004g"));
}

} // namespace
} // namespace nutmegusher::node
