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
    upstream_report said;
    said.id = id;
    said.service = service_name("balances");
    said.address = {boost::asio::ip::make_address("127.0.0.1"), 80};
    said.slots = 14;
    said.order = {started, count};
    said.leaving = leaving;
    return said;
}

bool took(report_effect effect)
{
    return effect != report_effect::none;
}

TEST(local_upstream, a_late_report_does_not_take_a_leaving_one_back)
{
    local_upstream local;
    EXPECT_TRUE(took(local.report(report("a", 3))));
    EXPECT_TRUE(took(local.report(report("a", 5, true))));
    EXPECT_FALSE(took(local.report(report("a", 4))));
    EXPECT_FALSE(local.takes_calls());
}

TEST(local_upstream, a_withdrawn_one_stays_withdrawn)
{
    local_upstream local;
    local.report(report("a", 3));
    EXPECT_TRUE(local.withdraw("a"));
    EXPECT_FALSE(took(local.report(report("a", 9))));
    EXPECT_FALSE(local.takes_calls());
}

TEST(local_upstream, the_report_of_an_earlier_start_does_not_come_back)
{
    local_upstream local;
    local.report(report("a", 7));
    local.report(report("b", 1));
    EXPECT_FALSE(took(local.report(report("a", 6))));
    EXPECT_EQ(local.current()->id, "b");
    // It does if it is there after all.
    EXPECT_TRUE(took(local.report(report("a", 8))));
    EXPECT_EQ(local.current()->id, "a");
}

TEST(local_upstream, one_that_takes_no_connection_gets_calls_after_its_report)
{
    local_upstream local;
    local.report(report("a", 1));
    EXPECT_TRUE(local.unreachable("a"));
    EXPECT_FALSE(local.unreachable("a"));
    EXPECT_FALSE(local.takes_calls());
    EXPECT_TRUE(took(local.report(report("a", 2))));
    EXPECT_TRUE(local.takes_calls());
}

// The count begins anew with each start.
TEST(local_upstream, a_later_start_under_the_same_id_goes_before_a_higher_count)
{
    local_upstream local;
    local.report(report("a", 40));
    EXPECT_EQ(
        local.report(report("a", 1, false, 2000)), report_effect::started);
    EXPECT_EQ(local.current()->order, (report_order{2000, 1}));
    EXPECT_FALSE(took(local.report(report("a", 41)))) << "the earlier start";
    EXPECT_FALSE(took(local.report(report("a", 41, true)))) << "it leaves";
    EXPECT_TRUE(local.takes_calls());
    EXPECT_EQ(local.current()->order, (report_order{2000, 1}));
}

TEST(local_upstream, what_the_earlier_start_said_of_leaving_is_void)
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
    EXPECT_TRUE(local.withdraw("a")) << "which start isn't told";
    EXPECT_FALSE(local.takes_calls());
}

TEST(local_upstream, another_service_at_the_same_id_is_a_change)
{
    local_upstream local;
    local.report(report("a", 1));
    auto said = report("a", 2);
    EXPECT_EQ(local.report(said), report_effect::none);
    said = report("a", 3);
    said.service = service_name("statements");
    EXPECT_EQ(local.report(said), report_effect::changed);
}

} // namespace
} // namespace nutmegusher::routed
