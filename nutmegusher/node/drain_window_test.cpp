#include "nutmegusher/node/drain_window.hpp"
#include "nutmegusher/node/stop_plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace nutmegusher::node
{
namespace
{

using std::chrono::milliseconds;

constexpr time_point begin_time{std::chrono::seconds(100)};

TEST(drain_window, admits_everything_before_a_shutdown)
{
    const drain_window drain;
    EXPECT_TRUE(drain.admits(begin_time, time_point::max()));
    EXPECT_EQ(drain.time_left(begin_time), duration::zero());
}

TEST(drain_window, admits_what_ends_in_time_once_it_is_bounded)
{
    drain_window drain;
    const auto bounded_from = begin_time + milliseconds(2500);
    const auto give_up_at = begin_time + milliseconds(5000);
    drain.begin(bounded_from, give_up_at);
    const auto before = bounded_from - duration(1);
    EXPECT_TRUE(drain.admits(before, give_up_at + duration(1)));
    EXPECT_FALSE(drain.admits(bounded_from, give_up_at + duration(1)));
    EXPECT_TRUE(drain.admits(bounded_from, give_up_at));
}

TEST(drain_window, says_when_the_process_gives_up)
{
    drain_window drain;
    drain.begin(begin_time, begin_time + milliseconds(5000));
    EXPECT_EQ(
        drain.time_left(begin_time + milliseconds(2000)), milliseconds(3000));
    EXPECT_EQ(
        drain.time_left(begin_time + milliseconds(6000)), duration::zero());
}

shutdown_settings make_settings(duration accept_for, duration limit)
{
    shutdown_settings result;
    result.accept_for = accept_for;
    result.limit = limit;
    return result;
}

// From a fraction of a second to the longest settings, with times for accepting
// that exceed the shutdown.
shutdown_settings random_settings(random_engine& random)
{
    const double limit_ms = 900.0 * std::pow(70.0, uniform_unit(random));
    const double accept_ms = limit_ms * 1.3 * uniform_unit(random);
    return make_settings(
        milliseconds(static_cast<int>(accept_ms)),
        milliseconds(static_cast<int>(limit_ms)));
}

TEST(stop_plan, has_times_that_do_not_decrease)
{
    random_engine random(1);
    for (int i = 0; i < 2000; ++i)
    {
        const auto settings = random_settings(random);
        for (const bool sub_calls : {false, true})
        {
            const auto plan = make_stop_plan(settings, sub_calls);
            const auto& times = plan.times;
            EXPECT_GE(times.leave_after, duration::zero());
            EXPECT_LE(times.leave_after, times.close_callers_after);
            EXPECT_LE(times.close_callers_after, times.close_callers_deadline);
            EXPECT_LT(times.close_callers_deadline, times.give_up_after);
            EXPECT_LT(times.give_up_after, times.end_after);
            EXPECT_LE(plan.bounded_after, times.close_callers_after);
            EXPECT_LE(2 * plan.bounded_after, times.give_up_after);
        }
    }
}

struct simulated_request
{
    // The work that is left when the request is handed over.
    duration work{0};
    time_point deadline;
    time_point handed_over_at;
};

// Callers, other daemons and the upstream on this host send requests with
// random time limits and work until their connections are closed. Time passes
// before some are handed over: their body is slow, or they wait for a slot.
class simulated_shutdown
{
public:
    simulated_shutdown(std::uint64_t seed, const shutdown_settings& settings)
        : random_(seed)
        , limit_(settings.limit)
        , plan_(make_stop_plan(settings, true))
        , stop_(stop_sequence::begin(plan_.times, begin_time))
        , step_time_(std::max<duration>(limit_ / 2000, milliseconds(1)))
    {
        drain_.begin(
            begin_time + plan_.bounded_after,
            begin_time + plan_.times.give_up_after);
    }

    void run()
    {
        while (stop_.step() < stop_step::giving_up)
        {
            receive();
            hand_over();
            complete();
            stop_.advance(now_, count_open());
            now_ += step_time_;
        }
    }

    // Number of requests that are still worked on when the process gives up,
    // of those that it handed over once requests were bounded.
    [[nodiscard]] std::size_t broken_off() const
    {
        return static_cast<std::size_t>(std::count_if(
            running_.begin(),
            running_.end(),
            [this](const simulated_request& each)
            {
                return each.handed_over_at >= bounded_from();
            }));
    }

    [[nodiscard]] std::size_t refused_in_vain() const
    {
        return refused_in_vain_;
    }

    [[nodiscard]] std::size_t bounded() const
    {
        return bounded_;
    }

private:
    [[nodiscard]] time_point bounded_from() const
    {
        return begin_time + plan_.bounded_after;
    }

    // Mostly far below `longest`.
    [[nodiscard]] duration random_time(duration longest)
    {
        const double part = std::pow(uniform_unit(random_), 3.0);
        return std::chrono::duration_cast<duration>(longest * part);
    }

    void receive()
    {
        // In the last step that takes sub-calls, only those come.
        if (stop_.step() > stop_step::finishing_calls ||
            uniform_unit(random_) < 0.9)
        {
            return;
        }
        simulated_request request;
        request.work = random_time(limit_ * 2);
        request.deadline = now_ + random_time(limit_) + milliseconds(1);
        request.handed_over_at = now_ + random_time(limit_ / 2);
        waiting_.push_back(request);
    }

    void hand_over()
    {
        for (const auto& each : waiting_)
        {
            if (each.handed_over_at > now_ || each.deadline <= now_)
            {
                continue;
            }
            const bool is_before_bound = now_ < bounded_from();
            const bool ends_in_time =
                each.deadline <= begin_time + plan_.times.give_up_after;
            bounded_ += is_before_bound ? 0 : 1;
            if (drain_.admits(now_, each.deadline))
            {
                running_.push_back(each);
                running_.back().handed_over_at = now_;
            }
            else
            {
                refused_in_vain_ += is_before_bound || ends_in_time ? 1 : 0;
            }
        }
        std::erase_if(
            waiting_,
            [this](const simulated_request& each)
            {
                return each.handed_over_at <= now_ || each.deadline <= now_;
            });
    }

    void complete()
    {
        std::erase_if(
            running_,
            [this](const simulated_request& each)
            {
                return each.handed_over_at + each.work <= now_ ||
                       each.deadline <= now_;
            });
    }

    [[nodiscard]] open_counts count_open() const
    {
        open_counts open;
        open.callers = waiting_.size() + running_.size();
        open.upstream_calls = running_.size();
        return open;
    }

    random_engine random_;
    duration limit_;
    stop_plan plan_;
    stop_sequence stop_;
    drain_window drain_;
    duration step_time_;
    time_point now_ = begin_time;
    std::vector<simulated_request> waiting_;
    std::vector<simulated_request> running_;
    std::size_t refused_in_vain_ = 0;
    std::size_t bounded_ = 0;
};

// Guards against requests that are taken late in a shutdown, and that the
// daemon then answers in place of the upstream that works on them.
TEST(drain_window, breaks_off_nothing_that_was_taken_once_it_is_bounded)
{
    random_engine random(1);
    std::size_t bounded = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed)
    {
        SCOPED_TRACE(seed);
        simulated_shutdown shutdown(seed, random_settings(random));
        shutdown.run();
        EXPECT_EQ(shutdown.broken_off(), 0U);
        EXPECT_EQ(shutdown.refused_in_vain(), 0U);
        bounded += shutdown.bounded();
    }
    EXPECT_GT(bounded, 1000U);
}

// The same with the settings of deployments: a supervisor that kills after six
// and after ten seconds, and the defaults.
TEST(drain_window, breaks_off_nothing_with_usual_settings)
{
    const auto kill_after = [](milliseconds time)
    {
        return duration(time) * 10 / 11;
    };
    const std::vector<shutdown_settings> all{
        make_settings(milliseconds(2500), kill_after(milliseconds(6000))),
        make_settings(milliseconds(2500), kill_after(milliseconds(10000))),
        make_settings(duration::zero(), kill_after(milliseconds(66000))),
        make_settings(duration::zero(), kill_after(milliseconds(1000))),
        make_settings(milliseconds(9000), kill_after(milliseconds(6000)))};
    for (const auto& settings : all)
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            SCOPED_TRACE(seed);
            simulated_shutdown shutdown(seed, settings);
            shutdown.run();
            EXPECT_EQ(shutdown.broken_off(), 0U);
            EXPECT_EQ(shutdown.refused_in_vain(), 0U);
        }
    }
}

} // namespace
} // namespace nutmegusher::node
