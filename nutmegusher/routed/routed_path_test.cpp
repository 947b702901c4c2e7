// Routed requests over real sockets: a caller, the daemon where the request
// enters, the daemon beside the upstream, and an upstream that misbehaves.
#include "nutmegusher/routed/test_path.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;

TEST_F(routed_path, forwards_request_and_answer_unchanged)
{
    std::mutex mutex;
    std::vector<text_request> seen;
    start(
        [&](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                const std::scoped_lock lock(mutex);
                seen.push_back(*request);
                http::write(socket, answer_to(id_of(*request), "balance 7"));
            }
        });
    const auto answer = ask("/pay/x?y=1", "id-1", "amount 7");
    EXPECT_EQ(answer.result_int(), 200U);
    EXPECT_EQ(answer.body(), "balance 7");
    EXPECT_EQ(answer["x-own"], "kept");
    const std::scoped_lock lock(mutex);
    ASSERT_EQ(seen.size(), 1U);
    EXPECT_EQ(seen[0].target(), "/pay/x?y=1");
    EXPECT_EQ(seen[0].body(), "amount 7");
    EXPECT_EQ(seen[0]["host"], "a.example");
    EXPECT_EQ(seen[0]["x-caller"], "kept");
    EXPECT_EQ(seen[0]["nutmeg-expected-upstream"], "i-1");
    EXPECT_EQ(seen[0]["nutmeg-caller-service"], "members");
    EXPECT_LE(std::stoi(std::string(seen[0]["nutmeg-timeout-ms"])), 2000);
}

// The upstream sends a second answer to the first request, where the answer to
// the second request is expected.
TEST_F(routed_path, an_extra_answer_reaches_no_caller)
{
    start(
        [](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            std::string before;
            while (const auto request = read_request(socket, buffer))
            {
                if (!before.empty())
                {
                    http::write(socket, answer_to(before, "somebody else's"));
                }
                before = id_of(*request);
                http::write(socket, answer_to(before, "own " + before));
            }
        });
    EXPECT_EQ(ask("/views/1", "id-1").body(), "own id-1");
    EXPECT_EQ(ask("/views/2", "id-2").body(), "own id-2");
    EXPECT_EQ(ask("/views/3", "id-3").body(), "own id-3");
}

TEST_F(routed_path, a_call_that_may_not_repeat_is_sent_once)
{
    std::atomic<int> runs = 0;
    start(
        [&](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            if (read_request(socket, buffer))
            {
                ++runs; // closes the connection without an answer
            }
        });
    const auto answer = ask("/pay/1", "id-1", "amount 7");
    EXPECT_EQ(answer.result_int(), 502U);
    EXPECT_EQ(answer["nutmeg-outcome"], "unknown");
    EXPECT_EQ(runs, 1);
}

TEST_F(routed_path, an_upstream_refusal_is_reported_as_not_run)
{
    start(
        [](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                auto rejection = answer_to(id_of(*request), "");
                rejection.result(http::status::service_unavailable);
                rejection.set("nutmeg-not-run", "full");
                http::write(socket, rejection);
            }
        });
    const auto answer = ask("/pay/1", "id-1", "amount 7");
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_EQ(answer["nutmeg-outcome"], "not-run");
}

TEST_F(routed_path, an_answer_that_ends_early_is_not_forwarded)
{
    start(
        [](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            if (const auto request = read_request(socket, buffer))
            {
                const std::string part =
                    "HTTP/1.1 200 OK\r\nnutmeg-request-id: " + id_of(*request) +
                    "\r\ncontent-length: 100\r\n\r\nhalf";
                asio::write(socket, asio::buffer(part));
            }
        });
    const auto answer = ask("/views/1", "id-1");
    EXPECT_EQ(answer.result_int(), 502U);
    EXPECT_TRUE(answer.body().empty());
}

// The upstream answers after the head; the body is larger than the connection's
// buffers.
TEST_F(routed_path, an_answer_may_come_before_the_body_is_read)
{
    start(
        [](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            http::request_parser<http::string_body> parser;
            boost::system::error_code failed;
            http::read_header(socket, buffer, parser, failed);
            auto rejection = answer_to(
                std::string(parser.get()["nutmeg-request-id"]), "too long");
            rejection.result(http::status::payload_too_large);
            http::write(socket, rejection, failed);
            // Reads on only after the caller has its answer.
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            std::array<char, 65536> rest{};
            while (!failed)
            {
                socket.read_some(asio::buffer(rest), failed);
            }
        });
    // More than the flow control windows and buffers of both connections hold.
    std::string body;
    body.resize(20'000'000, 'x');
    const auto answer = ask("/pay/1", "id-1", body);
    EXPECT_EQ(answer.result_int(), 413U);
    EXPECT_EQ(answer.body(), "too long");
}

TEST_F(routed_path, without_a_route_nothing_is_sent)
{
    start([](tcp::socket&) {});
    EXPECT_EQ(ask("/other/", "id-1").result_int(), 404U);
}

// Answers and counts each request.
scripted_upstream::script counting_script(std::atomic<int>& runs)
{
    return [&runs](tcp::socket& socket)
    {
        beast::flat_buffer buffer;
        while (const auto request = read_request(socket, buffer))
        {
            ++runs;
            http::write(socket, answer_to(id_of(*request), "done"));
        }
    };
}

TEST_F(routed_path, a_request_waits_for_the_first_routes)
{
    std::atomic<int> runs = 0;
    start_without_routes(counting_script(runs));
    auto answer = std::async(
        std::launch::async,
        [this]
        {
            return ask("/pay/1", "id-1", "amount 7");
        });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    install_routes();
    EXPECT_EQ(answer.get().body(), "done");
    EXPECT_EQ(runs, 1);
}

TEST_F(
    routed_path, without_routes_a_request_is_refused_in_a_quarter_of_its_time)
{
    std::atomic<int> runs = 0;
    start_without_routes(counting_script(runs));
    const auto begin = host_clock().now();
    const auto answer = ask("/pay/1", "id-1", "amount 7");
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_FALSE(answer["retry-after"].empty());
    EXPECT_LT(host_clock().now() - begin, std::chrono::milliseconds(1000));
    const std::string large(100'000, 'x');
    EXPECT_EQ(ask("/pay/1", "id-2", large).result_int(), 503U);
}

TEST_F(
    routed_path, a_call_whose_caller_leaves_before_the_first_routes_is_dropped)
{
    std::atomic<int> runs = 0;
    start_without_routes(counting_script(runs));
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(entry->caller_server->local_endpoint());
        http::write(socket, make_request("/pay/1", "id-1", "amount 7"));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    install_routes();
    EXPECT_EQ(ask("/views/2", "id-2").body(), "done");
    EXPECT_EQ(runs, 1);
}

TEST_F(routed_path, answers_and_refusals_are_counted_by_route)
{
    std::atomic<int> runs = 0;
    start(counting_script(runs));
    EXPECT_EQ(ask("/views/1", "id-1").result_int(), 200U);
    EXPECT_EQ(ask("/views/2", "id-2").result_int(), 200U);
    EXPECT_EQ(ask("/other/", "id-3").result_int(), 404U);
    upstream_node->state.local.withdraw("i-1");
    EXPECT_EQ(ask("/pay/1", "id-4", "amount 7").result_int(), 503U);
    const auto text = entry->shared.request_metrics.exposition();
    const auto has = [&text](std::string_view line)
    {
        return text.find(line) != std::string::npos;
    };
    EXPECT_TRUE(
        has("requests_completed_total{class=\"/views/\",side=\"entry\"} 2"))
        << text;
    EXPECT_TRUE(
        has("requests_refused_total{class=\"(none)\",side=\"entry\",reason="
            "\"no-such-route\",outcome=\"not-run\"} 1"))
        << text;
    EXPECT_TRUE(has("requests_refused_total{class=\"/pay/\",side=\"entry\","
                    "reason=\"leaving\",outcome=\"not-run\"} 1"))
        << text;
}

TEST_F(routed_path, a_leaving_upstream_gets_no_new_calls)
{
    std::atomic<int> runs = 0;
    start(
        [&](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                ++runs;
                http::write(socket, answer_to(id_of(*request), "done"));
            }
        });
    EXPECT_EQ(ask("/views/1", "id-1").body(), "done");
    upstream_node->state.local.withdraw("i-1");
    EXPECT_EQ(ask("/views/2", "id-2").result_int(), 503U);
    EXPECT_EQ(runs, 1);
}

// One of two upstreams answers all of its calls with an error, at once.
class failing_upstream : public routed_path
{
protected:
    // The other upstream answers with `status`.
    void start_both(http::status status)
    {
        start(answering_script(http::status::internal_server_error));
        start_another(answering_script(status));
    }

    scripted_upstream::script answering_script(http::status status)
    {
        return [this, status](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                note_run(id_of(*request));
                auto answer = answer_to(id_of(*request), "own words");
                answer.result(status);
                http::write(socket, answer);
            }
        };
    }

    void note_run(const std::string& id)
    {
        const std::scoped_lock lock(mutex_);
        ++runs_[id];
    }

    [[nodiscard]] int runs_of(const std::string& id)
    {
        const std::scoped_lock lock(mutex_);
        return runs_[id];
    }

    // More than the few requests that it takes to detect the failing upstream.
    static constexpr int requests = 60;

private:
    std::mutex mutex_;
    std::map<std::string, int> runs_;
};

// Without reports of the error rate all requests fail: the upstream that fails
// at once looks like the least loaded.
TEST_F(failing_upstream, its_errors_are_retried_at_another_upstream)
{
    start_both(http::status::ok);
    int failed = 0;
    for (int i = 0; i < requests; ++i)
    {
        const auto answer = ask("/views/1", "id-" + std::to_string(i));
        failed += answer.result_int() == 500U ? 1 : 0;
    }
    EXPECT_LE(failed, 12);
}

TEST_F(failing_upstream, an_error_of_a_call_that_may_not_repeat_is_final)
{
    start_both(http::status::ok);
    for (int i = 0; i < requests; ++i)
    {
        const auto id = "id-" + std::to_string(i);
        static_cast<void>(ask("/pay/1", id, "amount 7"));
        EXPECT_EQ(runs_of(id), 1) << id;
    }
}

TEST_F(failing_upstream, an_error_is_forwarded_when_the_retry_fails_too)
{
    start_both(http::status::internal_server_error);
    for (int i = 0; i < requests; ++i)
    {
        const auto answer = ask("/views/1", "id-" + std::to_string(i));
        EXPECT_EQ(answer.result_int(), 500U);
        EXPECT_EQ(answer.body(), "own words");
    }
}

// The upstream runs every call and loses every second answer. An unrepeatable
// call can't be retried then, only be sent to the other upstream in the first
// place. Detecting the fault may cost a tenth of the calls.
TEST_F(failing_upstream, an_upstream_that_loses_its_answers_is_avoided)
{
    std::atomic<int> count = 0;
    start(
        [this, &count](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                note_run(id_of(*request));
                if (++count % 2 == 0)
                {
                    return;
                }
                http::write(socket, answer_to(id_of(*request), "done"));
            }
        });
    start_another(answering_script(http::status::ok));
    int lost = 0;
    for (int i = 0; i < requests; ++i)
    {
        const auto id = "id-" + std::to_string(i);
        lost += ask("/pay/1", id, "amount 7").result_int() == 200U ? 0 : 1;
        EXPECT_EQ(runs_of(id), 1) << id;
    }
    EXPECT_LE(lost, requests / 10);
}

// The upstream refuses calls although it has free slots.
TEST_F(failing_upstream, an_upstream_that_refuses_calls_is_avoided)
{
    int refused_calls = 0;
    start(
        [&refused_calls](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                ++refused_calls;
                auto rejection = answer_to(id_of(*request), "");
                rejection.result(http::status::service_unavailable);
                rejection.set("nutmeg-not-run", "full");
                http::write(socket, rejection);
            }
        });
    start_another(answering_script(http::status::ok));
    for (int i = 0; i < requests; ++i)
    {
        static_cast<void>(ask("/pay/1", "id-" + std::to_string(i), "amount 7"));
    }
    EXPECT_LE(refused_calls, requests / 10);
}

// Reports to a daemon that a call of the route took this long.
void report_slow_call(routed_node& node, std::uint64_t route, duration time)
{
    asio::io_context context;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            call_info call;
            call.ticket = node.state.slots.next_ticket();
            call.work_class = route;
            call.deadline = host_clock().now() + std::chrono::hours(1);
            co_await node.state.slots.enter(call);
            std::this_thread::sleep_for(time);
            node.state.slots.finish(call.ticket, call_result::ok);
        },
        asio::detached);
    context.run();
}

TEST_F(
    failing_upstream, a_call_refused_for_one_upstreams_slowness_runs_elsewhere)
{
    start(answering_script(http::status::ok));
    start_another(answering_script(http::status::ok));
    const auto view = entry->shared.configuration.current();
    const auto* const route = view->routes().find("a.example", "/pay/1");
    ASSERT_NE(route, nullptr);
    for (int i = 0; i < 10; ++i)
    {
        report_slow_call(
            *upstream_node, route->hash, std::chrono::milliseconds(400));
        auto request =
            make_request("/pay/1", "id-" + std::to_string(i), "amount 7");
        request.set("nutmeg-timeout-ms", "300");
        EXPECT_EQ(ask(request).result_int(), 200U);
    }
}

} // namespace
} // namespace nutmegusher::routed
