// Simulates hosts with an upstream each that crash because of a request or
// independently of requests. Guards against a crashing request that is
// quarantined too late, and against quarantines of requests that didn't cause
// the crashes.
#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <queue>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t slots = 44;
constexpr std::size_t popular_digests = 5;
// Requests in flight on a busy upstream besides the popular ones.
constexpr std::size_t rare_in_flight = slots - popular_digests;
constexpr std::uint64_t crashing_digest = 1000;
constexpr std::uint64_t first_rare = 10000;
constexpr duration crashing_run_time = 70ms;
constexpr duration popular_run_time = 50ms;
constexpr duration popular_pause = 50ms;
constexpr duration restart_time = 3s;
constexpr duration min_delay = 100ms;
constexpr duration max_delay = 200ms;
constexpr duration crash_detection_delay = 5ms;
// Popular requests run before the first crash.
constexpr duration warm_up_time = 500ms;
const time_point start = time_point() + 1h;

struct scenario
{
    std::uint64_t seed = 1;
    std::size_t hosts = 15;
    duration length = 6s;
    // Interval between two sends of the crashing request; 0: it isn't sent.
    duration send_interval = 0ms;
    // Mean intervals between crashes that no request causes: per upstream, and
    // of whole racks; 0: never.
    duration mean_own_crash_interval = 0s;
    duration mean_rack_crash_interval = 0s;
    std::size_t rack_size = 4;
};

struct scenario_result
{
    std::vector<time_point> crash_times;
    std::vector<time_point> crashing_run_starts;
    std::set<std::uint64_t> rare_in_flight_at_crash;
    std::set<std::uint64_t> rare_quarantined;
    std::size_t ends = 0;
    std::size_t popular_quarantines = 0;
    std::size_t popular_quarantines_too_long = 0;
    std::size_t popular_suspected = 0;
};

class fleet_simulation
{
public:
    explicit fleet_simulation(const scenario& options)
        : scenario_(options)
        , engine_(options.seed)
        , hosts_(options.hosts)
    {
    }

    scenario_result simulate()
    {
        for (std::size_t host = 0; host < hosts_.size(); ++host)
        {
            start_upstream(host);
            if (scenario_.mean_own_crash_interval > 0s)
            {
                schedule_own_crash(host);
            }
            expire_periodically(host);
        }
        if (scenario_.send_interval > 0ms)
        {
            at(warm_up_time,
               [this]
               {
                   send_crashing_request();
               });
        }
        if (scenario_.mean_rack_crash_interval > 0s)
        {
            schedule_rack_crash();
        }
        while (!events_.empty() &&
               events_.top().when < start + scenario_.length)
        {
            const auto next = events_.top();
            events_.pop();
            now_ = next.when;
            next.act();
        }
        return result_;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> act;

        friend bool operator<(const event& left, const event& right)
        {
            return std::pair(left.when, left.order) >
                   std::pair(right.when, right.order);
        }
    };

    struct run
    {
        std::uint64_t digest = 0;
        std::size_t entry = 0;
        in_flight_requests::ticket ticket = 0;
        bool may_retry = false;
        bool is_isolated = false;
        int sends_left = 0;
    };

    struct host
    {
        crash_evidence evidence;
        in_flight_requests work;
        bool is_up = false;
        std::uint64_t incarnation = 0;
        std::unordered_map<std::uint64_t, run> runs;
        // Digests with two or more crashes of which one run at a time is
        // admitted.
        std::set<std::uint64_t> isolated;
        std::uint64_t sent_stamp = 0;
    };

    void at(duration after, std::function<void()> act)
    {
        events_.push({now_ + after, ++last_order_, std::move(act)});
    }

    duration random_between(duration least, duration most)
    {
        const auto span =
            std::chrono::duration_cast<std::chrono::microseconds>(most - least);
        return least + std::chrono::microseconds(uniform_below(
                           engine_, static_cast<std::uint64_t>(span.count())));
    }

    duration random_exponential(duration mean)
    {
        const double factor = -std::log(1.0 - uniform_unit(engine_));
        return std::chrono::duration_cast<duration>(mean * factor);
    }

    std::size_t random_host()
    {
        return uniform_below(engine_, hosts_.size());
    }

    // `hosts_.size()`: none.
    std::size_t random_running_host(std::size_t excluded)
    {
        for (int tries = 0; tries < 100; ++tries)
        {
            const auto found = random_host();
            if (hosts_[found].is_up && found != excluded)
            {
                return found;
            }
        }
        return hosts_.size();
    }

    void start_upstream(std::size_t index)
    {
        hosts_[index].is_up = true;
        const auto incarnation = ++hosts_[index].incarnation;
        for (std::uint64_t digest = 1; digest <= popular_digests; ++digest)
        {
            at(random_between(0ms, popular_run_time + popular_pause),
               [this, index, incarnation, digest]
               {
                   run_popular(index, incarnation, digest);
               });
        }
        for (std::size_t count = 0; count < rare_in_flight; ++count)
        {
            run_rare_requests(index, incarnation);
        }
    }

    // A popular request enters at the daemon beside the upstream.
    void run_popular(
        std::size_t index, std::uint64_t incarnation, std::uint64_t digest)
    {
        auto& here = hosts_[index];
        if (!here.is_up || here.incarnation != incarnation)
        {
            return;
        }
        const auto assessment = here.evidence.assess(digest, now_);
        if (assessment.suspicion != crash_suspicion::quarantined)
        {
            run one;
            one.digest = digest;
            one.entry = index;
            begin(index, one, popular_run_time);
        }
        at(popular_run_time + popular_pause,
           [this, index, incarnation, digest]
           {
               run_popular(index, incarnation, digest);
           });
    }

    // Runs requests one after the other, each with a digest of its own.
    void run_rare_requests(std::size_t index, std::uint64_t incarnation)
    {
        if (!hosts_[index].is_up || hosts_[index].incarnation != incarnation)
        {
            return;
        }
        run one;
        one.digest = first_rare + ++last_rare_;
        one.entry = random_host();
        one.may_retry = true;
        one.sends_left = 3;
        const auto length = random_between(100ms, 1900ms);
        begin(index, one, length);
        at(length,
           [this, index, incarnation]
           {
               run_rare_requests(index, incarnation);
           });
    }

    void send_crashing_request()
    {
        run one;
        one.digest = crashing_digest;
        one.entry = random_host();
        enter(one, hosts_.size());
        at(scenario_.send_interval,
           [this]
           {
               send_crashing_request();
           });
    }

    // Applies the rules of the entry: refuses quarantined requests, and admits
    // suspected ones with two or more crashes one at a time, without a retry.
    void enter(run one, std::size_t excluded)
    {
        auto& entry = hosts_[one.entry];
        const auto assessment = entry.evidence.assess(one.digest, now_);
        const auto target = random_running_host(excluded);
        const bool is_retry = excluded != hosts_.size();
        one.may_retry = !is_retry;
        one.is_isolated = assessment.ends >= 2;
        if (assessment.suspicion == crash_suspicion::quarantined ||
            target == hosts_.size() || (one.is_isolated && is_retry) ||
            (one.is_isolated && !entry.isolated.insert(one.digest).second))
        {
            send_later(one);
            return;
        }
        const bool crashes_upstream = one.digest == crashing_digest;
        begin(
            target,
            one,
            crashes_upstream ? crashing_run_time
                             : random_between(100ms, 1900ms));
    }

    // The client of a rare request retries after a second, a few times.
    void send_later(run one)
    {
        if (one.digest < first_rare || one.sends_left == 0)
        {
            return;
        }
        --one.sends_left;
        one.entry = random_host();
        at(1s,
           [this, one]
           {
               enter(one, hosts_.size());
           });
    }

    void begin(std::size_t index, run one, duration length)
    {
        auto& target = hosts_[index];
        one.ticket = target.work.begin(one.digest, now_);
        const auto id = ++last_run_;
        target.runs.emplace(id, one);
        const bool crashes_upstream = one.digest == crashing_digest;
        if (crashes_upstream)
        {
            result_.crashing_run_starts.push_back(now_);
        }
        at(length,
           [this, index, id, crashes_upstream]
           {
               if (!hosts_[index].runs.contains(id))
               {
                   return;
               }
               if (crashes_upstream)
               {
                   result_.crash_times.push_back(now_);
                   crash_upstream(index);
                   return;
               }
               complete(index, id);
           });
    }

    void complete(std::size_t index, std::uint64_t id)
    {
        auto& here = hosts_[index];
        const auto one = here.runs.at(id);
        here.runs.erase(id);
        here.work.end(one.ticket);
        release_isolation(one);
        if (here.evidence.add_completion(one.digest, now_))
        {
            broadcast(index);
        }
    }

    void release_isolation(const run& one)
    {
        if (one.is_isolated)
        {
            hosts_[one.entry].isolated.erase(one.digest);
        }
    }

    void crash_upstream(std::size_t index)
    {
        auto& here = hosts_[index];
        if (!here.is_up)
        {
            return;
        }
        ++result_.ends;
        here.is_up = false;
        const upstream_crash end{
            (std::uint64_t{index} << 32U) + here.incarnation, now_, now_};
        const auto lost = std::exchange(here.runs, {});
        for (const auto& [id, one] : lost)
        {
            here.work.mark_lost(one.ticket, now_);
            release_isolation(one);
            if (one.may_retry)
            {
                enter(one, index);
            }
            else
            {
                send_later(one);
            }
        }
        at(crash_detection_delay,
           [this, index, end]
           {
               report_crash(index, end);
           });
        at(restart_time,
           [this, index]
           {
               start_upstream(index);
           });
    }

    void report_crash(std::size_t index, upstream_crash end)
    {
        auto& here = hosts_[index];
        for (const auto& work : here.work.take_all(now_))
        {
            if (work.digest >= first_rare)
            {
                result_.rare_in_flight_at_crash.insert(work.digest);
            }
            if (here.evidence.completed_recently(work.digest, now_))
            {
                continue;
            }
            result_.popular_suspected += work.digest <= popular_digests ? 1 : 0;
            end.started_at = work.started_at;
            here.evidence.add_crash(work.digest, end, "s", now_);
            check_quarantine(index, work.digest);
        }
        broadcast(index);
    }

    void broadcast(std::size_t from)
    {
        auto& here = hosts_[from];
        const auto changes = here.evidence.changes_since(here.sent_stamp);
        here.sent_stamp = here.evidence.stamp();
        broadcast(from, changes);
    }

    // Times arrive with an error of less than the minimum delay.
    void broadcast(std::size_t from, const std::vector<crash_record>& changes)
    {
        if (changes.empty())
        {
            return;
        }
        for (std::size_t to = 0; to < hosts_.size(); ++to)
        {
            if (to == from)
            {
                continue;
            }
            const auto time_error = random_between(0ms, 100ms);
            at(random_between(min_delay, max_delay),
               [this, to, changes, time_error]
               {
                   receive(to, changes, time_error);
               });
        }
    }

    static crash_record shift_times(crash_record record, duration by)
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

    void receive(
        std::size_t to,
        const std::vector<crash_record>& changes,
        duration time_error)
    {
        auto& here = hosts_[to];
        std::set<std::uint64_t> cleared_here;
        for (const auto& each : changes)
        {
            const bool is_end = each.cleared_at == time_point();
            const bool is_new =
                here.evidence.merge(shift_times(each, time_error), now_);
            if (is_end && is_new &&
                here.evidence.assess(each.digest, now_).ends == 0)
            {
                cleared_here.insert(each.digest);
            }
            check_quarantine(to, each.digest);
        }
        // Broadcasts the records that a completion on this host cleared.
        auto own = here.evidence.changes_since(here.sent_stamp);
        here.sent_stamp = here.evidence.stamp();
        std::erase_if(
            own,
            [&cleared_here](const crash_record& each)
            {
                return !cleared_here.contains(each.digest);
            });
        broadcast(to, own);
    }

    bool is_quarantined(std::size_t index, std::uint64_t digest)
    {
        return hosts_[index].evidence.assess(digest, now_).suspicion ==
               crash_suspicion::quarantined;
    }

    void check_quarantine(std::size_t index, std::uint64_t digest)
    {
        if (digest == crashing_digest || !is_quarantined(index, digest))
        {
            return;
        }
        if (digest >= first_rare)
        {
            result_.rare_quarantined.insert(digest);
            return;
        }
        ++result_.popular_quarantines;
        at(popular_pause + popular_run_time + max_delay,
           [this, index, digest]
           {
               result_.popular_quarantines_too_long +=
                   is_quarantined(index, digest) ? 1 : 0;
           });
    }

    void schedule_own_crash(std::size_t index)
    {
        at(random_exponential(scenario_.mean_own_crash_interval),
           [this, index]
           {
               crash_upstream(index);
               schedule_own_crash(index);
           });
    }

    // Crashes the upstreams of adjacent hosts within 50 ms.
    void schedule_rack_crash()
    {
        at(random_exponential(scenario_.mean_rack_crash_interval),
           [this]
           {
               const auto racks = hosts_.size() / scenario_.rack_size;
               const auto first =
                   uniform_below(engine_, racks) * scenario_.rack_size;
               for (std::size_t index = 0; index < scenario_.rack_size; ++index)
               {
                   at(random_between(0ms, 50ms),
                      [this, index, first]
                      {
                          crash_upstream(first + index);
                      });
               }
               schedule_rack_crash();
           });
    }

    void expire_periodically(std::size_t index)
    {
        hosts_[index].evidence.expire(now_);
        at(1s,
           [this, index]
           {
               expire_periodically(index);
           });
    }

    scenario scenario_;
    random_engine engine_;
    std::vector<host> hosts_;
    std::priority_queue<event> events_;
    time_point now_ = start;
    std::uint64_t last_order_ = 0;
    std::uint64_t last_run_ = 0;
    std::uint64_t last_rare_ = 0;
    scenario_result result_;
};

class crashing_request
    : public testing::TestWithParam<std::tuple<std::size_t, int>>
{
};

TEST_P(crashing_request, crashes_few_upstreams)
{
    const auto [hosts, gap] = GetParam();
    // Each send that enters before the evidence has arrived makes two tries.
    const std::size_t sends_within_delay =
        max_delay < std::chrono::milliseconds(gap) - 2 * crashing_run_time ? 0
                                                                           : 1;
    const std::size_t max_crashes =
        crashes_to_quarantine + 2 * sends_within_delay;
    const std::uint64_t seeds = hosts < 1000 ? 5 : 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        scenario options;
        options.seed = seed;
        options.hosts = hosts;
        options.send_interval = std::chrono::milliseconds(gap);
        const auto result = fleet_simulation(options).simulate();
        EXPECT_LE(result.crash_times.size(), max_crashes) << seed;
        ASSERT_GE(result.crash_times.size(), crashes_to_quarantine) << seed;
        const auto quiet_from = result.crash_times[2] + 3s;
        ASSERT_LT(quiet_from + 1s, start + options.length) << seed;
        EXPECT_LT(result.crashing_run_starts.back(), quiet_from) << seed;
        EXPECT_TRUE(result.rare_quarantined.empty()) << seed;
        EXPECT_EQ(result.popular_quarantines, 0U) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    crash_evidence_replay,
    crashing_request,
    testing::Combine(
        testing::Values(15, 195, 1000), testing::Values(300, 400, 1000)));

void accumulate(
    scenario_result& all,
    const scenario_result& one,
    std::size_t& in_flight_at_crash,
    std::size_t& quarantined_count)
{
    all.ends += one.ends;
    all.popular_suspected += one.popular_suspected;
    all.popular_quarantines += one.popular_quarantines;
    all.popular_quarantines_too_long += one.popular_quarantines_too_long;
    in_flight_at_crash += one.rare_in_flight_at_crash.size();
    quarantined_count += one.rare_quarantined.size();
}

// Runs scenarios in which no request causes a crash.
void simulate_unrelated_crashes(scenario options, bool check_rare)
{
    scenario_result all;
    std::size_t in_flight_at_crash = 0;
    std::size_t quarantined_count = 0;
    for (options.seed = 1; options.seed <= 200; ++options.seed)
    {
        const auto result = fleet_simulation(options).simulate();
        EXPECT_EQ(result.popular_quarantines_too_long, 0U) << options.seed;
        accumulate(all, result, in_flight_at_crash, quarantined_count);
    }
    std::cout << "crashes " << all.ends << ", rare in flight "
              << in_flight_at_crash << ", quarantined " << quarantined_count
              << ", popular suspected " << all.popular_suspected
              << ", popular quarantined " << all.popular_quarantines << '\n';
    EXPECT_GT(in_flight_at_crash, 1000U);
    if (check_rare)
    {
        EXPECT_LT(quarantined_count * 1000, in_flight_at_crash);
    }
}

// Each upstream crashes every 10 minutes on average, and one rack every 30 s.
TEST(crash_evidence_replay, unrelated_crashes_quarantine_few_requests)
{
    scenario options;
    options.hosts = 20;
    options.length = 15s;
    options.mean_own_crash_interval = 10min;
    options.mean_rack_crash_interval = 30s;
    simulate_unrelated_crashes(options, true);
}

// Each upstream crashes every 20 s on average, and one rack every 4 s: more
// than a real fleet would survive.
TEST(
    crash_evidence_replay,
    popular_requests_stay_unquarantined_at_any_crash_rate)
{
    scenario options;
    options.hosts = 20;
    options.length = 8s;
    options.mean_own_crash_interval = 20s;
    options.mean_rack_crash_interval = 4s;
    simulate_unrelated_crashes(options, false);
}

// A quarter of the upstreams crashes together, repeatedly and from the start,
// when popular requests haven't completed yet.
TEST(
    crash_evidence_replay, popular_requests_stay_unquarantined_when_racks_crash)
{
    scenario options;
    options.hosts = 20;
    options.length = 2s;
    options.rack_size = 5;
    options.mean_rack_crash_interval = 200ms;
    simulate_unrelated_crashes(options, false);
}

} // namespace
} // namespace nutmegusher
