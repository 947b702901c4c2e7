// Replays the traces given as arguments, at several times their load, with
// the decisions that ship and with the naive ones, and prints what callers
// get as a table.
#include <cstdio>
#include <string>

#include "bench/policy/replay.hpp"

namespace nutmegusher::bench
{

namespace
{

constexpr std::uint64_t seed = 20261202;

void print_run(
    const std::string& decisions,
    double times,
    const trace& load,
    const report& got)
{
    const auto recovered = got.recovery(load, 0.95);
    std::printf(
        "%-9s %4.1f  goodput/s %7.0f  recovery %s  tries %.3f  most retries "
        "%u  client tries %.2f  twice %llu\n",
        decisions.c_str(),
        times,
        got.surge_goodput(load),
        recovered ? (std::to_string(*recovered / std::chrono::milliseconds(1)) +
                     " ms")
                        .c_str()
                  : "none",
        got.tries_per_call(),
        got.most_retries_of_a_try,
        static_cast<double>(got.client_tries) /
            static_cast<double>(
                [&]
                {
                    std::uint64_t sum = 0;
                    for (const class_report& one : got.classes)
                    {
                        sum += one.total.offered;
                    }
                    return sum;
                }()),
        static_cast<unsigned long long>(got.duplicates));
    for (const class_report& one : got.classes)
    {
        std::printf(
            "          %-18s rank %u  surge %6.2f%% of %6llu  all %6.2f%%  "
            "p50 %6.1f ms  p99 %6.1f ms\n",
            one.name.c_str(),
            one.rank,
            one.in_surge.share() * 100,
            static_cast<unsigned long long>(one.in_surge.offered),
            one.total.share() * 100,
            one.latency(0.5) * 1000,
            one.latency(0.99) * 1000);
    }
}

void compare(const std::string& file)
{
    const trace base = load_trace(file).value();
    std::printf(
        "%s  load %.3f\n", file.c_str(), offered_load(base, duration(0)));
    for (const double times : {0.8, 1.0, 2.0, 3.0, 5.0})
    {
        trace load = base;
        scale_load(load, duration(0), load.end, 0.8);
        scale_load(load, load.surge_from, load.surge_to, times / 0.8);
        print_run(
            "shipped", times, load, run_replay<shipped_decisions>(load, seed));
        print_run(
            "naive", times, load, run_replay<naive_decisions>(load, seed));
    }
}

} // namespace

} // namespace nutmegusher::bench

int main(int count, char** arguments)
{
    for (int index = 1; index < count; ++index)
    {
        nutmegusher::bench::compare(arguments[index]);
    }
    return 0;
}
