#include "nutmegusher/control/configuration_store.hpp"
#include "nutmegusher/control/withdrawal_table.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

messages::upstream_withdrawal withdrawal(
    const std::string& host,
    const std::string& upstream,
    std::uint64_t started = 1000)
{
    messages::upstream_withdrawal made;
    made.set_host(host);
    made.set_upstream(upstream);
    made.set_started(started);
    return made;
}

messages::log_entry entry_of(const messages::upstream_withdrawal& withdrawal)
{
    messages::log_entry entry;
    *entry.mutable_withdrawal() = withdrawal;
    return entry;
}

TEST(withdrawal_table, lists_the_withdrawals_of_a_host_oldest_first)
{
    withdrawal_table table;
    EXPECT_TRUE(table.add(withdrawal("h1", "a")));
    EXPECT_TRUE(table.add(withdrawal("h2", "b")));
    EXPECT_TRUE(table.add(withdrawal("h1", "a", 2000)));
    const auto listed = table.of_host("h1");
    ASSERT_EQ(listed.size(), 2U);
    EXPECT_EQ(listed[0].started(), 1000U);
    EXPECT_EQ(listed[1].started(), 2000U);
    EXPECT_TRUE(table.of_host("h3").empty());
}

TEST(withdrawal_table, holds_each_lifetime_once)
{
    withdrawal_table table;
    EXPECT_TRUE(table.add(withdrawal("h1", "a")));
    EXPECT_FALSE(table.add(withdrawal("h1", "a")));
    EXPECT_EQ(table.all().size(), 1U);
}

TEST(withdrawal_table, removes_the_oldest_beyond_its_limit)
{
    withdrawal_table table(2);
    table.add(withdrawal("h1", "a"));
    table.add(withdrawal("h2", "b"));
    table.add(withdrawal("h1", "c"));
    EXPECT_FALSE(table.contains(withdrawal("h1", "a")));
    EXPECT_EQ(table.of_host("h1").size(), 1U);
    EXPECT_EQ(table.of_host("h2").size(), 1U);
    table.add(withdrawal("h3", "d"));
    EXPECT_TRUE(table.of_host("h2").empty());
}

// Guards against a withdrawal that is lost when a control host starts from a
// snapshot, and against one that daemons take for a change of configuration.
TEST(withdrawal_table, of_a_configuration_store_is_in_its_snapshot)
{
    configuration_store store;
    const auto entry = entry_of(withdrawal("h1", "a"));
    EXPECT_EQ(store.apply(entry).verdict(), messages::change_accepted);
    EXPECT_EQ(store.apply(entry).verdict(), messages::change_accepted);
    EXPECT_EQ(store.revision(), revision());
    EXPECT_TRUE(store.history().empty());
    const auto restored = configuration_store::restore(store.snapshot());
    ASSERT_TRUE(restored);
    EXPECT_EQ(restored->withdrawals().all().size(), 1U);
    EXPECT_TRUE(restored->withdrawals().contains(withdrawal("h1", "a")));
}

TEST(withdrawal_table, of_a_configuration_store_needs_a_host_and_an_upstream)
{
    configuration_store store;
    EXPECT_EQ(
        store.apply(entry_of(withdrawal("", "a"))).verdict(),
        messages::change_invalid);
    EXPECT_EQ(
        store.apply(entry_of(withdrawal("h1", ""))).verdict(),
        messages::change_invalid);
    EXPECT_TRUE(store.withdrawals().all().empty());
}

} // namespace
} // namespace nutmegusher
