// Replays traces at several load factors with the shipped and the naive
// decisions, and prints the results of clients as CSV.
//
//     policy_replay_bench surge FILE...   rows by trace, load and class
//     policy_replay_bench depth           tries at depths 1 to 10
#include <array>
#include <iomanip>
#include <iostream>
#include <span>
#include <string>
#include <string_view>

#include "bench/policy/replay.hpp"

namespace nutmegusher::bench
{

namespace
{

constexpr std::uint64_t seed = 20261202;
constexpr double base_load = 0.8;
constexpr std::array loads{0.8, 1.0, 2.0, 3.0, 5.0};
constexpr std::size_t deepest_chain = 10;

void print_surge(
    std::string_view name,
    std::string_view decisions,
    double load_factor,
    const trace& load,
    const report& actual)
{
    const auto recovered = actual.recovery(load, recovered_share);
    const std::string recovery =
        recovered ? std::to_string(*recovered / std::chrono::milliseconds(1))
                  : "none";
    for (const class_report& one : actual.classes)
    {
        std::cout << name << ',' << decisions << ',' << load_factor << ','
                  << one.name << ',' << int{one.rank} << ','
                  << one.in_surge.offered << ',' << one.in_surge.share() << ','
                  << one.latency(0.5) * 1000 << ',' << one.latency(0.99) * 1000
                  << ',' << actual.surge_goodput(load) << ',' << recovery << ','
                  << actual.tries_per_call() << ','
                  << actual.max_retries_per_try << ',' << actual.duplicates
                  << '\n';
    }
}

bool surge(std::string_view file)
{
    const auto base = load_trace(std::filesystem::path(file));
    if (!base)
    {
        std::cerr << "can't read trace file " << file << '\n';
        return false;
    }
    const std::string name = std::filesystem::path(file).stem().string();
    for (const double load_factor : loads)
    {
        trace load = *base;
        scale_load(load, duration(0), load.end, base_load);
        scale_load(
            load, load.surge_from, load.surge_to, load_factor / base_load);
        const report shipped = run_replay<shipped_decisions>(load, seed);
        print_surge(name, "shipped", load_factor, load, shipped);
        const report naive = run_replay<naive_decisions>(load, seed);
        print_surge(name, "naive", load_factor, load, naive);
    }
    return true;
}

// A chain of services whose last one is offered three times its capacity.
trace chain(std::size_t depth)
{
    trace load;
    load.data_center_delay = std::chrono::microseconds(500);
    load.client_delay = std::chrono::milliseconds(3);
    load.clients = {4, std::chrono::milliseconds(50), false};
    load.end = std::chrono::seconds(4);
    load.surge_from = std::chrono::seconds(1);
    load.surge_to = std::chrono::seconds(3);
    trace_class one;
    one.name = "request";
    one.repeatable = true;
    one.target = std::chrono::seconds(1);
    one.customers = 100;
    for (std::size_t hop = 0; hop < depth; ++hop)
    {
        const bool last = hop + 1 == depth;
        trace_service service;
        service.name = "service_" + std::to_string(hop);
        service.upstreams = 3;
        service.slots = last ? 10 : 100;
        service.connections = service.slots * 8;
        load.services.push_back(service);
        const auto work = std::chrono::milliseconds(last ? 20 : 2);
        one.hops.push_back({hop, work});
    }
    // 30 slots of 20 ms serve 1500 requests a second.
    one.rates = {
        {duration(0), load.surge_from, 750},
        {load.surge_from, load.surge_to, 4500},
        {load.surge_to, load.end, 750}};
    load.classes.push_back(one);
    return load;
}

void print_depth(
    std::string_view decisions, std::size_t depth, const report& actual)
{
    std::cout << depth << ',' << decisions << ',' << actual.tries_per_call()
              << ',' << actual.max_retries_per_try << ','
              << actual.classes.front().in_surge.share() << '\n';
}

void depths()
{
    std::cout << "depth,decisions,tries_per_call,most_retries,served\n";
    for (std::size_t depth = 1; depth <= deepest_chain; ++depth)
    {
        const trace load = chain(depth);
        print_depth(
            "shipped", depth, run_replay<shipped_decisions>(load, seed));
        print_depth("naive", depth, run_replay<naive_decisions>(load, seed));
    }
}

int run(std::span<char*> arguments)
{
    const std::string_view mode = arguments.size() > 1 ? arguments[1] : "";
    std::cout << std::setprecision(5);
    if (mode == "depth")
    {
        depths();
        return 0;
    }
    if (mode != "surge")
    {
        std::cerr << "usage: policy_replay_bench surge FILE... | depth\n";
        return 2;
    }
    std::cout << "trace,decisions,load,class,rank,offered,served,p50_ms,p99_ms,"
                 "goodput,recovery_ms,tries_per_call,most_retries,twice\n";
    bool good = true;
    for (const char* file : arguments.subspan(2))
    {
        good = surge(file) && good;
    }
    return good ? 0 : 2;
}

} // namespace

} // namespace nutmegusher::bench

int main(int count, char** arguments)
{
    return nutmegusher::bench::run(
        {arguments, static_cast<std::size_t>(count)});
}
