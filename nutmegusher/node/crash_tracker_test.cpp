#include "nutmegusher/node/crash_tracker.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace nutmegusher::node
{
namespace
{

constexpr std::uint64_t digest = 77;
const service_name views("views");

void simulate_crash(crash_tracker& watch, std::uint64_t upstream)
{
    const auto run = watch.begin_run(digest);
    watch.mark_run_lost(run);
    watch.on_upstream_crashed(upstream, "i-1", views);
}

messages::sync_reply reply_of(std::uint64_t epoch)
{
    messages::sync_reply reply;
    reply.set_crash_epoch(epoch);
    return reply;
}

messages::sync_request filled_request(const crash_tracker& watch)
{
    messages::sync_request request;
    watch.fill_request(request);
    return request;
}

TEST(crash_tracker, resends_records_until_acknowledged)
{
    crash_tracker watch;
    int notifications = 0;
    watch.on_change = [&notifications]
    {
        ++notifications;
    };
    simulate_crash(watch, 1);
    EXPECT_EQ(notifications, 1);
    EXPECT_EQ(filled_request(watch).crashes_size(), 1);
    // The first exchange was lost.
    const auto again = filled_request(watch);
    EXPECT_EQ(again.crashes_size(), 1);
    watch.on_reply(again, reply_of(0));
    EXPECT_EQ(filled_request(watch).crashes_size(), 0);
}

TEST(crash_tracker, resends_everything_to_a_restarted_control_host)
{
    crash_tracker watch;
    simulate_crash(watch, 1);
    watch.on_reply(filled_request(watch), reply_of(1));
    watch.on_reply(filled_request(watch), reply_of(1));
    EXPECT_EQ(filled_request(watch).crashes_size(), 0);
    EXPECT_TRUE(watch.on_reply(filled_request(watch), reply_of(2)));
    EXPECT_EQ(filled_request(watch).crashes_size(), 1);
}

TEST(crash_tracker, counts_a_crash_once_however_many_calls_it_broke)
{
    crash_tracker watch;
    const auto first = watch.begin_run(digest);
    const auto second = watch.begin_run(digest);
    watch.mark_run_lost(first);
    watch.on_upstream_crashed(1, "i-1", views);
    watch.mark_run_lost(second);
    watch.on_upstream_crashed(1, "i-1", views);
    EXPECT_EQ(watch.assess(digest).ends, 1U);
}

TEST(crash_tracker, does_not_suspect_what_completed_there_a_moment_ago)
{
    crash_tracker watch;
    const auto whole = watch.begin_run(digest);
    watch.complete_run(whole, digest);
    simulate_crash(watch, 1);
    EXPECT_EQ(watch.assess(digest).suspicion, crash_suspicion::none);
}

TEST(crash_tracker, counts_reports_from_both_sides_as_one_crash)
{
    crash_tracker watch;
    simulate_crash(watch, 1);
    watch.record_crash(digest, 1, std::chrono::milliseconds(50), views);
    EXPECT_EQ(watch.assess(digest).ends, 1U);
}

TEST(crash_tracker, admits_suspect_requests_one_at_a_time)
{
    crash_tracker watch;
    EXPECT_TRUE(watch.begin_suspect(digest));
    EXPECT_FALSE(watch.begin_suspect(digest));
    EXPECT_TRUE(watch.begin_suspect(digest + 1));
    watch.end_suspect(digest);
    EXPECT_TRUE(watch.begin_suspect(digest));
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
