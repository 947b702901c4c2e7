// Results of a replay as its clients saw them.
#ifndef NUTMEGUSHER_BENCH_POLICY_REPORT_HPP
#define NUTMEGUSHER_BENCH_POLICY_REPORT_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "bench/policy/trace.hpp"

namespace nutmegusher::bench
{

// Request counts of one class or customer. All tries of a client's request
// count as one.
struct served
{
    std::uint64_t offered = 0;
    // Requests fully answered within the target of one of their tries.
    std::uint64_t completed = 0;

    [[nodiscard]] double share() const;
};

// Counts of the requests whose first try started in this slice.
struct time_slice
{
    served all;
    // Completed by the client's first try.
    std::uint64_t at_first_try = 0;
};

struct class_report
{
    std::string name;
    std::uint8_t rank = 0;
    served total;
    // Offered during the surge only.
    served in_surge;
    served first_customer_in_surge;
    served other_customers_in_surge;
    // Seconds from a try's start to its answer.
    std::vector<double> latencies;

    // Requires: 0 <= `quantile` <= 1. Zero without latencies.
    [[nodiscard]] double latency(double quantile) const;
};

struct report
{
    static constexpr duration slice = std::chrono::milliseconds(100);

    std::vector<class_report> classes;
    std::vector<time_slice> slices;
    // Tries made by clients.
    std::uint64_t client_tries = 0;
    // Calls to upstreams, by depth in the chain.
    std::vector<std::uint64_t> calls_by_depth;
    // Calls at each depth, not counting retries within the chain.
    std::vector<std::uint64_t> first_calls_by_depth;
    std::uint32_t max_retries_per_try = 0;
    // Requests whose answer arrived during the surge.
    std::uint64_t completed_during_surge = 0;
    // Non-repeatable work that ran twice for one client's request.
    std::uint64_t duplicates = 0;

    // Calls at all depths, divided by those without any retry in the chain.
    [[nodiscard]] double tries_per_call() const;
    // Completed requests a second during the surge.
    [[nodiscard]] double surge_goodput(const trace& load) const;
    // Time from the end of the surge until, for half a second, at least `share`
    // of the offered requests complete at the first try. nullopt if that isn't
    // reached within the trace.
    [[nodiscard]] std::optional<duration>
    recovery(const trace& load, double share) const;
};

// A measured outcome compared with the one that the trace expects.
struct outcome_check
{
    trace_outcome expected;
    double measured = 0;
    bool met = false;
};

[[nodiscard]] std::vector<outcome_check>
check_outcomes(const trace& load, const report& actual);

// Share of the offered requests that must complete at the first try to count as
// recovered.
inline constexpr double recovered_share = 0.95;

} // namespace nutmegusher::bench

#endif
