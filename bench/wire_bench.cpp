// Measures the cost of HTTP/2 streams between daemons, over loopback.
//
//     wire_bench            all but the profile run
//     wire_bench unary      calls a second of processor time, latency
//     wire_bench profile    few calls on one thread, for use with a profiler
//     wire_bench transfer   MB a second
//     wire_bench idle       bytes for each idle connection
//
// Client and server run in one process, on one thread unless the output says
// otherwise.
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace
{

using namespace nutmegusher;
using namespace nutmegusher::wire;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int calls_in_a_run = 200000;
constexpr int calls_in_a_profile = 20000;
constexpr std::size_t answer_bytes = 200;
constexpr std::size_t transfer_bytes = 2000UL * 1024 * 1024;
constexpr std::size_t transfer_part = 64 * 1024;

using microseconds = std::chrono::duration<double, std::micro>;

tcp::endpoint loopback_endpoint()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

double processor_seconds()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& time)
    {
        return static_cast<double>(time.tv_sec) +
               static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

// The head of a call between daemons. Ids, keys and timeouts differ from call
// to call.
request_head call_head(int call)
{
    const auto digits = std::to_string(1000000 + call);
    request_head head;
    head.method = "POST";
    head.path = "/disbursement/v1/instructions";
    head.fields = {
        {"content-length", "0"},
        {"nutmeg-request-id", "a1b2c3d4-" + digits},
        {"nutmeg-timeout-ms", std::to_string(1000 + call % 500)},
        {"nutmeg-class", "payouts"},
        {"nutmeg-rank", "0"},
        {"nutmeg-retry-tokens", "3"},
        {"nutmeg-attempt", "host-17 4711 " + digits},
        {"idempotency-key", "7f3c9a52-" + digits}};
    return head;
}

asio::awaitable<void> serve_unary(std::shared_ptr<server_stream> stream)
{
    response_head head;
    head.fields = {
        {"nutmeg-outcome", "completed"}, {"nutmeg-admission-level", "9"}};
    static_cast<void>(co_await stream->write_head(head, false));
    static const std::string body(answer_bytes, 'x');
    const auto bytes = std::as_bytes(std::span(body));
    static_cast<void>(co_await stream->write(bytes, true));
}

asio::awaitable<void> serve_transfer(std::shared_ptr<server_stream> stream)
{
    static_cast<void>(co_await stream->write_head(response_head{}, false));
    static const std::vector<std::byte> part(transfer_part);
    for (std::size_t sent = 0; sent < transfer_bytes; sent += part.size())
    {
        const bool end = sent + part.size() >= transfer_bytes;
        const auto written = co_await stream->write(part, end);
        if (!written)
        {
            co_return;
        }
    }
}

asio::awaitable<std::size_t> read_to_end(client_stream& stream)
{
    static std::vector<std::byte> part(transfer_part);
    std::size_t sum = 0;
    for (;;)
    {
        const auto count = co_await stream.read_some(part);
        if (!count || *count == 0)
        {
            co_return sum;
        }
        sum += *count;
    }
}

struct unary_run
{
    int calls = calls_in_a_run;
    int left = calls_in_a_run;
    int running = 0;
    int failed = 0;
    std::vector<double> latencies;
};

asio::awaitable<void> send_calls(
    asio::io_context& context,
    std::shared_ptr<client_session> session,
    unary_run& run)
{
    ++run.running;
    while (run.left > 0)
    {
        --run.left;
        const auto head = call_head(run.left);
        const auto begin = std::chrono::steady_clock::now();
        const auto stream = session->open(head, true);
        if (!stream)
        {
            ++run.failed;
            continue;
        }
        const auto status = co_await (*stream)->read_head();
        const auto size = co_await read_to_end(**stream);
        const microseconds spent = std::chrono::steady_clock::now() - begin;
        run.failed += status && size == answer_bytes ? 0 : 1;
        run.latencies.push_back(spent.count());
    }
    if (--run.running == 0)
    {
        context.stop();
    }
}

asio::awaitable<void> start_callers(
    asio::io_context& context, tcp::endpoint peer, int callers, unary_run& run)
{
    const auto session =
        co_await client_session::connect(context, peer, session_options{});
    for (int i = 0; i < callers; ++i)
    {
        asio::co_spawn(
            context, send_calls(context, *session, run), asio::detached);
    }
}

double quantile(std::vector<double>& values, double share)
{
    const auto index = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    const auto middle = values.begin() + static_cast<long>(index);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::unique_ptr<server> listen_or_exit(
    asio::io_context& context, stream_handler handler, session_options options)
{
    auto made = server::listen(
        context, loopback_endpoint(), std::move(handler), options, false);
    if (!made)
    {
        std::fputs("wire_bench: can't listen on a loopback port\n", stderr);
        std::exit(1);
    }
    return std::move(*made);
}

void report(
    const char* name, int callers, unary_run& run, double wall, double cpu)
{
    const double calls = run.calls;
    std::printf(
        "unary %-11s callers=%-3d calls/s=%-8.0f us_cpu/call=%-6.2f "
        "calls/s/core=%-8.0f p50_us=%-7.1f p99_us=%-7.1f failed=%d\n",
        name,
        callers,
        calls / wall,
        1e6 * cpu / calls,
        calls / cpu,
        quantile(run.latencies, 0.5),
        quantile(run.latencies, 0.99),
        run.failed);
}

// The client runs on this thread; the server shares it or has its own.
void measure_unary(int callers, bool two_threads, int calls = calls_in_a_run)
{
    asio::io_context client_loop(1);
    asio::io_context server_loop(1);
    auto& loop = two_threads ? server_loop : client_loop;
    const auto server = listen_or_exit(loop, serve_unary, session_options{});
    const auto work = asio::make_work_guard(server_loop);
    std::thread server_thread(
        [&server_loop, two_threads]
        {
            if (two_threads)
            {
                server_loop.run();
            }
        });
    unary_run run;
    run.calls = calls;
    run.left = calls;
    run.latencies.reserve(calls_in_a_run);
    const auto begin = std::chrono::steady_clock::now();
    const double cpu_before = processor_seconds();
    asio::co_spawn(
        client_loop,
        start_callers(client_loop, server->local_endpoint(), callers, run),
        asio::detached);
    client_loop.run();
    const std::chrono::duration<double> wall =
        std::chrono::steady_clock::now() - begin;
    const double cpu = processor_seconds() - cpu_before;
    server_loop.stop();
    server_thread.join();
    report(
        two_threads ? "two-threads" : "one-thread",
        callers,
        run,
        wall.count(),
        cpu);
}

asio::awaitable<void> transfer(asio::io_context& context, tcp::endpoint peer)
{
    const auto session =
        co_await client_session::connect(context, peer, session_options{});
    request_head head;
    head.method = "GET";
    head.path = "/archive/dossier";
    const auto begin = std::chrono::steady_clock::now();
    const double cpu_before = processor_seconds();
    const auto stream = (*session)->open(head, true);
    static_cast<void>(co_await (*stream)->read_head());
    const auto size = co_await read_to_end(**stream);
    const std::chrono::duration<double> wall =
        std::chrono::steady_clock::now() - begin;
    const double cpu = processor_seconds() - cpu_before;
    const double megabytes = static_cast<double>(size) / 1e6;
    std::printf(
        "transfer one-thread MB=%.0f MB/s=%.0f us_cpu/MB=%.0f\n",
        megabytes,
        megabytes / wall.count(),
        1e6 * cpu / megabytes);
    context.stop();
}

void measure_transfer()
{
    asio::io_context context(1);
    const auto server =
        listen_or_exit(context, serve_transfer, session_options{});
    asio::co_spawn(
        context, transfer(context, server->local_endpoint()), asio::detached);
    context.run();
}

// Bytes that are allocated on the heap now.
double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

asio::awaitable<void> pause(duration span)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, span);
    co_await timer.async_wait(asio::use_awaitable);
}

constexpr std::chrono::milliseconds settle_time{300};

asio::awaitable<void> measure_idle_pairs(
    asio::io_context& context, tcp::endpoint peer, std::size_t count)
{
    std::vector<std::shared_ptr<client_session>> sessions;
    sessions.reserve(count);
    const double before = heap_bytes();
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto made =
            co_await client_session::connect(context, peer, session_options{});
        if (made)
        {
            sessions.push_back(*made);
        }
    }
    co_await pause(settle_time);
    const double fresh = heap_bytes() - before;
    for (const auto& session : sessions)
    {
        const auto stream = session->open(call_head(0), true);
        static_cast<void>(co_await (*stream)->read_head());
        static_cast<void>(co_await read_to_end(**stream));
    }
    co_await pause(settle_time);
    const double used = heap_bytes() - before;
    const auto connections = static_cast<double>(sessions.size());
    std::printf(
        "idle pairs connections=%zu bytes/pair fresh=%.0f after_a_call=%.0f\n",
        sessions.size(),
        fresh / connections,
        used / connections);
    context.stop();
}

asio::awaitable<void> measure_idle_servers(
    asio::io_context& context, tcp::endpoint peer, std::size_t count)
{
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
    const auto handshake = preface + settings;
    std::vector<tcp::socket> sockets;
    sockets.reserve(count);
    const double before = heap_bytes();
    for (std::size_t i = 0; i < count; ++i)
    {
        tcp::socket& socket = sockets.emplace_back(context);
        co_await socket.async_connect(peer, asio::use_awaitable);
        co_await asio::async_write(
            socket, asio::buffer(handshake), asio::use_awaitable);
    }
    co_await pause(settle_time);
    const double used = heap_bytes() - before;
    std::printf(
        "idle server-side connections=%zu bytes/connection=%.0f "
        "(with the client's bare socket)\n",
        count,
        used / static_cast<double>(count));
    context.stop();
}

void measure_idle(std::size_t count)
{
    session_options options;
    {
        asio::io_context context(1);
        const auto server = listen_or_exit(context, serve_unary, options);
        asio::co_spawn(
            context,
            measure_idle_servers(context, server->local_endpoint(), count),
            asio::detached);
        context.run();
    }
    asio::io_context context(1);
    const auto server = listen_or_exit(context, serve_unary, options);
    asio::co_spawn(
        context,
        measure_idle_pairs(context, server->local_endpoint(), count),
        asio::detached);
    context.run();
}

} // namespace

int main(int argument_count, char** arguments)
{
    const std::string_view mode = argument_count > 1 ? arguments[1] : "";
    if (mode.empty() || mode == "unary")
    {
        for (const int callers : {1, 16, 128})
        {
            measure_unary(callers, false);
            measure_unary(callers, true);
        }
    }
    if (mode == "profile")
    {
        measure_unary(16, false, calls_in_a_profile);
    }
    if (mode.empty() || mode == "transfer")
    {
        measure_transfer();
    }
    if (mode.empty() || mode == "idle")
    {
        for (const std::size_t count : {100, 1000, 4000})
        {
            measure_idle(count);
        }
    }
    return 0;
}
