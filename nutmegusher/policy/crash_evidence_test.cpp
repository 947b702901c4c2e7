// Which requests are suspected of crashing upstreams, and which aren't.
#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

constexpr duration run_time = 70ms;
const time_point start = time_point() + 1h;

upstream_crash crash_at(std::uint64_t upstream, time_point crashed_at)
{
    return {upstream, crashed_at - run_time, crashed_at};
}

void add(
    crash_evidence& to,
    std::uint64_t digest,
    std::uint64_t upstream,
    duration after)
{
    to.add_crash(digest, crash_at(upstream, start + after), "s", start + after);
}

// Reports crashes of three upstreams, one per second.
void quarantine(crash_evidence& in, std::uint64_t digest, duration after = 0s)
{
    for (std::uint64_t upstream = 1; upstream <= 3; ++upstream)
    {
        add(in, digest, 10 * digest + upstream, after + upstream * 1s);
    }
}

crash_suspicion
suspicion_of(const crash_evidence& in, std::uint64_t digest, duration after)
{
    return in.assess(digest, start + after).suspicion;
}

TEST(crash_evidence, three_crashed_upstreams_quarantine)
{
    crash_evidence evidence;
    EXPECT_EQ(suspicion_of(evidence, 7, 0s), crash_suspicion::none);
    add(evidence, 7, 1, 0s);
    EXPECT_EQ(suspicion_of(evidence, 7, 0s), crash_suspicion::suspected);
    add(evidence, 7, 2, 1s);
    EXPECT_EQ(evidence.assess(7, start + 1s).ends, 2U);
    EXPECT_EQ(suspicion_of(evidence, 7, 1s), crash_suspicion::suspected);
    add(evidence, 7, 3, 2s);
    EXPECT_EQ(suspicion_of(evidence, 7, 2s), crash_suspicion::quarantined);
    EXPECT_EQ(evidence.quarantined(start + 2s).size(), 1U);
    EXPECT_EQ(suspicion_of(evidence, 8, 2s), crash_suspicion::none);
}

TEST(crash_evidence, repeated_reports_of_one_crash_count_once)
{
    crash_evidence evidence;
    add(evidence, 7, 1, 0s);
    const auto stamp = evidence.stamp();
    add(evidence, 7, 1, 1s);
    add(evidence, 7, 1, 2s);
    EXPECT_EQ(evidence.assess(7, start + 2s).ends, 1U);
    EXPECT_TRUE(evidence.changes_since(stamp).empty());
}

TEST(crash_evidence, simultaneous_crashes_quarantine_once_the_request_recurs)
{
    crash_evidence evidence;
    for (std::uint64_t upstream = 1; upstream <= 40; ++upstream)
    {
        add(evidence, 7, upstream, std::chrono::milliseconds(upstream * 2));
    }
    EXPECT_EQ(suspicion_of(evidence, 7, 1s), crash_suspicion::suspected);
    add(evidence, 7, 50, 1s);
    EXPECT_EQ(suspicion_of(evidence, 7, 1s), crash_suspicion::quarantined);
}

TEST(crash_evidence, continuing_crashes_keep_the_quarantine)
{
    crash_evidence evidence;
    for (std::uint64_t upstream = 1; upstream <= 100; ++upstream)
    {
        const auto after = std::chrono::milliseconds(upstream * 10);
        add(evidence, 7, upstream, after);
        if (after >= 200ms)
        {
            ASSERT_EQ(
                suspicion_of(evidence, 7, after), crash_suspicion::quarantined);
        }
    }
    EXPECT_LE(evidence.changes_since(0).front().ends.size(), 6U);
    EXPECT_EQ(suspicion_of(evidence, 7, 10min), crash_suspicion::quarantined);
}

TEST(crash_evidence, simultaneous_crashes_reported_late_do_not_quarantine)
{
    crash_evidence evidence;
    add(evidence, 7, 1, 0ms);
    add(evidence, 7, 2, 99ms);
    add(evidence, 7, 3, 150ms);
    EXPECT_EQ(suspicion_of(evidence, 7, 1s), crash_suspicion::suspected);
}

TEST(crash_evidence, a_completion_on_any_host_clears)
{
    crash_evidence here;
    quarantine(here, 7);
    crash_evidence there;
    for (const auto& each : here.changes_since(0))
    {
        EXPECT_TRUE(there.merge(each, start + 3s));
    }
    EXPECT_EQ(suspicion_of(there, 7, 3s), crash_suspicion::quarantined);
    EXPECT_TRUE(there.add_completion(7, start + 4s));
    EXPECT_FALSE(there.add_completion(7, start + 4s));
    for (const auto& each : there.changes_since(0))
    {
        EXPECT_TRUE(here.merge(each, start + 5s));
    }
    EXPECT_EQ(suspicion_of(here, 7, 5s), crash_suspicion::none);
}

TEST(crash_evidence, a_completion_clears_crashes_reported_after_it)
{
    crash_evidence evidence;
    EXPECT_FALSE(evidence.add_completion(7, start + 2s));
    crash_record reported;
    reported.digest = 7;
    reported.ends = {crash_at(1, start + 1s)};
    EXPECT_TRUE(evidence.merge(reported, start + 3s));
    EXPECT_EQ(suspicion_of(evidence, 7, 3s), crash_suspicion::none);
    ASSERT_EQ(evidence.changes_since(0).size(), 1U);
    EXPECT_EQ(evidence.changes_since(0).front().cleared_at, start + 2s);
}

TEST(crash_evidence, cleared_crashes_are_not_merged_again)
{
    crash_evidence evidence;
    quarantine(evidence, 7);
    const auto old = evidence.changes_since(0);
    EXPECT_TRUE(evidence.release(7, start + 4s));
    evidence.expire(start + 10min);
    EXPECT_FALSE(evidence.merge(old.front(), start + 10min));
    EXPECT_EQ(suspicion_of(evidence, 7, 10min), crash_suspicion::none);
}

TEST(crash_evidence, release_clears)
{
    crash_evidence evidence;
    EXPECT_FALSE(evidence.release(7, start));
    quarantine(evidence, 7);
    EXPECT_TRUE(evidence.release(7, start + 4s));
    EXPECT_EQ(suspicion_of(evidence, 7, 4s), crash_suspicion::none);
    add(evidence, 7, 99, 5s);
    EXPECT_EQ(evidence.assess(7, start + 5s).ends, 1U);
}

TEST(crash_evidence, quarantine_expires_and_one_more_crash_renews_it)
{
    crash_evidence evidence;
    quarantine(evidence, 7);
    EXPECT_EQ(suspicion_of(evidence, 7, 10min), crash_suspicion::quarantined);
    EXPECT_EQ(
        suspicion_of(evidence, 7, 10min + 3s), crash_suspicion::suspected);
    add(evidence, 7, 99, 15min);
    EXPECT_EQ(suspicion_of(evidence, 7, 24min), crash_suspicion::quarantined);
    EXPECT_EQ(suspicion_of(evidence, 7, 25min), crash_suspicion::suspected);
    EXPECT_EQ(suspicion_of(evidence, 7, 35min), crash_suspicion::none);
}

TEST(crash_evidence, expired_crashes_neither_count_nor_merge)
{
    crash_evidence evidence;
    quarantine(evidence, 7);
    const auto old = evidence.changes_since(0);
    add(evidence, 7, 99, 30min);
    EXPECT_EQ(evidence.assess(7, start + 30min).ends, 1U);
    evidence.expire(start + 51min);
    EXPECT_EQ(evidence.size(), 0U);
    EXPECT_FALSE(evidence.merge(old.front(), start + 51min));
    EXPECT_EQ(evidence.size(), 0U);
}

TEST(crash_evidence, crashes_near_the_clock_epoch_count)
{
    crash_evidence evidence;
    const auto early = time_point() + 10ms;
    evidence.add_crash(7, crash_at(1, early), "s", early);
    EXPECT_EQ(evidence.assess(7, early).ends, 1U);
    EXPECT_TRUE(evidence.release(7, early));
    EXPECT_EQ(evidence.assess(7, early).ends, 0U);
}

TEST(crash_evidence, records_are_bounded_and_quarantined_ones_evicted_last)
{
    crash_evidence_options options;
    options.max_records = 8;
    crash_evidence evidence(options);
    quarantine(evidence, 1);
    quarantine(evidence, 2);
    for (std::uint64_t digest = 100; digest < 200; ++digest)
    {
        add(evidence, digest, digest, 10s + digest * 1s);
        EXPECT_LE(evidence.size(), 8U);
        EXPECT_EQ(
            suspicion_of(evidence, digest, 200s), crash_suspicion::suspected);
    }
    EXPECT_EQ(evidence.quarantined(start + 200s).size(), 2U);
    EXPECT_EQ(suspicion_of(evidence, 193, 200s), crash_suspicion::none);
    EXPECT_EQ(suspicion_of(evidence, 194, 200s), crash_suspicion::suspected);
}

TEST(crash_evidence, many_single_crashes_do_not_evict_a_record_with_several)
{
    crash_evidence_options options;
    options.max_records = 8;
    crash_evidence evidence(options);
    add(evidence, 1, 1, 0s);
    add(evidence, 1, 2, 1s);
    for (std::uint64_t digest = 100; digest < 200; ++digest)
    {
        add(evidence, digest, digest, 2s);
    }
    EXPECT_EQ(evidence.assess(1, start + 3s).ends, 2U);
    EXPECT_EQ(evidence.size(), 8U);
}

TEST(crash_evidence, completions_are_bounded_and_expire)
{
    crash_evidence_options options;
    options.max_completions = 8;
    crash_evidence evidence(options);
    for (std::uint64_t digest = 0; digest < 100; ++digest)
    {
        evidence.add_completion(digest, start + digest * 1ms);
        const auto now = start + 1s;
        std::size_t known = 0;
        for (std::uint64_t each = 0; each <= digest; ++each)
        {
            known += evidence.completed_recently(each, now) ? 1 : 0;
        }
        EXPECT_EQ(known, std::min<std::size_t>(digest + 1, 8));
    }
    EXPECT_TRUE(evidence.completed_recently(99, start + 10s));
    EXPECT_FALSE(evidence.completed_recently(99, start + 99ms + 10s));
}

TEST(
    in_flight_requests,
    a_digest_in_flight_twice_is_returned_once_with_its_latest_start)
{
    in_flight_requests work;
    (void)work.begin(7, start);
    (void)work.begin(7, start + 5ms);
    const auto ended = work.begin(8, start);
    work.end(ended);
    const auto all = work.take_all(start + 10ms);
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all.front().digest, 7U);
    EXPECT_EQ(all.front().started_at, start + 5ms);
    EXPECT_TRUE(work.take_all(start + 10ms).empty());
}

TEST(in_flight_requests, requests_lost_within_the_detection_window_count)
{
    in_flight_requests work;
    const auto early = work.begin(1, start);
    const auto late = work.begin(2, start);
    work.mark_lost(early, start + 10ms);
    work.mark_lost(late, start + 11ms);
    work.mark_lost(early, start + 400ms);
    const auto all = work.take_all(start + 510ms);
    ASSERT_EQ(all.size(), 1U);
    EXPECT_EQ(all.front().digest, 2U);
    work.end(late);
    work.mark_lost(late, start + 511ms);
    EXPECT_TRUE(work.take_all(start + 511ms).empty());
}

// A crash, completion or release of a request, with its true time.
struct reported_event
{
    crash_record record;
    bool is_completion = false;
};

// Larger than the difference between the times at which two hosts see one
// event, so that the order of events is the same on all hosts.
constexpr duration event_spacing = 1s;
constexpr std::uint64_t digest_count = 4;

std::vector<reported_event> make_history(random_engine& engine)
{
    std::vector<reported_event> history;
    const auto events = 5 + uniform_below(engine, 40);
    for (std::uint64_t at = 0; at < events; ++at)
    {
        reported_event made;
        made.record.digest = uniform_below(engine, digest_count);
        const auto when =
            start + event_spacing * static_cast<int>(uniform_below(engine, 12));
        const auto kind = uniform_below(engine, 8);
        if (kind < 6)
        {
            const duration ran =
                kind < 4 ? run_time : run_time + 2 * event_spacing;
            made.record.ends = {{at + 1, when - ran, when}};
        }
        else
        {
            made.record.cleared_at = when + event_spacing / 2;
            made.is_completion = kind == 6;
        }
        history.push_back(made);
    }
    return history;
}

crash_record shift_times(crash_record record, duration by)
{
    for (auto& each : record.ends)
    {
        each.started_at += by;
        each.crashed_at += by;
    }
    if (record.cleared_at != time_point())
    {
        record.cleared_at += by;
    }
    return record;
}

// Error of a transmitted time. A record is forwarded at most three times, and
// three of these errors stay below the tolerance of 100 ms.
duration random_delay(random_engine& engine)
{
    return std::chrono::milliseconds(uniform_below(engine, 33));
}

using three_tables = std::array<crash_evidence, 3>;

void report(
    three_tables& tables,
    std::size_t to,
    const reported_event& event,
    random_engine& engine)
{
    const auto record = shift_times(event.record, random_delay(engine));
    if (event.is_completion && uniform_below(engine, 2) == 0)
    {
        tables[to].add_completion(record.digest, record.cleared_at);
    }
    tables[to].merge(record, start + 1min);
}

bool exchange(
    three_tables& tables,
    std::size_t from,
    std::size_t to,
    random_engine& engine)
{
    bool changed = false;
    for (const auto& each : tables[from].changes_since(0))
    {
        const auto reported = shift_times(each, random_delay(engine));
        changed = tables[to].merge(reported, start + 1min) || changed;
    }
    return changed;
}

// Reports each event to each table, in random order, some more than once.
void report_all(
    three_tables& tables,
    const std::vector<reported_event>& history,
    random_engine& engine)
{
    std::vector<std::pair<std::size_t, std::size_t>> order;
    for (std::size_t to = 0; to < tables.size(); ++to)
    {
        for (std::size_t event = 0; event < history.size(); ++event)
        {
            order.insert(
                order.end(), 1 + uniform_below(engine, 3), {to, event});
        }
    }
    std::shuffle(order.begin(), order.end(), engine);
    for (const auto& [to, event] : order)
    {
        report(tables, to, history[event], engine);
        if (uniform_below(engine, 10) == 0)
        {
            exchange(tables, to, (to + 1) % tables.size(), engine);
        }
    }
}

bool exchange_all(three_tables& tables, random_engine& engine)
{
    bool changed = false;
    for (std::size_t from = 0; from < tables.size(); ++from)
    {
        for (std::size_t to = 0; to < tables.size(); ++to)
        {
            changed = exchange(tables, from, to, engine) || changed;
        }
    }
    return changed;
}

TEST(crash_evidence, tables_with_the_same_reports_agree)
{
    std::map<crash_suspicion, int> seen;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
    {
        random_engine engine(seed);
        const auto history = make_history(engine);
        three_tables tables;
        report_all(tables, history, engine);
        exchange_all(tables, engine);
        ASSERT_FALSE(exchange_all(tables, engine)) << seed;
        for (std::uint64_t digest = 0; digest < digest_count; ++digest)
        {
            const auto first = tables[0].assess(digest, start + 1min);
            ++seen[first.suspicion];
            for (const auto& each : tables)
            {
                const auto other = each.assess(digest, start + 1min);
                ASSERT_EQ(first.suspicion, other.suspicion) << seed;
                ASSERT_EQ(first.ends, other.ends) << seed;
            }
        }
    }
    EXPECT_GT(seen[crash_suspicion::none], 100);
    EXPECT_GT(seen[crash_suspicion::suspected], 100);
    EXPECT_GT(seen[crash_suspicion::quarantined], 100);
}

} // namespace
} // namespace nutmegusher
