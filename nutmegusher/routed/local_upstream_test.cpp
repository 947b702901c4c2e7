#include "nutmegusher/routed/local_upstream.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::routed
{
namespace
{

upstream_report report(
    const std::string& id,
    std::uint64_t count,
    bool leaving = false,
    std::uint64_t started = 1000)
{
    upstream_report new_report;
    new_report.id = id;
    new_report.service = service_name("balances");
    new_report.address = {boost::asio::ip::make_address("127.0.0.1"), 80};
    new_report.slots = 14;
    new_report.order = {started, count};
    new_report.leaving = leaving;
    return new_report;
}

bool is_accepted(report_effect effect)
{
    return effect != report_effect::none;
}

TEST(local_upstream, a_late_report_does_not_undo_leaving)
{
    local_upstream local;
    EXPECT_TRUE(is_accepted(local.report(report("a", 3))));
    EXPECT_TRUE(is_accepted(local.report(report("a", 5, true))));
    EXPECT_FALSE(is_accepted(local.report(report("a", 4))));
    EXPECT_FALSE(local.takes_calls());
}

TEST(local_upstream, a_withdrawn_upstream_stays_withdrawn)
{
    local_upstream local;
    local.report(report("a", 3));
    EXPECT_TRUE(local.withdraw("a"));
    EXPECT_FALSE(is_accepted(local.report(report("a", 9))));
    EXPECT_FALSE(local.takes_calls());
}

TEST(local_upstream, a_late_report_of_a_replaced_upstream_is_ignored)
{
    local_upstream local;
    local.report(report("a", 7));
    local.report(report("b", 1));
    EXPECT_FALSE(is_accepted(local.report(report("a", 6))));
    EXPECT_EQ(local.current()->id, "b");
    // A newer report of the replaced id makes it current again.
    EXPECT_TRUE(is_accepted(local.report(report("a", 8))));
    EXPECT_EQ(local.current()->id, "a");
}

TEST(local_upstream, an_unreachable_upstream_gets_calls_after_its_next_report)
{
    local_upstream local;
    local.report(report("a", 1));
    EXPECT_TRUE(local.mark_unreachable("a"));
    EXPECT_FALSE(local.mark_unreachable("a"));
    EXPECT_FALSE(local.takes_calls());
    EXPECT_TRUE(is_accepted(local.report(report("a", 2))));
    EXPECT_TRUE(local.takes_calls());
}

// The count restarts with each start.
TEST(local_upstream, a_later_start_outranks_a_higher_count)
{
    local_upstream local;
    local.report(report("a", 40));
    EXPECT_EQ(
        local.report(report("a", 1, false, 2000)), report_effect::started);
    EXPECT_EQ(local.current()->order, (report_order{2000, 1}));
    EXPECT_FALSE(is_accepted(local.report(report("a", 41))))
        << "from the earlier start";
    EXPECT_FALSE(is_accepted(local.report(report("a", 41, true))))
        << "from the earlier start, leaving";
    EXPECT_TRUE(local.takes_calls());
    EXPECT_EQ(local.current()->order, (report_order{2000, 1}));
}

TEST(local_upstream, a_later_start_clears_leaving_and_withdrawal)
{
    local_upstream local;
    local.report(report("a", 3));
    local.report(report("a", 4, true));
    EXPECT_EQ(
        local.report(report("a", 1, false, 2000)), report_effect::started);
    EXPECT_TRUE(local.takes_calls());
    EXPECT_TRUE(local.withdraw("a", 2000));
    EXPECT_EQ(
        local.report(report("a", 1, false, 3000)), report_effect::started);
    EXPECT_TRUE(local.takes_calls());
}

TEST(local_upstream, a_late_withdrawal_of_the_earlier_start_changes_nothing)
{
    local_upstream local;
    local.report(report("a", 3));
    local.report(report("a", 1, false, 2000));
    EXPECT_FALSE(local.withdraw("a", 1000));
    EXPECT_TRUE(local.takes_calls());
    EXPECT_TRUE(local.withdraw("a")) << "without a start";
    EXPECT_FALSE(local.takes_calls());
}

TEST(local_upstream, another_service_at_the_same_id_is_a_change)
{
    local_upstream local;
    local.report(report("a", 1));
    auto new_report = report("a", 2);
    EXPECT_EQ(local.report(new_report), report_effect::none);
    new_report = report("a", 3);
    new_report.service = service_name("statements");
    EXPECT_EQ(local.report(new_report), report_effect::changed);
}

} // namespace
} // namespace nutmegusher::routed
