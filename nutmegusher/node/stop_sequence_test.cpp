#include "nutmegusher/node/stop_sequence.hpp"

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
constexpr duration step_time = milliseconds(1);

stop_times times_of_two_seconds()
{
    stop_times times;
    times.leave_after = milliseconds(300);
    times.close_callers_after = milliseconds(500);
    times.close_callers_deadline = milliseconds(550);
    times.give_up_after = milliseconds(1800);
    times.end_after = milliseconds(2000);
    times.session_close_timeout = milliseconds(120);
    return times;
}

// Simulates one kind of connection; each is idle or has a request in flight.
struct simulated_source
{
    std::size_t idle = 0;
    // When each request in flight gets its answer.
    std::vector<time_point> answer_times;
    bool is_closed = false;
    // Total requests that were read, and total requests that were answered.
    std::size_t received = 0;
    std::size_t answered = 0;

    [[nodiscard]] std::size_t open() const
    {
        return idle + answer_times.size();
    }

    // Receives a request on an idle or a new connection. A closed source reads
    // nothing: it has no idle connection and accepts none.
    void add_request(time_point answer_at)
    {
        if (is_closed)
        {
            return;
        }
        idle -= idle > 0 ? 1 : 0;
        answer_times.push_back(answer_at);
        ++received;
    }

    void close()
    {
        is_closed = true;
        idle = 0;
    }

    void give_up(time_point answer_at)
    {
        for (auto& each : answer_times)
        {
            each = std::min(each, answer_at);
        }
    }

    // Answers the requests that are due; returns how many.
    std::size_t run(time_point now)
    {
        const auto ended = std::erase_if(
            answer_times,
            [now](time_point at)
            {
                return at <= now;
            });
        answered += ended;
        idle += is_closed ? 0 : ended;
        return ended;
    }
};

// Simulates a process whose callers, peers and upstream keep sending requests
// until their connections are closed.
class simulated_process
{
public:
    simulated_process(std::uint64_t seed, duration max_work_time)
        : random_(seed)
        , max_work_time_(max_work_time)
        , stop_(stop_sequence::begin(times_of_two_seconds(), begin_time))
    {
        callers_.idle = uniform_below(random_, 200);
        peers_.idle = uniform_below(random_, 20);
        upstream_.idle = uniform_below(random_, 10);
        rate_ = uniform_unit(random_);
    }

    void run_to_the_end()
    {
        auto next_check = now_;
        stop_step entered = stop_step::ended;
        while (stop_.step() != stop_step::ended)
        {
            add_requests();
            complete_due_requests();
            if (now_ >= next_check)
            {
                if (entered != stop_.step())
                {
                    EXPECT_TRUE(
                        entered == stop_step::ended || entered < stop_.step());
                    entered = stop_.step();
                    enter(entered);
                    // Requests that arrive between the closing and the count.
                    add_requests();
                }
                stop_.advance(now_, count_open());
                next_check =
                    entered == stop_.step() ? stop_.next_check(now_) : now_;
            }
            now_ += step_time;
            ASSERT_LE(now_ - begin_time, milliseconds(2100));
        }
    }

    void expect_everything_answered() const
    {
        for (const auto* each : {&callers_, &peers_, &upstream_})
        {
            EXPECT_EQ(each->received, each->answered);
        }
    }

    [[nodiscard]] const stop_sequence& stop() const
    {
        return stop_;
    }

private:
    [[nodiscard]] time_point answer_time()
    {
        const double part = std::pow(uniform_unit(random_), 4.0);
        return now_ + step_time +
               std::chrono::duration_cast<duration>(max_work_time_ * part);
    }

    void add_requests()
    {
        for (auto* each : {&callers_, &peers_})
        {
            if (uniform_unit(random_) < rate_)
            {
                each->add_request(answer_time());
            }
        }
        // The upstream sends sub-calls only while it serves a call.
        const bool is_working =
            !callers_.answer_times.empty() || !peers_.answer_times.empty();
        if (is_working && uniform_unit(random_) < rate_)
        {
            upstream_.add_request(answer_time());
        }
    }

    void complete_due_requests()
    {
        for (auto* each : {&callers_, &peers_, &upstream_})
        {
            each->run(now_);
        }
    }

    void enter(stop_step step)
    {
        if (step >= stop_step::closing_callers)
        {
            callers_.close();
        }
        if (step >= stop_step::closing_peers)
        {
            peers_.close();
        }
        if (step >= stop_step::closing_upstream)
        {
            upstream_.close();
        }
        if (step == stop_step::giving_up)
        {
            const auto soon = now_ + milliseconds(100);
            callers_.give_up(soon);
            peers_.give_up(soon);
            upstream_.give_up(soon);
        }
    }

    [[nodiscard]] open_counts count_open() const
    {
        return {
            .callers = callers_.open(),
            .peer_calls = peers_.answer_times.size(),
            .peer_sessions = peers_.open(),
            .upstream = upstream_.open()};
    }

    random_engine random_;
    duration max_work_time_;
    stop_sequence stop_;
    time_point now_ = begin_time;
    simulated_source callers_;
    simulated_source peers_;
    simulated_source upstream_;
    double rate_ = 0.0;
};

TEST(stop_sequence, answers_every_request_it_read)
{
    for (std::uint64_t seed = 0; seed < 500; ++seed)
    {
        SCOPED_TRACE(seed);
        simulated_process process(seed, milliseconds(400));
        process.run_to_the_end();
        process.expect_everything_answered();
    }
}

TEST(stop_sequence, gives_up_at_its_limit_and_still_answers)
{
    std::size_t given_up = 0;
    for (std::uint64_t seed = 0; seed < 500; ++seed)
    {
        SCOPED_TRACE(seed);
        simulated_process process(seed, milliseconds(5000));
        process.run_to_the_end();
        process.expect_everything_answered();
        given_up += process.stop().has_given_up() ? 1 : 0;
    }
    EXPECT_GT(given_up, 0U);
}

stop_sequence at_step(stop_step step)
{
    auto stop = stop_sequence::begin(times_of_two_seconds(), begin_time);
    const auto late = begin_time + milliseconds(700);
    while (stop.step() != step)
    {
        stop.advance(late, {});
    }
    return stop;
}

TEST(stop_sequence, waits_for_each_kind_of_work_after_it_is_closed)
{
    const auto now = begin_time + milliseconds(700);
    auto callers = at_step(stop_step::closing_callers);
    callers.advance(now, {.callers = 1});
    EXPECT_EQ(callers.step(), stop_step::closing_callers);
    callers.advance(now, {.peer_calls = 1, .peer_sessions = 1, .upstream = 1});
    EXPECT_EQ(callers.step(), stop_step::closing_peers);
    callers.advance(now, {.peer_calls = 1, .peer_sessions = 1});
    EXPECT_EQ(callers.step(), stop_step::closing_peers);
    callers.advance(now, {.upstream = 1});
    EXPECT_EQ(callers.step(), stop_step::ending_sessions);
    callers.advance(now, {.upstream = 1});
    EXPECT_EQ(callers.step(), stop_step::closing_upstream);
    callers.advance(now, {.upstream = 1});
    EXPECT_EQ(callers.step(), stop_step::closing_upstream);
    callers.advance(now, {});
    EXPECT_EQ(callers.step(), stop_step::ended);
    EXPECT_FALSE(callers.has_given_up());
}

// Guards against closing the callers' listener while the upstream still serves
// calls of other daemons: its sub-calls then couldn't connect.
TEST(stop_sequence, keeps_callers_open_while_calls_may_bring_sub_calls)
{
    auto stop = at_step(stop_step::finishing_calls);
    const open_counts working{.callers = 3, .peer_calls = 1};
    stop.advance(begin_time + milliseconds(540), working);
    EXPECT_EQ(stop.step(), stop_step::finishing_calls);
    auto done = stop;
    done.advance(begin_time + milliseconds(540), {.callers = 3});
    EXPECT_EQ(done.step(), stop_step::closing_callers);
    stop.advance(
        begin_time + milliseconds(540), {.callers = 3, .upstream_calls = 1});
    EXPECT_EQ(stop.step(), stop_step::finishing_calls);
    stop.advance(begin_time + milliseconds(550), working);
    EXPECT_EQ(stop.step(), stop_step::closing_callers);
}

TEST(stop_sequence, waits_for_a_silent_peer_only_until_the_timeout)
{
    auto stop = at_step(stop_step::closing_peers);
    auto now = begin_time + milliseconds(700);
    const open_counts silent{.peer_sessions = 1};
    stop.advance(now, silent);
    now += milliseconds(110);
    stop.advance(now, {.peer_calls = 1, .peer_sessions = 1});
    now += milliseconds(20);
    stop.advance(now, silent);
    EXPECT_EQ(stop.step(), stop_step::closing_peers);
    stop.advance(now + milliseconds(120), silent);
    EXPECT_EQ(stop.step(), stop_step::ending_sessions);
}

// Guards against ending with an open session: a peer that hadn't confirmed the
// end could send a call after the last count.
TEST(stop_sequence, ends_with_no_session_that_may_bring_a_call)
{
    auto stop = at_step(stop_step::closing_peers);
    auto now = begin_time + milliseconds(700);
    while (now < begin_time + milliseconds(1790))
    {
        stop.advance(now, {.peer_sessions = 1});
        now += milliseconds(20);
    }
    EXPECT_EQ(stop.step(), stop_step::ending_sessions);
    stop.advance(now, {});
    EXPECT_EQ(stop.step(), stop_step::closing_upstream);
}

// A call that may not be repeated continues without its session, so that its
// outcome becomes known; the shutdown has to wait for it.
TEST(stop_sequence, waits_for_a_call_whose_session_is_gone)
{
    auto stop = at_step(stop_step::closing_peers);
    const auto now = begin_time + milliseconds(700);
    stop.advance(now, {.peer_calls = 1});
    EXPECT_EQ(stop.step(), stop_step::closing_peers);
}

TEST(stop_sequence, takes_one_step_for_each_count)
{
    auto stop = stop_sequence::begin(times_of_two_seconds(), begin_time);
    const auto late = begin_time + milliseconds(1700);
    stop.advance(late, {});
    EXPECT_EQ(stop.step(), stop_step::leaving);
    stop.advance(late, {});
    EXPECT_EQ(stop.step(), stop_step::finishing_calls);
    stop.advance(late, {});
    EXPECT_EQ(stop.step(), stop_step::closing_callers);
}

} // namespace
} // namespace nutmegusher::node
