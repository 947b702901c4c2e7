// The daemon of an overloaded upstream doesn't run for a while: input that
// accumulated in its sockets arrives at once, and the calls in flight seem to
// have taken long.
#include "nutmegusher/policy/policy.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <vector>

namespace nutmegusher
{
namespace
{

using std::chrono::milliseconds;

constexpr std::size_t slots = 4;
constexpr duration service_time = milliseconds(10);
constexpr duration time_limit = milliseconds(1000);
constexpr std::uint8_t payout_rank = 0;
constexpr std::uint8_t view_rank = 3;
constexpr std::uint8_t statement_rank = 7;

// Simulates calls of three ranks at 2.4 times the upstream's capacity, and the
// upstream's slots, in steps of a millisecond.
class paused_daemon : public testing::Test
{
protected:
    void simulate(duration length)
    {
        for (const auto until = clock_.now() + length; clock_.now() < until;)
        {
            clock_.advance(milliseconds(1));
            offer(1);
            handle();
        }
    }

    // The upstream and the callers continue; the daemon doesn't run.
    void pause(duration length)
    {
        for (const auto until = clock_.now() + length; clock_.now() < until;)
        {
            clock_.advance(milliseconds(1));
            offer(1);
        }
        controller_.on_pause(clock_.now());
        handle();
    }

    [[nodiscard]] double refused_share(std::uint8_t rank)
    {
        return static_cast<double>(refused_[rank]) /
               static_cast<double>(offered_[rank]);
    }

private:
    void offer(double milliseconds_passed)
    {
        const std::map<std::uint8_t, double> per_second{
            {payout_rank, 75}, {view_rank, 150}, {statement_rank, 750}};
        for (const auto& [rank, rate] : per_second)
        {
            due_[rank] += rate * milliseconds_passed / 1000;
            for (; due_[rank] >= 1; due_[rank] -= 1)
            {
                arriving_.push_back(rank);
            }
        }
    }

    // Handles ends first, as sockets deliver them, then arrivals, then the
    // tick.
    void handle()
    {
        while (!in_upstream_.empty() &&
               in_upstream_.begin()->first <= clock_.now())
        {
            const auto ticket = in_upstream_.begin()->second;
            in_upstream_.erase(in_upstream_.begin());
            apply(controller_.finish(ticket, call_result::ok, clock_.now()));
        }
        while (!arriving_.empty())
        {
            arrive(arriving_.front());
            arriving_.pop_front();
        }
        apply(controller_.tick(clock_.now()));
    }

    void arrive(std::uint8_t rank)
    {
        call_info call;
        call.ticket = ticket_id(++last_ticket_);
        call.rank = rank;
        call.customer = last_ticket_ % 50;
        call.work_class = rank;
        call.deadline = clock_.now() + time_limit;
        call.target = time_limit;
        ranks_[call.ticket] = rank;
        ++offered_[rank];
        const auto at = controller_.arrive(call, clock_.now());
        const auto verdict = at.verdict;
        apply(at.outcomes);
        if (std::holds_alternative<admitted>(verdict))
        {
            run(call.ticket);
        }
        refused_[rank] += std::holds_alternative<refused>(verdict) ? 1 : 0;
    }

    void apply(std::span<const queue_outcome> outcomes)
    {
        const std::vector<queue_outcome> all(outcomes.begin(), outcomes.end());
        for (const auto& each : all)
        {
            if (std::holds_alternative<admitted>(each.verdict))
            {
                run(each.ticket);
                continue;
            }
            ++refused_[ranks_.at(each.ticket)];
        }
    }

    // Calls beyond the number of slots wait in the upstream.
    void run(ticket_id ticket)
    {
        auto free_at = clock_.now();
        if (in_upstream_.size() >= slots)
        {
            auto last = in_upstream_.rbegin();
            std::advance(last, slots - 1);
            free_at = std::max(free_at, last->first);
        }
        in_upstream_.emplace(free_at + service_time, ticket);
    }

    manual_clock clock_;
    admission_controller controller_{1};
    std::uint64_t last_ticket_ = 0;
    std::map<std::uint8_t, double> due_;
    std::deque<std::uint8_t> arriving_;
    std::multimap<time_point, ticket_id> in_upstream_;
    std::map<ticket_id, std::uint8_t> ranks_;
    std::map<std::uint8_t, int> offered_;
    std::map<std::uint8_t, int> refused_;
};

// Guards against attributing a pause of the daemon (0.6 s here) to the
// upstream: the limit was reduced, the queue appeared to drain at a tenth of
// its speed, and payouts were refused for a predicted wait that was wrong.
TEST_F(paused_daemon, refuses_the_first_rank_last)
{
    simulate(milliseconds(2000));
    pause(milliseconds(600));
    simulate(milliseconds(1500));
    EXPECT_LT(refused_share(payout_rank), 0.01);
    EXPECT_LT(refused_share(payout_rank), refused_share(view_rank));
    EXPECT_LT(refused_share(view_rank), refused_share(statement_rank));
}

} // namespace
} // namespace nutmegusher
