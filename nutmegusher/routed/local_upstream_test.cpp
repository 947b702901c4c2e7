#include "nutmegusher/routed/local_upstream.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::routed
{
namespace
{

upstream_report
report(const std::string& id, std::uint64_t sequence, bool leaving = false)
{
    upstream_report said;
    said.id = id;
    said.service = service_name("balances");
    said.address = {boost::asio::ip::make_address("127.0.0.1"), 80};
    said.slots = 14;
    said.sequence = sequence;
    said.leaving = leaving;
    return said;
}

TEST(local_upstream, a_late_report_does_not_take_a_leaving_one_back)
{
    local_upstream local;
    EXPECT_TRUE(local.report(report("a", 3)));
    EXPECT_TRUE(local.report(report("a", 5, true)));
    EXPECT_FALSE(local.report(report("a", 4)));
    EXPECT_FALSE(local.takes_calls());
}

TEST(local_upstream, a_withdrawn_one_stays_withdrawn)
{
    local_upstream local;
    local.report(report("a", 3));
    EXPECT_TRUE(local.withdraw("a"));
    EXPECT_FALSE(local.report(report("a", 9)));
    EXPECT_FALSE(local.takes_calls());
}

TEST(local_upstream, the_report_of_an_earlier_start_does_not_come_back)
{
    local_upstream local;
    local.report(report("a", 7));
    local.report(report("b", 1));
    EXPECT_FALSE(local.report(report("a", 6)));
    EXPECT_EQ(local.current()->id, "b");
    // It does if it is there after all.
    EXPECT_TRUE(local.report(report("a", 8)));
    EXPECT_EQ(local.current()->id, "a");
}

TEST(local_upstream, one_that_takes_no_connection_gets_calls_after_its_report)
{
    local_upstream local;
    local.report(report("a", 1));
    EXPECT_TRUE(local.unreachable("a"));
    EXPECT_FALSE(local.unreachable("a"));
    EXPECT_FALSE(local.takes_calls());
    EXPECT_TRUE(local.report(report("a", 2)));
    EXPECT_TRUE(local.takes_calls());
}

} // namespace
} // namespace nutmegusher::routed
