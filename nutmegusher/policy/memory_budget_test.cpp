#include "nutmegusher/base/base.hpp"
#include "nutmegusher/policy/memory_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace nutmegusher
{
namespace
{

constexpr std::uint64_t kib = 1024;
constexpr std::uint64_t mib = 1024 * kib;
constexpr std::uint64_t capacity = 8 * mib;
constexpr std::uint64_t block = 64 * kib;

class memory_budget_test : public ::testing::Test
{
protected:
    // Takes memory block by block; returns false when a block isn't granted.
    bool fill(memory_holder id, std::uint64_t bytes)
    {
        for (std::uint64_t taken = 0; taken < bytes; taken += block)
        {
            if (!take(id, block).granted)
            {
                return false;
            }
        }
        return true;
    }

    memory_decision take(memory_holder id, std::uint64_t bytes)
    {
        return budget.take(id, bytes, clock.now());
    }

    memory_holder open(std::uint64_t bytes = 0)
    {
        const auto id = budget.open(clock.now());
        EXPECT_TRUE(fill(id, bytes));
        return id;
    }

    manual_clock clock;
    memory_budget budget{capacity};
};

TEST_F(memory_budget_test, one_holder_gets_its_largest_share)
{
    const auto only = open();
    EXPECT_TRUE(fill(only, budget.largest_share()));
    EXPECT_FALSE(take(only, block).granted);
    EXPECT_EQ(budget.held(), 7 * mib);
}

TEST_F(memory_budget_test, closing_gives_back)
{
    const auto first = open(4 * mib);
    budget.give_back(first, mib);
    EXPECT_EQ(budget.held(), 3 * mib);
    budget.close(first);
    EXPECT_EQ(budget.held(), 0U);
}

TEST_F(memory_budget_test, refuses_the_one_that_has_more_than_its_share)
{
    const auto first = open(4 * mib);
    const auto second = open(3 * mib);
    const auto decision = take(first, block);
    EXPECT_FALSE(decision.granted);
    EXPECT_TRUE(decision.evicted.empty());
    budget.close(second);
    EXPECT_TRUE(take(first, block).granted);
}

TEST_F(memory_budget_test, a_small_holder_is_served_beside_large_ones)
{
    open(4 * mib);
    open(3 * mib);
    const auto small = open(block);
    EXPECT_EQ(budget.held(), 7 * mib + block);
    EXPECT_FALSE(take(small, 3 * mib).granted);
}

TEST_F(memory_budget_test, evicts_the_largest_for_one_below_its_share)
{
    const auto large = open(5 * mib);
    open(2 * mib);
    const auto third = open();
    const auto decision = take(third, mib);
    EXPECT_TRUE(decision.granted);
    EXPECT_EQ(decision.evicted, std::vector{large});
    EXPECT_FALSE(take(large, block).granted);
}

TEST_F(memory_budget_test, evicts_the_longest_stalled_first)
{
    const auto first = open(3 * mib);
    clock.advance(std::chrono::milliseconds(10));
    open(3 * mib);
    clock.advance(memory_budget::stall_time);
    const auto newcomer = open();
    const auto decision = take(newcomer, 2 * mib);
    EXPECT_TRUE(decision.granted);
    EXPECT_EQ(decision.evicted, std::vector{first});
}

TEST_F(memory_budget_test, a_holder_that_moves_is_not_stalled)
{
    const auto moving = open(5 * mib);
    const auto stalled = open(mib);
    clock.advance(memory_budget::stall_time);
    EXPECT_TRUE(take(moving, block).granted);
    const auto newcomer = open();
    const auto decision = take(newcomer, mib);
    EXPECT_TRUE(decision.granted);
    EXPECT_EQ(decision.evicted, std::vector{stalled});
}

TEST_F(memory_budget_test, evicts_requests_before_answers)
{
    const auto answer = open(3 * mib);
    budget.set_use(answer, memory_use::unread, clock.now());
    clock.advance(std::chrono::milliseconds(10));
    const auto request = open(3 * mib);
    clock.advance(memory_budget::stall_time);
    const auto newcomer = open();
    const auto decision = take(newcomer, 5 * mib);
    EXPECT_TRUE(decision.granted);
    EXPECT_EQ(decision.evicted, (std::vector{request, answer}));
}

TEST_F(memory_budget_test, never_evicts_what_is_in_use)
{
    const auto running = open(7 * mib);
    budget.set_use(running, memory_use::in_use, clock.now());
    clock.advance(10 * memory_budget::stall_time);
    const auto newcomer = open();
    const auto decision = take(newcomer, mib);
    EXPECT_FALSE(decision.granted);
    EXPECT_TRUE(decision.evicted.empty());
}

// Replays the load that the budget is for: waves of callers that stop just
// short of their end, and an ordinary caller with a body of a few blocks after
// each wave.
TEST_F(memory_budget_test, stalled_callers_keep_nobody_out)
{
    constexpr int waves = 20;
    constexpr int callers = 64;
    for (int wave = 0; wave < waves; ++wave)
    {
        for (int i = 0; i < callers; ++i)
        {
            fill(budget.open(clock.now()), 2 * mib);
            EXPECT_LE(budget.held(), capacity);
        }
        clock.advance(memory_budget::stall_time);
        const auto ordinary = budget.open(clock.now());
        EXPECT_TRUE(fill(ordinary, 6 * block)) << "wave " << wave;
        budget.close(ordinary);
    }
}

// Whatever holders do, what is held stays within the capacity and is what the
// holders were granted.
RC_GTEST_PROP(memory_budget_property, accounts_for_every_byte, ())
{
    memory_budget budget(capacity);
    manual_clock clock;
    std::map<memory_holder, std::uint64_t> granted;
    const auto steps = *rc::gen::inRange(1, 300);
    for (int step = 0; step < steps; ++step)
    {
        clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
        const auto action = *rc::gen::inRange(0, 10);
        if (granted.empty() || action < 2)
        {
            granted[budget.open(clock.now())] = 0;
            continue;
        }
        const auto which = *rc::gen::inRange<std::size_t>(0, granted.size());
        const auto chosen =
            std::next(granted.begin(), static_cast<std::ptrdiff_t>(which));
        const auto id = chosen->first;
        if (action == 2)
        {
            budget.close(id);
            granted.erase(chosen);
        }
        else if (action == 3)
        {
            const auto use = *rc::gen::element(
                memory_use::arriving, memory_use::in_use, memory_use::unread);
            budget.set_use(id, use, clock.now());
        }
        else
        {
            const auto bytes = *rc::gen::inRange<std::uint64_t>(1, 2 * mib);
            const auto decision = budget.take(id, bytes, clock.now());
            for (const auto each : decision.evicted)
            {
                granted[each] = 0;
            }
            granted[id] += decision.granted ? bytes : 0;
        }
        std::uint64_t sum = 0;
        for (const auto& [each, bytes] : granted)
        {
            sum += bytes;
        }
        RC_ASSERT(budget.held() == sum);
        RC_ASSERT(budget.held() <= capacity);
    }
}

} // namespace
} // namespace nutmegusher
