// Measures the time from sending a change until it is accepted, and until it is
// in force in all daemons.
//
//     rollout_bench [daemons] [changes]
#include "testing/testing.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace
{

namespace ts = nutmegusher::test_support;

constexpr std::size_t default_daemons = 100;
constexpr std::uint32_t default_changes = 20;
constexpr std::uint64_t unknown_revision = 999'999;

double milliseconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

int run(std::size_t daemons, std::uint32_t changes)
{
    ts::deployment_options options;
    options.upstreams.assign(daemons, {});
    auto started = ts::deployment::start(options);
    if (!started || !(*started)->declare(ts::association_classes()))
    {
        std::cerr << "rollout_bench: the deployment failed to start\n";
        return 1;
    }
    const auto& cluster = **started;
    const auto hosts = cluster.all_control_operators();
    auto based_on =
        ts::settle_change(
            hosts, ts::target_change("learn", unknown_revision, "view", 1))
            .revision;
    std::vector<double> accept_ms;
    std::vector<double> in_force_ms;
    for (std::uint32_t i = 0; i < changes; ++i)
    {
        const auto change = ts::target_change(
            "bench-" + std::to_string(i), based_on, "view", 1000 + i);
        const auto start = std::chrono::steady_clock::now();
        const auto answer = ts::settle_change(hosts, change);
        accept_ms.push_back(milliseconds_since(start));
        if (answer.outcome != ts::change_outcome::accepted ||
            !cluster.wait_in_force(answer.revision))
        {
            std::cerr << "rollout_bench: a change was not accepted or is not "
                         "in force\n";
            return 1;
        }
        in_force_ms.push_back(milliseconds_since(start));
        based_on = answer.revision;
    }
    std::sort(accept_ms.begin(), accept_ms.end());
    std::sort(in_force_ms.begin(), in_force_ms.end());
    std::printf(
        "%zu daemons, %u changes: accepted p50 %.1f ms, longest %.1f ms; in "
        "force everywhere p50 %.1f ms, longest %.1f ms (asking all included)\n",
        daemons,
        changes,
        accept_ms[changes / 2],
        accept_ms.back(),
        in_force_ms[changes / 2],
        in_force_ms.back());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const std::size_t daemons =
        argc > 1 ? std::stoul(argv[1]) : default_daemons;
    const auto changes = argc > 2
                             ? static_cast<std::uint32_t>(std::stoul(argv[2]))
                             : default_changes;
    return run(daemons, changes);
}
