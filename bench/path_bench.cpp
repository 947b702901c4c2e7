// Measures the cost of the path through the daemons: latency added to a direct
// call, calls a second per core, and the memory of an idle daemon. All
// processes communicate over loopback.
//
//     path_bench [calls]
#include "testing/async_http_client.hpp"
#include "testing/testing.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace
{

namespace asio = boost::asio;
namespace ts = nutmegusher::test_support;
using std::chrono::milliseconds;

constexpr std::uint32_t default_calls = 20'000;
constexpr std::uint32_t warm_up_calls = 500;
constexpr std::uint32_t concurrent_callers = 32;
constexpr milliseconds timeout(5000);
constexpr double median = 0.5;
constexpr double ninety_ninth = 0.99;

ts::http_request view_request()
{
    ts::http_request request;
    request.target = "/balances/view";
    request.headers = {{"x-token", "bench"}, {"x-answer-bytes", "500"}};
    return request;
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1))];
}

// Alternates direct calls and calls through the daemons, so that both see the
// same state of the machine.
class paired_latency
{
public:
    paired_latency(const std::string& direct, const std::string& proxied)
        : direct_(ts::parse_endpoint(direct))
        , proxied_(ts::parse_endpoint(proxied))
    {
    }

    void run(std::uint32_t calls)
    {
        asio::co_spawn(context_, measure(calls), asio::detached);
        context_.run();
    }

    void print() const
    {
        print_line("direct", direct_us_);
        print_line("path", path_us_);
        std::printf(
            "added         p50 %8.0f us   p99 %8.0f us\n",
            quantile(path_us_, median) - quantile(direct_us_, median),
            quantile(path_us_, ninety_ninth) -
                quantile(direct_us_, ninety_ninth));
    }

private:
    static void print_line(const char* name, const std::vector<double>& values)
    {
        std::printf(
            "%-12s  p50 %8.0f us   p99 %8.0f us   (%zu calls)\n",
            name,
            quantile(values, median),
            quantile(values, ninety_ninth),
            values.size());
    }

    asio::awaitable<void> measure(std::uint32_t calls)
    {
        for (std::uint32_t i = 0; i < warm_up_calls + calls; ++i)
        {
            const double direct = co_await call(direct_);
            const double path = co_await call(proxied_);
            if (i >= warm_up_calls)
            {
                direct_us_.push_back(direct);
                path_us_.push_back(path);
            }
        }
    }

    asio::awaitable<double> call(ts::tcp_endpoint to)
    {
        const auto before = std::chrono::steady_clock::now();
        const auto result = co_await client_.call(to, request_, timeout);
        const auto after = std::chrono::steady_clock::now();
        if (!result || result->status != 200)
        {
            throw std::runtime_error(
                "a benchmark call failed or did not return status 200");
        }
        co_return std::chrono::duration<double, std::micro>(after - before)
            .count();
    }

    asio::io_context context_{1};
    ts::async_http_client client_{context_};
    ts::http_request request_ = view_request();
    ts::tcp_endpoint direct_;
    ts::tcp_endpoint proxied_;
    std::vector<double> direct_us_;
    std::vector<double> path_us_;
};

// A fixed number of callers, each of which sends its next call when the last
// one is answered.
class closed_loop
{
public:
    explicit closed_loop(const std::string& to)
        : to_(ts::parse_endpoint(to))
    {
    }

    double run(std::uint32_t calls)
    {
        left_ = calls;
        const auto before = std::chrono::steady_clock::now();
        for (std::uint32_t i = 0; i < concurrent_callers; ++i)
        {
            asio::co_spawn(context_, call_repeatedly(), asio::detached);
        }
        context_.run();
        const std::chrono::duration<double> taken =
            std::chrono::steady_clock::now() - before;
        return taken.count();
    }

    [[nodiscard]] std::uint32_t failed() const
    {
        return failed_;
    }

private:
    asio::awaitable<void> call_repeatedly()
    {
        while (left_ > 0)
        {
            --left_;
            const auto result = co_await client_.call(to_, request_, timeout);
            failed_ += result && result->status == 200 ? 0 : 1;
        }
    }

    asio::io_context context_{1};
    ts::async_http_client client_{context_};
    ts::http_request request_ = view_request();
    ts::tcp_endpoint to_;
    std::uint32_t left_ = 0;
    std::uint32_t failed_ = 0;
};

void measure_throughput(ts::deployment& cluster, std::uint32_t calls)
{
    const auto used = [&cluster]
    {
        return cluster.daemon(0).processor_time() +
               cluster.daemon(1).processor_time();
    };
    const auto before = used();
    closed_loop loop(cluster.daemon_callers(0));
    const double seconds = loop.run(calls);
    const std::chrono::duration<double> processor = used() - before;
    std::printf(
        "throughput    %.0f calls/s with %u callers, %u not completed\n",
        calls / seconds,
        concurrent_callers,
        loop.failed());
    std::printf(
        "processor     %.1f us a call in both daemons together, %.0f calls/s "
        "per core and hop pair\n",
        processor.count() * 1e6 / calls,
        calls / processor.count());
}

int run(std::uint32_t calls)
{
    ts::deployment_options options;
    const std::string fast = R"({"service_ms": 0, "slots": 64})";
    options.upstreams = {{"funds", fast}, {"balances", fast}};
    auto started = ts::deployment::start(options);
    if (!started || !(*started)->declare(ts::association_classes()))
    {
        std::cerr << "path_bench: the deployment failed to start\n";
        return 1;
    }
    auto& cluster = **started;
    const auto idle = cluster.daemon(0).resident_memory_kib();
    if (!cluster.wait_served(ts::offered_view(1)))
    {
        std::cerr << "path_bench: requests of class view aren't served\n";
        return 1;
    }
    std::printf("idle daemon   %.1f MB resident\n", idle / 1024.0);
    paired_latency pair(cluster.upstream_address(1), cluster.daemon_callers(0));
    pair.run(calls);
    pair.print();
    measure_throughput(cluster, calls);
    std::printf(
        "after load    %.1f MB resident\n",
        cluster.daemon(0).resident_memory_kib() / 1024.0);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const auto calls = argc > 1
                           ? static_cast<std::uint32_t>(std::stoul(argv[1]))
                           : default_calls;
    return run(calls);
}
