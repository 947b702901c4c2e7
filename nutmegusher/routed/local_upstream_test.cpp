#include "nutmegusher/routed/local_upstream.hpp"

#include <gtest/gtest.h>

#include <array>
#include <vector>

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

// Guards against an upstream that comes back after its leaving was
// acknowledged.
TEST(local_upstream, leaving_holds_against_newer_reports_of_the_same_start)
{
    local_upstream local;
    local.report(report("a", 3));
    EXPECT_TRUE(is_accepted(local.report(report("a", 5, true))));
    EXPECT_FALSE(is_accepted(local.report(report("a", 6))));
    EXPECT_FALSE(local.takes_calls());
    EXPECT_TRUE(is_accepted(local.report(report("a", 1, false, 2000))));
    EXPECT_TRUE(local.takes_calls());
}

TEST(local_upstream, a_report_of_leaving_that_comes_late_holds)
{
    local_upstream local;
    local.report(report("a", 5));
    EXPECT_TRUE(is_accepted(local.report(report("a", 4, true))));
    EXPECT_FALSE(local.takes_calls());
    EXPECT_EQ(local.withdrawn_start("a", 1000), 1000U);
}

TEST(local_upstream, a_withdrawal_of_a_start_that_never_reported_holds)
{
    local_upstream local;
    local.withdraw("a", 1000);
    EXPECT_FALSE(is_accepted(local.report(report("a", 9))));
    EXPECT_EQ(
        local.report(report("a", 1, false, 2000)), report_effect::started);
    EXPECT_TRUE(local.takes_calls());
}

// Guards against a process that starts and believes a report although an
// earlier process of its host has acknowledged that its sender leaves.
TEST(local_upstream, takes_calls_only_once_withdrawals_are_known)
{
    local_upstream local;
    local.await_withdrawals();
    local.report(report("a", 3));
    EXPECT_FALSE(local.takes_calls());
    local.restore_withdrawals({});
    EXPECT_TRUE(local.takes_calls());
}

TEST(local_upstream, restored_withdrawals_hold_before_and_after_a_report)
{
    using withdrawn_upstream = local_upstream::withdrawn_upstream;
    const std::array<withdrawn_upstream, 2> withdrawn{{{"a", 1000}, {"b", 0}}};
    local_upstream local;
    local.await_withdrawals();
    local.report(report("a", 3));
    local.restore_withdrawals(withdrawn);
    EXPECT_FALSE(local.takes_calls());
    EXPECT_FALSE(is_accepted(local.report(report("a", 4))));
    EXPECT_FALSE(is_accepted(local.report(report("b", 4))))
        << "withdrawn at all starts";
    EXPECT_TRUE(is_accepted(local.report(report("c", 1))));
    EXPECT_TRUE(local.takes_calls());
    EXPECT_TRUE(is_accepted(local.report(report("a", 1, false, 2000))));
    EXPECT_TRUE(local.takes_calls());
}

// Guards against a long list that displaces what this process was told.
TEST(local_upstream, restored_withdrawals_leave_room_for_the_present_upstream)
{
    std::vector<local_upstream::withdrawn_upstream> withdrawn;
    constexpr int many = 200;
    withdrawn.reserve(many);
    for (int n = 0; n < many; ++n)
    {
        withdrawn.push_back({"old-" + std::to_string(n), 1000});
    }
    local_upstream local;
    local.await_withdrawals();
    local.report(report("a", 5));
    local.restore_withdrawals(withdrawn);
    auto late = report("a", 4);
    ++late.slots;
    EXPECT_FALSE(is_accepted(local.report(late)));
    EXPECT_FALSE(is_accepted(local.report(report("old-199", 9))));
    EXPECT_TRUE(local.takes_calls());
}

TEST(local_upstream, a_restored_withdrawal_of_an_earlier_start_is_ignored)
{
    using withdrawn_upstream = local_upstream::withdrawn_upstream;
    const std::array<withdrawn_upstream, 1> withdrawn{{{"a", 1000}}};
    local_upstream local;
    local.await_withdrawals();
    local.report(report("a", 1, false, 2000));
    local.restore_withdrawals(withdrawn);
    EXPECT_TRUE(local.takes_calls());
    EXPECT_EQ(local.withdrawn_start("a", 1000), std::nullopt);
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
