// Calls at daemons that are shutting down. What isn't passed on in time for its
// own limit is refused unrun.
#include "nutmegusher/node/test_deployment.hpp"

#include <gtest/gtest.h>

#include <atomic>

namespace nutmegusher::node::test
{
namespace
{

using std::chrono::milliseconds;

class stopping_native_path : public ::testing::Test
{
protected:
    stopping_native_path()
        : entry_node("entry")
        , upstream_node("beside")
    {
        for (auto* node : {&entry_node, &upstream_node})
        {
            declare(*node, make_class("views", "balances", true));
            declare(*node, make_class("payouts", "disbursement", false));
            node->shared.claims.update({}, {claims.address()});
        }
        for (const std::string service : {"balances", "disbursement"})
        {
            route_to(entry_node, service, {{"beside", upstream_node.peers()}});
        }
    }

    void serve(const std::string& service)
    {
        upstream = std::make_unique<fake_upstream>(
            [this](caller_exchange& exchange) -> asio::awaitable<void>
            {
                ++runs;
                wire::response_head head{200, {}};
                co_await exchange.answer(std::move(head), "done");
            });
        announcement announced;
        announced.service = service_name(service);
        announced.address = upstream->address();
        upstream_node.shared.upstream.announce(announced, host_clock().now());
        entry_node.start();
        upstream_node.start();
    }

    // The node gives up before a call that comes now reaches its limit.
    static void begin_bounded_stop(test_node& node)
    {
        const auto now = host_clock().now();
        node.shared.drain.begin(now, now + milliseconds(1));
    }

    static client_answer view(const endpoint& at)
    {
        return request(
            at, "GET", "/balances/all", {{"nutmeg-timeout-ms", "60000"}});
    }

    static client_answer pay(const endpoint& at)
    {
        return request(
            at,
            "POST",
            "/disbursement/pay",
            {{"nutmeg-customer", "zakat"},
             {"idempotency-key", "k"},
             {"nutmeg-timeout-ms", "60000"}},
            "7");
    }

    void expect_not_run(const client_answer& answer) const
    {
        EXPECT_EQ(answer.status, 503U);
        EXPECT_EQ(answer.field("nutmeg-outcome"), "not-run");
        EXPECT_EQ(answer.field("nutmeg-reason"), "leaving");
        EXPECT_EQ(runs, 0);
    }

    std::atomic<int> runs = 0;
    fake_claim_log claims;
    std::unique_ptr<fake_upstream> upstream;
    test_node entry_node;
    test_node upstream_node;
};

// Guards against a daemon that takes a call late in its shutdown and then
// answers it while the upstream is at work.
TEST_F(stopping_native_path, refuses_a_callers_call_that_may_outlast_the_stop)
{
    serve("balances");
    begin_bounded_stop(entry_node);
    expect_not_run(view(entry_node.callers()));
}

TEST_F(stopping_native_path, refuses_a_payout_that_may_outlast_the_stop)
{
    serve("disbursement");
    begin_bounded_stop(entry_node);
    expect_not_run(pay(entry_node.callers()));
}

TEST_F(stopping_native_path, refuses_a_sub_call_that_may_outlast_the_stop)
{
    serve("balances");
    begin_bounded_stop(entry_node);
    expect_not_run(view(entry_node.upstream_side()));
}

// The entry hasn't heard that the daemon beside the upstream stops.
TEST_F(stopping_native_path, refuses_a_peers_call_that_may_outlast_the_stop)
{
    serve("balances");
    begin_bounded_stop(upstream_node);
    expect_not_run(view(entry_node.callers()));
}

// No claim is made for it, so that its key can be used again.
TEST_F(stopping_native_path, refuses_a_peers_payout_without_a_claim)
{
    serve("disbursement");
    begin_bounded_stop(upstream_node);
    expect_not_run(pay(entry_node.callers()));
    EXPECT_NE(
        upstream_node.shared.decisions.exposition().find(
            "requests_outlasting_stop_total{side=\"upstream\"}"),
        std::string::npos);
}

TEST_F(stopping_native_path, serves_a_call_that_ends_before_the_stop)
{
    serve("balances");
    const auto now = host_clock().now();
    for (auto* node : {&entry_node, &upstream_node})
    {
        node->shared.drain.begin(now, now + std::chrono::minutes(2));
    }
    EXPECT_EQ(view(entry_node.callers()).status, 200U);
    EXPECT_EQ(runs, 1);
}

} // namespace
} // namespace nutmegusher::node::test
