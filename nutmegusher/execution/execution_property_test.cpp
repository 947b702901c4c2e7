// Checks random simulations against a simple oracle: a key executes at most
// once, and a call that was reported as not run has not run and never does.
//
// With one mechanism disabled the same simulations violate the oracle. That
// shows that they reach the failures that the mechanism prevents.
#include "nutmegusher/execution/execution.hpp"
#include "nutmegusher/execution/execution_simulation_test.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegusher
{
namespace
{

using execution_simulation::fault;
using execution_simulation::simulation;

constexpr int steps = 200;

RC_GTEST_PROP(execution_property, runs_at_most_once_and_not_run_is_true, ())
{
    simulation simulated(
        fault::none,
        [](unsigned bound)
        {
            return *rc::gen::inRange(0U, bound);
        });
    for (int step = 0; step < steps; ++step)
    {
        simulated.step();
        const auto problem = simulated.violation();
        if (problem)
        {
            RC_FAIL(*problem);
        }
    }
}

struct simulation_counts
{
    int violated = 0;
    std::size_t executed = 0;
};

simulation_counts simulate(fault injected, int seeds)
{
    simulation_counts out;
    for (int seed = 0; seed < seeds; ++seed)
    {
        random_engine engine(static_cast<std::uint64_t>(seed));
        simulation simulated(
            injected,
            [&engine](unsigned bound)
            {
                return static_cast<unsigned>(uniform_below(engine, bound));
            });
        for (int step = 0; step < steps; ++step)
        {
            simulated.step();
        }
        out.violated += simulated.violation() ? 1 : 0;
        out.executed += simulated.executed();
    }
    ::testing::Test::RecordProperty("violated", out.violated);
    ::testing::Test::RecordProperty("executed", static_cast<int>(out.executed));
    return out;
}

constexpr int seed_count = 1000;

TEST(execution_oracle, finds_no_violation_while_calls_execute)
{
    const auto result = simulate(fault::none, seed_count);
    EXPECT_EQ(result.violated, 0);
    EXPECT_GT(result.executed, static_cast<std::size_t>(seed_count) / 2);
}

TEST(execution_oracle, detects_fences_that_are_not_recorded)
{
    EXPECT_GT(simulate(fault::fence_ignored, seed_count).violated, 0);
}

TEST(execution_oracle, detects_claims_that_expire)
{
    EXPECT_GT(simulate(fault::claim_expires, seed_count).violated, 0);
}

TEST(execution_oracle, detects_a_lost_reply_that_counts_as_a_grant)
{
    EXPECT_GT(simulate(fault::start_without_answer, seed_count).violated, 0);
}

TEST(execution_oracle, detects_copies_of_an_attempt_that_share_a_claim)
{
    EXPECT_GT(simulate(fault::copies_share_claim, seed_count).violated, 0);
}

} // namespace
} // namespace nutmegusher
