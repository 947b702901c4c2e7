#include "nutmegusher/node/growing_body.hpp"
#include "nutmegusher/node/memory_account.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::node
{
namespace
{

constexpr std::uint64_t kib = 1024;
constexpr std::uint64_t mib = 1024 * kib;

class counted_owner final : public evictable
{
public:
    [[nodiscard]] std::function<void()> make_ender() override
    {
        return [this]
        {
            ++ended;
        };
    }

    int ended = 0;
};

class memory_account_test : public ::testing::Test
{
protected:
    [[nodiscard]] std::int64_t value(std::string_view name) const
    {
        return static_cast<std::int64_t>(
            account.dump().at(name).to_number<std::uint64_t>());
    }

    memory_account account{
        "requests",
        []
        {
            return mib;
        }};
    counted_owner owner;
};

TEST_F(memory_account_test, counts_nothing_for_a_small_request)
{
    held_memory memory(account, owner);
    EXPECT_TRUE(memory.take(held_memory::free_bytes));
    EXPECT_EQ(value("held"), 0);
    EXPECT_TRUE(memory.take(1));
    EXPECT_EQ(value("held"), held_memory::free_bytes + 1);
}

TEST_F(memory_account_test, gives_back_on_destruction)
{
    {
        held_memory memory(account, owner);
        EXPECT_TRUE(memory.take(100 * kib));
        held_memory moved = std::move(memory);
        EXPECT_EQ(value("held"), 100 * kib);
    }
    EXPECT_EQ(value("held"), 0);
    EXPECT_EQ(value("most_held"), 100 * kib);
}

TEST_F(memory_account_test, ends_the_owner_that_gives_way)
{
    held_memory large(account, owner);
    EXPECT_TRUE(large.take(800 * kib));
    counted_owner second;
    held_memory small(account, second);
    EXPECT_TRUE(small.take(200 * kib));
    EXPECT_EQ(owner.ended, 1);
    EXPECT_EQ(second.ended, 0);
    EXPECT_FALSE(large.take(1));
    EXPECT_EQ(value("evicted"), 1);
    EXPECT_EQ(value("refused"), 1);
    const auto text = account.exposition();
    EXPECT_NE(
        text.find("nutmegusher_memory_evicted_total{account=\"requests\"} 1\n"),
        std::string::npos)
        << text;
}

TEST_F(memory_account_test, ends_nobody_who_has_arrived)
{
    held_memory large(account, owner);
    EXPECT_TRUE(large.take(800 * kib));
    large.finish_arriving();
    counted_owner second;
    held_memory small(account, second);
    EXPECT_FALSE(small.take(200 * kib));
    EXPECT_EQ(owner.ended, 0);
}

TEST_F(memory_account_test, keeps_a_growing_body_whole)
{
    constexpr std::size_t part = 1000;
    constexpr std::size_t total = 300 * part;
    held_memory memory(account);
    body_blocks body;
    growing_body growing(body, memory, total);
    std::string expected;
    while (!growing.is_full())
    {
        const auto room = growing.room();
        ASSERT_FALSE(room.empty());
        const auto size = std::min(room.size(), part);
        for (std::size_t i = 0; i < size; ++i)
        {
            expected += static_cast<char>('a' + expected.size() % 26);
            room[i] = static_cast<std::byte>(expected.back());
        }
        growing.commit(size);
    }
    EXPECT_EQ(body.size(), total);
    EXPECT_EQ(value("held"), total);
    const auto text = join(std::move(body), memory);
    EXPECT_TRUE(text == expected);
    EXPECT_EQ(value("held"), total);
    EXPECT_EQ(value("most_held"), 2 * total);
}

TEST_F(memory_account_test, a_body_ends_where_memory_does)
{
    held_memory memory(account);
    body_blocks body;
    growing_body growing(body, memory, 4 * mib);
    while (!growing.room().empty())
    {
        growing.commit(growing.room().size());
    }
    EXPECT_FALSE(growing.is_full());
    EXPECT_EQ(value("held"), account.largest_share());
    EXPECT_FALSE(join(std::move(body), memory).has_value());
}

TEST(request_memory, follows_from_the_machine_and_the_largest_body)
{
    limit_settings limits;
    limits.connections = 3000;
    limits.memory_mb = 260;
    EXPECT_EQ(request_memory_for(limits, 64 * mib), 128 * mib);
    EXPECT_EQ(request_memory_for(limits, 0), 128 * mib);
    EXPECT_EQ(request_memory_for(limits, 2 * mib), 4 * mib);
    limits.memory_mb = 120;
    EXPECT_EQ(
        request_memory_for(limits, 64 * mib),
        120'000'000 - 48 * mib - 3000 * 16 * kib);
    limits.memory_mb = 64;
    EXPECT_EQ(request_memory_for(limits, 64 * mib), 8'000'000U);
}

} // namespace
} // namespace nutmegusher::node
