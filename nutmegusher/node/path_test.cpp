// End-to-end tests of calls over real sockets, from the caller through two
// daemons to an upstream and back.
#include "nutmegusher/node/scripted_upstream.hpp"
#include "nutmegusher/node/test_deployment.hpp"

#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <future>
#include <mutex>
#include <set>
#include <thread>

namespace nutmegusher::node::test
{
namespace
{

// Reads the complete body of a request.
asio::awaitable<std::string> body_of(caller_exchange& exchange)
{
    std::string text;
    std::array<std::byte, 4096> chunk;
    while (true)
    {
        const auto received = co_await exchange.read_some(chunk);
        if (!received || *received == 0)
        {
            co_return text;
        }
        text.append(reinterpret_cast<const char*>(chunk.data()), *received);
    }
}

asio::awaitable<void> echo(caller_exchange& exchange)
{
    const auto body = co_await body_of(exchange);
    wire::response_head head{200, {{"x-path", exchange.head().path}}};
    co_await exchange.answer(std::move(head), body);
}

// Fixture: the daemon where requests enter, the daemon beside the upstream, and
// a claim log.
class path : public ::testing::Test
{
protected:
    path()
        : entry_node("entry")
        , upstream_node("beside")
    {
        for (auto* node : {&entry_node, &upstream_node})
        {
            declare(*node, make_class("views", "balances", true));
            declare(*node, make_class("payouts", "disbursement", false));
            node->shared.claims.update({}, {claims.address()});
        }
        route_to(entry_node, "balances", {{"beside", upstream_node.peers()}});
        route_to(
            entry_node, "disbursement", {{"beside", upstream_node.peers()}});
    }

    void serve_with(http_handler handler, const std::string& service)
    {
        upstream = std::make_unique<fake_upstream>(std::move(handler));
        serve_at(upstream->address(), service);
    }

    void serve_at(const endpoint& address, const std::string& service)
    {
        announcement announced;
        announced.service = service_name(service);
        announced.address = address;
        upstream_node.shared.upstream.announce(announced, host_clock().now());
        entry_node.start();
        upstream_node.start();
    }

    client_answer pay(const std::string& key, const std::string& body = "7")
    {
        return request(
            entry_node.callers(),
            "POST",
            "/disbursement/pay",
            {{"nutmeg-customer", "zakat"}, {"idempotency-key", key}},
            body);
    }

    fake_claim_log claims;
    std::unique_ptr<fake_upstream> upstream;
    test_node entry_node;
    test_node upstream_node;
};

TEST_F(path, a_request_and_its_answer)
{
    serve_with(echo, "balances");
    const auto answer =
        request(entry_node.callers(), "POST", "/balances/all?x=1", {}, "hello");
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "hello");
    EXPECT_EQ(answer.field("x-path"), "/balances/all?x=1");
    EXPECT_EQ(answer.field("nutmeg-outcome"), "completed");
    EXPECT_EQ(answer.field("nutmeg-tries"), "1");
    EXPECT_TRUE(answer.is_complete);
}

TEST_F(path, malformed_requests_are_refused_with_a_reason)
{
    serve_with(echo, "balances");
    const auto address = entry_node.callers();
    EXPECT_EQ(request(address, "GET", "/nothing").status, 404U);
    const auto keyless = request(
        address, "POST", "/disbursement/pay", {{"nutmeg-customer", "zakat"}});
    EXPECT_EQ(keyless.status, 400U);
    EXPECT_EQ(keyless.field("nutmeg-reason"), "missing-key");
    EXPECT_EQ(keyless.field("nutmeg-outcome"), "not-run");
    const auto without_customer = request(
        address, "POST", "/disbursement/pay", {{"idempotency-key", "k"}});
    EXPECT_EQ(without_customer.field("nutmeg-reason"), "missing-customer");
    const auto bad_timeout = request(
        address, "GET", "/balances/all", {{"nutmeg-timeout-ms", "soon"}});
    EXPECT_EQ(bad_timeout.field("nutmeg-reason"), "bad-header");
}

// Guards against a call that ran and is reported as not run.
TEST_F(path, an_upstreams_field_is_not_taken_for_the_daemons)
{
    const auto answer_as_daemon =
        [](caller_exchange& exchange) -> asio::awaitable<void>
    {
        wire::response_head head{
            404, {{"nutmeg-outcome", "not-run"}, {"nutmeg-reason", "leaving"}}};
        co_await exchange.answer(std::move(head), "whole");
    };
    serve_with(answer_as_daemon, "balances");
    const auto answer = request(entry_node.callers(), "GET", "/balances/all");
    EXPECT_EQ(answer.status, 404U);
    EXPECT_EQ(answer.field("nutmeg-outcome"), "completed");
    EXPECT_EQ(answer.body, "whole");
}

TEST_F(path, an_upstreams_field_is_not_taken_for_the_outcome_of_a_payout)
{
    const auto answer_as_daemon =
        [](caller_exchange& exchange) -> asio::awaitable<void>
    {
        co_await body_of(exchange);
        wire::response_head head{
            200, {{"nutmeg-outcome", "not-run"}, {"nutmeg-reason", "leaving"}}};
        co_await exchange.answer(std::move(head), "whole");
    };
    serve_with(answer_as_daemon, "disbursement");
    const auto answer = pay("key-1");
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.field("nutmeg-outcome"), "completed");
    EXPECT_EQ(answer.body, "whole");
    EXPECT_EQ(pay("key-1").field("nutmeg-outcome"), "completed");
}

struct broken_answer_case
{
    const char* name;
    const char* bytes;
    connection_end end;
};

class broken_answer : public path,
                      public ::testing::WithParamInterface<broken_answer_case>
{
protected:
    void serve_broken_answer(const std::string& service)
    {
        broken_upstream = std::make_unique<scripted_upstream>(
            make_early_answer(GetParam().bytes, GetParam().end));
        serve_at(broken_upstream->address(), service);
    }

    static void expect_unknown(const client_answer& answer, unsigned status)
    {
        EXPECT_EQ(answer.status, status);
        EXPECT_EQ(answer.field("nutmeg-outcome"), "unknown");
        EXPECT_TRUE(answer.is_complete);
    }

    std::unique_ptr<scripted_upstream> broken_upstream;
};

TEST_P(broken_answer, reaches_no_caller)
{
    constexpr std::size_t more_than_sockets_hold = 24'000'000;
    const std::string upload(more_than_sockets_hold, 'x');
    serve_broken_answer("balances");
    expect_unknown(request(entry_node.callers(), "GET", "/balances/all"), 502);
    expect_unknown(
        request(entry_node.callers(), "PUT", "/balances/all", {}, upload), 502);
}

TEST_P(broken_answer, is_not_the_answer_of_a_payout)
{
    const std::string body(30'000, 'x');
    serve_broken_answer("disbursement");
    expect_unknown(pay("key-1", body), 502);
    // The payout may have run, so it isn't sent again.
    expect_unknown(pay("key-1", body), 409);
}

INSTANTIATE_TEST_SUITE_P(
    answers,
    broken_answer,
    ::testing::Values(
        broken_answer_case{
            "invalid_status",
            "HTTP/1.1 000 OK\r\ncontent-length: 4\r\n\r\nbody",
            connection_end::half_close_and_read},
        broken_answer_case{
            "blank_in_a_name",
            "HTTP/1.1 200 OK\r\nx a: b\r\ncontent-length: 4\r\n\r\nbody",
            connection_end::half_close_and_read},
        broken_answer_case{
            "control_byte_in_a_name",
            "HTTP/1.1 200 OK\r\nx\x01: b\r\ncontent-length: 4\r\n\r\nbody",
            connection_end::half_close_and_read},
        broken_answer_case{
            "reset", "HTTP/1.1 200 OK\r\n\r\npart", connection_end::reset}),
    [](const auto& info)
    {
        return std::string(info.param.name);
    });

TEST_F(path, a_long_answer_streams_whole)
{
    const std::string chunk(1 << 20, 'x');
    const auto stream =
        [&chunk](caller_exchange& exchange) -> asio::awaitable<void>
    {
        wire::response_head head{200, {}};
        co_await exchange.begin_answer(std::move(head), std::nullopt);
        for (int i = 0; i < 50; ++i)
        {
            co_await exchange.write_some(std::as_bytes(std::span(chunk)));
        }
        co_await exchange.end_answer();
    };
    serve_with(stream, "balances");
    const auto answer = request(entry_node.callers(), "GET", "/balances/all");
    EXPECT_TRUE(answer.is_complete);
    EXPECT_EQ(answer.body.size(), 50 * chunk.size());
}

TEST_F(path, a_cut_long_answer_has_no_clean_end)
{
    const std::string chunk(1 << 18, 'x');
    const auto stream =
        [&chunk](caller_exchange& exchange) -> asio::awaitable<void>
    {
        wire::response_head head{200, {}};
        co_await exchange.begin_answer(std::move(head), 1U << 20U);
        co_await exchange.write_some(std::as_bytes(std::span(chunk)));
    };
    serve_with(stream, "balances");
    const auto answer = request(entry_node.callers(), "GET", "/balances/all");
    EXPECT_EQ(answer.status, 200U);
    EXPECT_FALSE(answer.is_complete);
}

TEST_F(path, a_cut_short_answer_becomes_an_error)
{
    const auto cut = [](caller_exchange& exchange) -> asio::awaitable<void>
    {
        wire::response_head head{200, {}};
        co_await exchange.begin_answer(std::move(head), 100);
        const std::string some = "some";
        co_await exchange.write_some(std::as_bytes(std::span(some)));
    };
    serve_with(cut, "balances");
    const auto answer = request(entry_node.callers(), "GET", "/balances/all");
    EXPECT_EQ(answer.status, 502U);
    EXPECT_TRUE(answer.is_complete);
    EXPECT_NE(answer.field("nutmeg-outcome"), "completed");
}

TEST_F(path, a_repeated_key_gets_its_first_outcome)
{
    std::atomic<int> runs = 0;
    const auto count =
        [&runs](caller_exchange& exchange) -> asio::awaitable<void>
    {
        co_await body_of(exchange);
        const auto text = "run " + std::to_string(++runs);
        wire::response_head head{201, {}};
        co_await exchange.answer(std::move(head), text);
    };
    serve_with(count, "disbursement");
    const auto first = pay("k1");
    EXPECT_EQ(first.status, 201U);
    EXPECT_EQ(first.body, "run 1");
    const auto again = pay("k1");
    EXPECT_EQ(again.status, 201U);
    EXPECT_EQ(again.body, "run 1");
    EXPECT_FALSE(first.field("nutmeg-request-id").empty());
    EXPECT_FALSE(again.field("nutmeg-request-id").empty());
    const auto other = pay("k1", "8");
    EXPECT_EQ(other.status, 422U);
    EXPECT_EQ(other.field("nutmeg-reason"), "key-reused");
    EXPECT_EQ(runs, 1);
}

TEST_F(path, a_broken_payout_is_unknown_and_never_runs_again)
{
    std::atomic<int> runs = 0;
    const auto breaks =
        [&runs](caller_exchange& exchange) -> asio::awaitable<void>
    {
        co_await body_of(exchange);
        ++runs;
    };
    serve_with(breaks, "disbursement");
    EXPECT_EQ(pay("k1").field("nutmeg-outcome"), "unknown");
    const auto again = pay("k1");
    EXPECT_EQ(again.status, 409U);
    EXPECT_EQ(again.field("nutmeg-outcome"), "unknown");
    EXPECT_EQ(runs, 1);
}

TEST_F(path, without_a_claim_log_a_payout_is_not_run)
{
    claims.is_available = false;
    std::atomic<int> runs = 0;
    const auto count =
        [&runs](caller_exchange& exchange) -> asio::awaitable<void>
    {
        ++runs;
        co_await echo(exchange);
    };
    serve_with(count, "disbursement");
    const auto answer = request(
        entry_node.callers(),
        "POST",
        "/disbursement/pay",
        {{"nutmeg-customer", "zakat"},
         {"idempotency-key", "k1"},
         {"nutmeg-timeout-ms", "300"}},
        "7");
    EXPECT_NE(answer.field("nutmeg-outcome"), "completed");
    EXPECT_EQ(runs, 0);
}

TEST_F(path, a_sub_call_shares_its_request)
{
    const auto reports_request_context =
        [this](caller_exchange& exchange) -> asio::awaitable<void>
    {
        const auto& head = exchange.head();
        wire::response_head answer{
            200,
            {{"x-id",
              std::string(
                  *wire::find_header(head.fields, "nutmeg-request-id"))},
             {"x-rank",
              std::string(*wire::find_header(head.fields, "nutmeg-rank"))}}};
        co_await exchange.answer(std::move(answer), "");
    };
    serve_with(reports_request_context, "balances");
    const auto running = upstream_node.shared.ledger.open(
        request_id("r1"),
        {4, host_clock().now() + std::chrono::seconds(5), {}, {}},
        retry_tokens::received(2));
    route_to(upstream_node, "balances", {{"beside", upstream_node.peers()}});
    const auto answer = request(
        upstream_node.upstream_side(),
        "GET",
        "/balances/all",
        {{"nutmeg-request-id", "r1"}});
    EXPECT_EQ(answer.field("x-id"), "r1");
    EXPECT_EQ(answer.field("x-rank"), "4");
}

TEST_F(path, a_call_without_upstreams_is_refused_at_once)
{
    serve_with(echo, "balances");
    route_to(entry_node, "balances", {});
    const auto before = host_clock().now();
    const auto answer = request(entry_node.callers(), "GET", "/balances/all");
    EXPECT_EQ(answer.status, 503U);
    EXPECT_EQ(answer.field("nutmeg-reason"), "no-upstream");
    EXPECT_EQ(answer.field("nutmeg-outcome"), "not-run");
    EXPECT_FALSE(answer.field("retry-after").empty());
    EXPECT_LT(host_clock().now() - before, std::chrono::seconds(4));
}

TEST_F(path, a_leaving_upstream_refuses_and_another_serves)
{
    serve_with(echo, "balances");
    test_node other("other");
    declare(other, make_class("views", "balances", true));
    announcement announced;
    announced.service = service_name("balances");
    announced.address = upstream->address();
    other.shared.upstream.announce(announced, host_clock().now());
    other.start();
    upstream_node.shared.admission.set_leaving(true);
    route_to(
        entry_node,
        "balances",
        {{"beside", upstream_node.peers()}, {"other", other.peers()}});
    for (int i = 0; i < 10; ++i)
    {
        const auto answer =
            request(entry_node.callers(), "GET", "/balances/all");
        EXPECT_EQ(answer.status, 200U)
            << answer.field("nutmeg-reason") << " after "
            << answer.field("nutmeg-tries") << " tries, call " << i;
    }
}

TEST_F(path, not_run_is_not_reported_after_a_try_that_may_have_run)
{
    std::atomic<int> runs = 0;
    const auto breaks_and_leaves =
        [&](caller_exchange& exchange) -> asio::awaitable<void>
    {
        co_await body_of(exchange);
        ++runs;
        upstream_node.shared.admission.set_leaving(true);
    };
    serve_with(breaks_and_leaves, "balances");
    const auto answer = request(entry_node.callers(), "GET", "/balances/all");
    EXPECT_EQ(runs, 1);
    EXPECT_EQ(answer.field("nutmeg-outcome"), "unknown")
        << answer.field("nutmeg-reason") << " after "
        << answer.field("nutmeg-tries") << " tries";
}

// Sends a request, waits until the upstream has run it, and closes the
// connection 50 ms later.
void ask_and_hang_up(const endpoint& address, const std::atomic<int>& runs)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(address);
    const int before = runs;
    const std::string text = "GET /balances/all HTTP/1.1\r\nhost: x\r\n\r\n";
    asio::write(socket, asio::buffer(text));
    const auto until = host_clock().now() + std::chrono::seconds(5);
    while (runs == before && host_clock().now() < until)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
}

// Guards against use of a destroyed try: the caller disconnects after the first
// try has failed, while the second one waits for a host that accepts the
// connection and never answers.
TEST_F(path, a_caller_that_leaves_between_tries_is_survived)
{
    asio::io_context context;
    const endpoint any(asio::ip::address_v4::loopback(), 0);
    asio::ip::tcp::acceptor silent(context, any);
    std::atomic<int> runs = 0;
    const auto breaks = [&](caller_exchange& exchange) -> asio::awaitable<void>
    {
        co_await body_of(exchange);
        ++runs;
    };
    serve_with(breaks, "balances");
    route_to(
        entry_node,
        "balances",
        {{"beside", upstream_node.peers()},
         {"silent", silent.local_endpoint()}});
    for (int i = 0; i < 6; ++i)
    {
        ask_and_hang_up(entry_node.callers(), runs);
    }
    EXPECT_EQ(request(entry_node.callers(), "GET", "/nothing").status, 404U);
}

TEST_F(path, parallel_callers_each_get_their_own_answer)
{
    serve_with(echo, "balances");
    std::vector<std::future<bool>> callers;
    callers.reserve(8);
    for (int caller = 0; caller < 8; ++caller)
    {
        callers.push_back(std::async(
            std::launch::async,
            [this, caller]
            {
                bool all_own = true;
                for (int i = 0; i < 50; ++i)
                {
                    const std::string body(
                        static_cast<std::size_t>(1 + i * 97),
                        static_cast<char>('a' + caller));
                    const auto answer = request(
                        entry_node.callers(),
                        "POST",
                        "/balances/all",
                        {},
                        body);
                    all_own =
                        all_own && answer.is_complete && answer.body == body;
                }
                return all_own;
            }));
    }
    for (auto& each : callers)
    {
        EXPECT_TRUE(each.get());
    }
}

} // namespace
} // namespace nutmegusher::node::test
