// Tests that calls start again at an upstream that works as usual after it, or
// the process beside it, stood still.
#include "nutmegusher/base/random.hpp"
#include "nutmegusher/policy/slot_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

double uniform(random_engine& engine, double low, double high)
{
    return low + (high - low) * uniform_unit(engine);
}

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

struct simulated_class
{
    std::uint64_t id;
    std::uint8_t rank;
    duration time_limit;
    double mean_slot_seconds;
    double share;
};

// Three classes that keep 20 slots busy to a half at 200 calls a second.
constexpr std::size_t slot_count = 20;
constexpr double calls_per_second = 200;
constexpr duration caller_patience = 1s;
const std::vector<simulated_class> classes{
    {1, 2, 700ms, 0.022, 0.80},
    {2, 2, 1s, 0.072, 0.12},
    {3, 0, 800ms, 0.200, 0.08}};

enum class fault_kind : std::uint8_t
{
    // The process beside the upstream doesn't run.
    suspension,
    // The upstream answers nothing.
    stall,
    // The upstream starts again and answers nothing at first.
    cold_start,
    // The upstream takes eight times as long.
    slowness,
    // Five times as many calls arrive.
    burst
};

struct fault
{
    fault_kind kind;
    time_point from;
    time_point to;
};

// A queue with calls, and an upstream that runs them, in simulated time.
template <class Queue>
class simulation
{
public:
    simulation(std::vector<fault> faults, std::uint64_t seed)
        : queue_(seed)
        , engine_(seed)
        , faults_(std::move(faults))
    {
        queue_.set_slots(slot_count, now_);
    }

    struct counts
    {
        std::size_t arrived = 0;
        std::size_t started = 0;
    };

    // Returns the calls that arrived until then, and how many of them started.
    counts run_until(time_point end)
    {
        counts_ = {};
        counted_from_ = last_ticket_;
        while (next_event() < end)
        {
            now_ = std::max(now_, after_suspension(next_event()));
            handle_due_events();
        }
        now_ = std::max(now_, end);
        return counts_;
    }

    [[nodiscard]] double level() const
    {
        return queue_.state().shed_level;
    }

private:
    struct run
    {
        ticket_id ticket;
        call_result result;
    };

    [[nodiscard]] time_point next_event() const
    {
        auto next = next_arrival_;
        if (!ends_.empty())
        {
            next = std::min(next, ends_.begin()->first);
        }
        return std::min(next, queue_.next_event().value_or(next));
    }

    void handle_due_events()
    {
        start_again_if_due();
        while (!ends_.empty() && ends_.begin()->first <= now_)
        {
            const auto ended = ends_.begin()->second;
            ends_.erase(ends_.begin());
            apply(queue_.finish(ended.ticket, ended.result, now_));
        }
        apply(queue_.tick(now_));
        while (next_arrival_ <= now_)
        {
            // Callers leave a process that doesn't answer.
            if (now_ - next_arrival_ <= caller_patience)
            {
                arrive();
            }
            const double gap =
                -std::log(uniform(engine_, 1e-6, 1.0)) / arrival_rate();
            next_arrival_ += to_duration(gap);
        }
    }

    void arrive()
    {
        double drawn = uniform(engine_, 0, 1);
        auto of = classes.begin();
        while (of + 1 != classes.end() && drawn >= of->share)
        {
            drawn -= of->share;
            ++of;
        }
        call_info call;
        call.ticket = ticket_id(++last_ticket_);
        call.rank = of->rank;
        call.work_class = of->id;
        call.target = of->time_limit;
        call.deadline = now_ + of->time_limit;
        calls_.emplace(call.ticket, call);
        ++counts_.arrived;
        const auto arrival = queue_.arrive(call, now_);
        apply(arrival.outcomes);
        if (std::holds_alternative<admitted>(arrival.verdict))
        {
            start(call.ticket);
        }
    }

    void apply(std::span<const queue_outcome> outcomes)
    {
        for (const auto& each : outcomes)
        {
            if (std::holds_alternative<admitted>(each.verdict))
            {
                start(each.ticket);
            }
        }
    }

    void start(ticket_id ticket)
    {
        const auto call = calls_.at(ticket);
        calls_.erase(ticket);
        counts_.started += ticket > ticket_id(counted_from_) ? 1 : 0;
        const auto of = std::find_if(
            classes.begin(),
            classes.end(),
            [&call](const simulated_class& each)
            {
                return each.id == call.work_class;
            });
        double seconds = of->mean_slot_seconds * uniform(engine_, 0.5, 1.5);
        seconds *= is_active(fault_kind::slowness) ? 8 : 1;
        auto end = now_ + to_duration(seconds);
        for (const auto& each : faults_)
        {
            const bool silent = each.kind == fault_kind::stall ||
                                each.kind == fault_kind::cold_start;
            if (silent && end >= each.from && now_ < each.to)
            {
                end = std::max(end, each.to + to_duration(seconds));
            }
        }
        const bool in_time = end <= call.deadline;
        ends_.emplace(
            std::min(end, call.deadline),
            run{ticket, in_time ? call_result::ok : call_result::timed_out});
    }

    void start_again_if_due()
    {
        for (const auto& each : faults_)
        {
            const bool is_due = each.kind == fault_kind::cold_start &&
                                each.from <= now_ &&
                                each.from > last_cold_start_;
            if (is_due)
            {
                last_cold_start_ = each.from;
                ends_.clear();
                apply(queue_.restart(now_));
            }
        }
    }

    [[nodiscard]] time_point after_suspension(time_point at) const
    {
        auto moved = at;
        for (const auto& each : faults_)
        {
            const bool suspended = each.kind == fault_kind::suspension &&
                                   each.from <= moved && moved < each.to;
            moved = suspended ? each.to : moved;
        }
        return moved;
    }

    [[nodiscard]] bool is_active(fault_kind kind) const
    {
        return std::any_of(
            faults_.begin(),
            faults_.end(),
            [&](const fault& each)
            {
                return each.kind == kind && each.from <= now_ && now_ < each.to;
            });
    }

    [[nodiscard]] double arrival_rate() const
    {
        return calls_per_second * (is_active(fault_kind::burst) ? 5 : 1);
    }

    time_point now_{1h};
    Queue queue_;
    random_engine engine_;
    // Ordered by `from`.
    std::vector<fault> faults_;
    time_point last_cold_start_;
    time_point next_arrival_ = now_;
    std::uint64_t last_ticket_ = 0;
    std::uint64_t counted_from_ = 0;
    std::unordered_map<ticket_id, call_info> calls_;
    std::multimap<time_point, run> ends_;
    counts counts_;
};

// A queue that refuses calls by an estimate which only calls that ran change.
class latching_queue : public slot_queue
{
public:
    using slot_queue::slot_queue;

    arrival_result arrive(const call_info& call, time_point now)
    {
        if (now + to_duration(seconds_[call.work_class]) >= call.deadline)
        {
            return {refused{refusal_reason::deadline, 1s}, {}};
        }
        auto result = slot_queue::arrive(call, now);
        if (std::holds_alternative<admitted>(result.verdict))
        {
            started_[call.ticket] = {call.work_class, now};
        }
        return result;
    }

    std::span<const queue_outcome>
    finish(ticket_id ticket, call_result result, time_point now)
    {
        const auto found = started_.find(ticket);
        if (found != started_.end())
        {
            const auto [work_class, since] = found->second;
            const std::chrono::duration<double> elapsed(now - since);
            double& mean = seconds_[work_class];
            mean += (elapsed.count() - mean) / (mean <= 0 ? 1 : 8);
            started_.erase(found);
        }
        return slot_queue::finish(ticket, result, now);
    }

private:
    std::unordered_map<std::uint64_t, double> seconds_;
    std::unordered_map<ticket_id, std::pair<std::uint64_t, time_point>>
        started_;
};

constexpr time_point simulation_start{1h};

std::vector<fault> random_faults(random_engine& engine)
{
    std::vector<fault> faults(1 + uniform_below(engine, 5));
    for (auto& each : faults)
    {
        each.kind = static_cast<fault_kind>(uniform_below(engine, 5));
        each.from = simulation_start + to_duration(uniform(engine, 0.5, 12));
        each.to = each.from + to_duration(uniform(engine, 0.05, 6));
    }
    std::sort(
        faults.begin(),
        faults.end(),
        [](const fault& one, const fault& other)
        {
            return one.from < other.from;
        });
    return faults;
}

std::string to_text(const std::vector<fault>& faults)
{
    std::string text;
    for (const auto& each : faults)
    {
        using seconds = std::chrono::duration<double>;
        text += std::to_string(static_cast<int>(each.kind)) + ' ' +
                std::to_string(seconds(each.from - simulation_start).count()) +
                " to " +
                std::to_string(seconds(each.to - simulation_start).count()) +
                "; ";
    }
    return text;
}

struct recovery
{
    // Share of the calls that started, of those that arrived in the second
    // after the first one after the last fault.
    double started = 0;
    // The level two seconds after the last fault.
    double level = 0;

    [[nodiscard]] bool is_complete() const
    {
        return started >= 0.9 && level <= 0;
    }
};

template <class Queue>
recovery recover_from(const std::vector<fault>& faults, std::uint64_t seed)
{
    auto last = simulation_start;
    for (const auto& each : faults)
    {
        last = std::max(last, each.to);
    }
    simulation<Queue> upstream(faults, seed);
    upstream.run_until(last + 1s);
    const auto counted = upstream.run_until(last + 2s);
    return {
        static_cast<double>(counted.started) /
            static_cast<double>(counted.arrived),
        upstream.level()};
}

std::uint64_t count_from_environment(const char* name, std::uint64_t otherwise)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

TEST(slot_queue_recovery, calls_start_again_after_any_sequence_of_faults)
{
    const auto first = count_from_environment("RECOVERY_SEED", 1);
    const auto histories = count_from_environment("RECOVERY_HISTORIES", 200);
    for (auto seed = first; seed < first + histories; ++seed)
    {
        random_engine engine(seed);
        const auto faults = random_faults(engine);
        const auto after = recover_from<slot_queue>(faults, seed);
        EXPECT_GE(after.started, 0.9) << seed << ": " << to_text(faults);
        EXPECT_LE(after.level, 0) << seed << ": " << to_text(faults);
    }
}

TEST(slot_queue_recovery, an_estimate_that_only_running_calls_change_latches)
{
    std::size_t incomplete = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        random_engine engine(seed);
        const auto faults = random_faults(engine);
        const auto after = recover_from<latching_queue>(faults, seed);
        incomplete += after.is_complete() ? 0 : 1;
    }
    EXPECT_GT(incomplete, 0U);
}

TEST(slot_queue_recovery, calls_start_again_after_the_process_was_suspended)
{
    const std::vector<fault> faults{
        {fault_kind::suspension, simulation_start + 2s, simulation_start + 7s}};
    EXPECT_TRUE(recover_from<slot_queue>(faults, 1).is_complete());
}

TEST(slot_queue_recovery, calls_start_again_after_a_cold_start)
{
    const std::vector<fault> faults{
        {fault_kind::cold_start, simulation_start + 2s, simulation_start + 3s}};
    EXPECT_TRUE(recover_from<slot_queue>(faults, 1).is_complete());
}

// Calls of one class run while the estimate of another one is too long.
TEST(slot_queue_recovery, a_refused_class_is_tried_while_another_runs)
{
    time_point now = simulation_start;
    slot_queue queue(1);
    queue.set_slots(2, now);
    std::uint64_t tickets = 0;
    const auto arrive = [&](std::uint64_t work_class, duration time_left)
    {
        call_info call;
        call.ticket = ticket_id(++tickets);
        call.work_class = work_class;
        call.target = time_left;
        call.deadline = now + time_left;
        return std::pair(
            call.ticket,
            std::holds_alternative<admitted>(queue.arrive(call, now).verdict));
    };
    const auto slow = arrive(1, 500ms);
    now += 500ms;
    queue.finish(slow.first, call_result::timed_out, now);
    EXPECT_FALSE(arrive(1, 500ms).second);
    const auto other = arrive(2, 60s);
    EXPECT_TRUE(other.second);
    now += 1s;
    const auto tried = arrive(1, 500ms);
    EXPECT_TRUE(tried.second);
    now += 20ms;
    queue.finish(tried.first, call_result::ok, now);
    EXPECT_TRUE(arrive(1, 500ms).second);
}

} // namespace
} // namespace nutmegusher
