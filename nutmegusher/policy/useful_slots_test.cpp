// An upstream under more calls than it has slots, and what it gets done.
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

// How much longer work takes when so many of the slots are taken.
using slowdown = std::function<double(std::size_t running, std::size_t slots)>;

double never(std::size_t, std::size_t)
{
    return 1.0;
}

double beyond_95_in_100(std::size_t running, std::size_t slots)
{
    return static_cast<double>(running) > 0.95 * static_cast<double>(slots)
               ? 1.3
               : 1.0;
}

// One upstream that always has calls waiting.
class saturated
{
public:
    saturated(std::size_t slots, slowdown slower, bool limited)
        : slots_(slots)
        , slower_(std::move(slower))
        , limited_(limited)
    {
        useful_.set_slots(slots);
    }

    // The work that ends within the time, in seconds of the upstream's own.
    double play(duration time)
    {
        const auto until = now_ + time;
        double done = 0;
        fill();
        while (!running_.empty() && running_.begin()->first < until)
        {
            const auto [end, call] = *running_.begin();
            running_.erase(running_.begin());
            now_ = end;
            useful_.on_end(call.work_class, call.start, end - call.since, now_);
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

    double all_slower = 1.0;

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
            // Every fourth call belongs to a class with five times the work.
            const std::uint64_t work_class = uniform_below(engine_, 4) == 0;
            const double factor = work_class == 1 ? 5.0 : 1.0;
            const double seconds =
                std::chrono::duration<double>(mean_work).count();
            const double work = seconds * factor * spread_(engine_);
            const double held = work * slower_(running, slots_) * all_slower;
            const auto end = now_ + std::chrono::duration_cast<duration>(
                                        std::chrono::duration<double>(held));
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
    saturated all(slots, slower, false);
    saturated useful(slots, slower, true);
    return useful.play(20s) / all.play(20s);
}

TEST(useful_slots, an_upstream_that_slows_down_when_full_does_more)
{
    for (const std::size_t slots : {14U, 31U, 82U, 292U})
    {
        EXPECT_GT(gain(slots, beyond_95_in_100), 1.15) << slots;
    }
}

TEST(useful_slots, an_upstream_that_does_not_slow_down_loses_little)
{
    for (const std::size_t slots : {8U, 14U, 31U, 82U, 292U})
    {
        EXPECT_GT(gain(slots, never), 0.97) << slots;
    }
}

TEST(useful_slots, few_slots_are_all_used)
{
    saturated upstream(4, beyond_95_in_100, true);
    upstream.play(10s);
    EXPECT_EQ(upstream.limit(), 4U);
}

TEST(useful_slots, all_are_used_until_something_is_known)
{
    saturated upstream(31, beyond_95_in_100, true);
    EXPECT_EQ(upstream.limit(), 31U);
}

TEST(useful_slots, an_upstream_that_turns_slow_as_a_whole_keeps_its_slots)
{
    saturated upstream(82, never, true);
    upstream.play(5s);
    upstream.all_slower = 5.0;
    upstream.play(20s);
    EXPECT_GE(upstream.limit(), 77U);
}

TEST(useful_slots, a_limit_that_is_no_longer_needed_goes)
{
    bool slows = true;
    const auto slower = [&slows](std::size_t running, std::size_t slots)
    {
        return slows ? beyond_95_in_100(running, slots) : 1.0;
    };
    saturated upstream(31, slower, true);
    upstream.play(5s);
    EXPECT_LT(upstream.limit(), 31U);
    slows = false;
    upstream.play(15s);
    saturated all(31, never, false);
    EXPECT_GT(upstream.play(10s) / all.play(10s), 0.97);
}

} // namespace
} // namespace nutmegusher
