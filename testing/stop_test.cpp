// A stopping daemon must answer every request that it has forwarded, also on
// connections that callers keep using until it exits.
#include "testing/async_http_client.hpp"
#include "testing/process_test_fixture.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <set>
#include <thread>

namespace nutmegusher::test_support
{
namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds request_timeout(5000);
constexpr std::chrono::seconds stop_bound(30);
constexpr unsigned status_ok = 200;

// Results of the requests that callers sent during one stop.
struct stop_results
{
    std::size_t answered = 0;
    std::size_t refused = 0;
    // Tokens of the requests whose connections closed without an answer.
    std::set<std::string> unanswered;
};

// Callers of one daemon on keep-alive connections.
class keep_alive_callers
{
public:
    keep_alive_callers(const std::string& daemon, std::string prefix)
        : daemon_(parse_endpoint(daemon))
        , prefix_(std::move(prefix))
    {
    }

    // Opens the connections, each with a first request.
    void open(std::size_t connections)
    {
        for (std::size_t i = 0; i < connections; ++i)
        {
            asio::co_spawn(context_, first_call(), asio::detached);
        }
        context_.run();
        context_.restart();
    }

    // Sends requests at random moments until no connection is accepted.
    stop_results send_until_gone(std::uint64_t seed)
    {
        random_engine random(seed);
        asio::co_spawn(context_, send_all(random), asio::detached);
        context_.run();
        return std::move(results_);
    }

private:
    // Long enough that no two first calls share a connection.
    static constexpr double first_service_ms = 300.0;
    static constexpr double mean_gap_ms = 12.0;
    static constexpr double longest_service_ms = 40.0;

    [[nodiscard]] http_request make_request(double service_ms)
    {
        http_request request;
        request.target = "/balances/view";
        request.headers = {
            {"x-token", prefix_ + "-" + std::to_string(++last_)},
            {"x-service-ms", std::to_string(service_ms)},
            {"nutmeg-customer", "zakat"},
            {"nutmeg-timeout-ms", std::to_string(request_timeout.count())}};
        return request;
    }

    asio::awaitable<void> first_call()
    {
        const auto request = make_request(first_service_ms);
        co_await client_.call(daemon_, request, request_timeout);
    }

    asio::awaitable<void> send_all(random_engine& random)
    {
        asio::steady_timer timer(context_);
        while (!daemon_gone_)
        {
            const double gap_ms =
                -std::log(1.0 - uniform_unit(random)) * mean_gap_ms;
            timer.expires_after(std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>(gap_ms)));
            co_await timer.async_wait(asio::use_awaitable);
            const double service_ms = uniform_unit(random) * longest_service_ms;
            asio::co_spawn(context_, call(service_ms), asio::detached);
        }
    }

    asio::awaitable<void> call(double service_ms)
    {
        const auto request = make_request(service_ms);
        const auto result =
            co_await client_.call(daemon_, request, request_timeout);
        if (result)
        {
            ++(result->status == status_ok ? results_.answered
                                           : results_.refused);
        }
        else if (result.error() == http_failure::connect_failed)
        {
            daemon_gone_ = true;
        }
        else
        {
            results_.unanswered.insert(request.headers.front().value);
        }
    }

    tcp_endpoint daemon_;
    std::string prefix_;
    asio::io_context context_{1};
    async_http_client client_{context_};
    std::size_t last_ = 0;
    bool daemon_gone_ = false;
    stop_results results_;
};

class stopping : public process_test
{
protected:
    void start_with(std::uint32_t threads, std::uint32_t accept_ms = 0)
    {
        deployment_options options;
        options.threads = threads;
        options.accept_ms = accept_ms;
        options.upstreams = {{""}, {"balances"}, {"balances"}};
        start(options, association_classes(), {offered_view(1)});
    }

    // Stops the first daemon while callers use their connections. Returns the
    // tokens of requests that were executed but not answered.
    std::vector<std::string> requests_lost_in_stop(std::uint64_t seed)
    {
        keep_alive_callers callers(
            cluster->daemon_callers(0), "stop-" + std::to_string(seed));
        callers.open(kept_connections);
        cluster->daemon(0).signal(SIGTERM);
        const auto results = callers.send_until_gone(seed);
        const auto ended = cluster->daemon(0).wait_exit(stop_bound);
        EXPECT_TRUE(ended);
        EXPECT_EQ(ended->code, 0);
        EXPECT_GT(results.answered, 0U);
        const auto run = cluster->executions_by_token("balances");
        std::vector<std::string> lost;
        std::ranges::copy_if(
            results.unanswered,
            std::back_inserter(lost),
            [&run](const std::string& token)
            {
                return run.contains(token);
            });
        return lost;
    }

    void expect_nothing_lost()
    {
        for (std::uint64_t seed = 1; seed <= stops; ++seed)
        {
            EXPECT_EQ(requests_lost_in_stop(seed), std::vector<std::string>())
                << "seed " << seed << '\n'
                << cluster->logs();
            ASSERT_TRUE(cluster->restart_daemon(0));
            ASSERT_TRUE(cluster->wait_served(offered_view(1)));
        }
    }

    // More than the requests sent during a stop, so that each can use a
    // connection that was idle when the stop began.
    static constexpr std::size_t kept_connections = 200;
    static constexpr std::uint64_t stops = 6;
};

// Guards against a stop that checks only once for calls in flight: a request
// on a keep-alive connection was forwarded after the check and then cut off.
TEST_F(stopping, answers_what_kept_connections_bring_until_it_ends)
{
    start_with(1);
    expect_nothing_lost();
}

TEST_F(stopping, answers_what_kept_connections_bring_to_each_thread)
{
    start_with(4);
    expect_nothing_lost();
}

TEST_F(stopping, answers_what_kept_connections_bring_while_it_accepts)
{
    start_with(1, 700);
    expect_nothing_lost();
}

class stopping_control : public process_test
{
protected:
    void start_control()
    {
        deployment_options options;
        options.upstreams = {{"balances"}};
        options.control_killed_after_ms = 6000;
        start(options, association_classes(), {offered_view(1)});
    }

    std::size_t count_events(std::size_t index, const std::string& event) const
    {
        const auto log = cluster->file("c" + std::to_string(index) + ".log");
        std::size_t count = 0;
        for (auto at = log.find(event); at != std::string::npos;
             at = log.find(event, at + 1))
        {
            ++count;
        }
        return count;
    }

    std::size_t current_leaderships(std::size_t index) const
    {
        return count_events(index, "control_leader_elected") -
               count_events(index, "control_stepped_down");
    }

    std::size_t find_leader() const
    {
        std::size_t index = 0;
        while (index + 1 < cluster->control_count() &&
               current_leaderships(index) == 0)
        {
            ++index;
        }
        return index;
    }

    void expect_handed_over(std::size_t index)
    {
        EXPECT_GT(current_leaderships(index), 0U);
        cluster->control(index).signal(SIGTERM);
        const auto ended = cluster->control(index).wait_exit(stop_bound);
        ASSERT_TRUE(ended);
        EXPECT_EQ(ended->code, 0);
        EXPECT_EQ(current_leaderships(index), 0U)
            << cluster->file("c" + std::to_string(index) + ".log");
    }
};

TEST_F(stopping_control, hands_its_leadership_over)
{
    start_control();
    expect_handed_over(find_leader());
}

// An operator's connection with an incomplete request header delays the stop
// until its limit; the leadership must still be handed over.
TEST_F(stopping_control, hands_its_leadership_over_beside_a_slow_operator)
{
    start_control();
    const auto index = find_leader();
    asio::io_context context;
    asio::ip::tcp::socket slow(context);
    slow.connect(parse_endpoint(cluster->control_operators(index)));
    const std::string_view half = "GET /v1/control HTTP/1.1\r\n";
    asio::write(slow, asio::buffer(half));
    std::this_thread::sleep_for(milliseconds(100));
    expect_handed_over(index);
}

// Guards against a busy loop: a control host whose stop was delayed by a slow
// operator answered each poll at once, and daemons polled it without a pause.
TEST_F(stopping_control, is_not_polled_without_a_pause_beside_a_slow_operator)
{
    start_control();
    const auto before = cluster->daemon(0).processor_time();
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        asio::io_context context;
        asio::ip::tcp::socket slow(context);
        slow.connect(parse_endpoint(cluster->control_operators(i)));
        const std::string_view half = "GET /v1/control HTTP/1.1\r\n";
        asio::write(slow, asio::buffer(half));
        std::this_thread::sleep_for(milliseconds(100));
        cluster->control(i).signal(SIGTERM);
        ASSERT_TRUE(cluster->control(i).wait_exit(stop_bound));
        ASSERT_TRUE(cluster->restart_control(i));
        ASSERT_TRUE(cluster->wait_served(offered_view(1)));
    }
    EXPECT_LT(cluster->daemon(0).processor_time() - before, milliseconds(1000));
}

} // namespace
} // namespace nutmegusher::test_support
