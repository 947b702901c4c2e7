// The throughput of an upstream that is offered more calls than it has slots.
#include "nutmegusher/base/random.hpp"
#include "nutmegusher/policy/useful_slots.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

constexpr duration mean_work = 22ms;

// The factor by which calls take longer when `running` of `slots` are taken.
using slowdown = std::function<double(std::size_t running, std::size_t slots)>;

double no_slowdown(std::size_t, std::size_t)
{
    return 1.0;
}

double slow_above_95_percent(std::size_t running, std::size_t slots)
{
    return static_cast<double>(running) > 0.95 * static_cast<double>(slots)
               ? 1.3
               : 1.0;
}

// An upstream that always has calls waiting.
class saturated_upstream
{
public:
    saturated_upstream(std::size_t slots, slowdown slower, bool limited)
        : slots_(slots)
        , slower_(std::move(slower))
        , limited_(limited)
    {
        useful_.set_slots(slots);
    }

    // Runs for `time`; returns the work of the completed calls, in seconds at
    // no load.
    double simulate(duration time)
    {
        const auto until = now_ + time;
        double done = 0;
        fill();
        while (!running_.empty() && running_.begin()->first < until)
        {
            const auto [end, call] = *running_.begin();
            running_.erase(running_.begin());
            now_ = end;
            useful_.on_completion(
                call.work_class, call.start, end - call.since, now_);
            done += call.work;
            fill();
        }
        now_ = until;
        return done;
    }

    [[nodiscard]] std::size_t limit()
    {
        return limited_ ? useful_.limit(now_) : slots_;
    }

    double overall_slowdown = 1.0;

private:
    struct call
    {
        std::uint64_t work_class;
        useful_slots::start start;
        time_point since;
        double work;
    };

    void fill()
    {
        while (running_.size() < limit())
        {
            const auto running = running_.size() + 1;
            // A quarter of the calls, at random, belong to a class with five
            // times the work.
            const std::uint64_t work_class = uniform_below(engine_, 4) == 0;
            const double factor = work_class == 1 ? 5.0 : 1.0;
            const double seconds =
                std::chrono::duration<double>(mean_work).count();
            const double work = seconds * factor * spread_(engine_);
            const double slot_time =
                work * slower_(running, slots_) * overall_slowdown;
            const auto end =
                now_ + std::chrono::duration_cast<duration>(
                           std::chrono::duration<double>(slot_time));
            running_.emplace(
                end, call{work_class, useful_.on_start(running), now_, work});
        }
    }

    std::size_t slots_;
    slowdown slower_;
    bool limited_;
    useful_slots useful_;
    std::multimap<time_point, call> running_;
    time_point now_{std::chrono::hours(1)};
    random_engine engine_{7};
    std::lognormal_distribution<double> spread_{0.0, 0.5};
};

double gain(std::size_t slots, const slowdown& slower)
{
    saturated_upstream all(slots, slower, false);
    saturated_upstream useful(slots, slower, true);
    return useful.simulate(20s) / all.simulate(20s);
}

TEST(useful_slots, an_upstream_that_slows_down_when_full_does_more)
{
    for (const std::size_t slots : {14U, 31U, 82U, 292U})
    {
        EXPECT_GT(gain(slots, slow_above_95_percent), 1.15) << slots;
    }
}

TEST(useful_slots, an_upstream_that_does_not_slow_down_loses_little)
{
    for (const std::size_t slots : {8U, 14U, 31U, 82U, 292U})
    {
        EXPECT_GT(gain(slots, no_slowdown), 0.97) << slots;
    }
}

TEST(useful_slots, few_slots_are_all_used)
{
    saturated_upstream upstream(4, slow_above_95_percent, true);
    upstream.simulate(10s);
    EXPECT_EQ(upstream.limit(), 4U);
}

TEST(useful_slots, all_slots_are_used_before_any_measurement)
{
    saturated_upstream upstream(31, slow_above_95_percent, true);
    EXPECT_EQ(upstream.limit(), 31U);
}

TEST(useful_slots, an_upstream_that_turns_slow_as_a_whole_keeps_its_slots)
{
    saturated_upstream upstream(82, no_slowdown, true);
    upstream.simulate(5s);
    upstream.overall_slowdown = 5.0;
    upstream.simulate(20s);
    EXPECT_GE(upstream.limit(), 77U);
}

TEST(useful_slots, a_limit_that_is_no_longer_needed_is_removed)
{
    bool slows = true;
    const auto slower = [&slows](std::size_t running, std::size_t slots)
    {
        return slows ? slow_above_95_percent(running, slots) : 1.0;
    };
    saturated_upstream upstream(31, slower, true);
    upstream.simulate(5s);
    EXPECT_LT(upstream.limit(), 31U);
    slows = false;
    upstream.simulate(15s);
    saturated_upstream all(31, no_slowdown, false);
    EXPECT_GT(upstream.simulate(10s) / all.simulate(10s), 0.97);
}

} // namespace
} // namespace nutmegusher
