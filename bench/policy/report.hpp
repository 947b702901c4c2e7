// What the callers of a replay got.
#ifndef NUTMEGUSHER_BENCH_POLICY_REPORT_HPP
#define NUTMEGUSHER_BENCH_POLICY_REPORT_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "bench/policy/trace.hpp"

namespace nutmegusher::bench
{

// Counts of one class or customer: requests of clients, each with its tries.
struct served
{
    std::uint64_t offered = 0;
    // A whole answer within the target of one of the client's tries.
    std::uint64_t completed = 0;

    [[nodiscard]] double share() const;
};

// By the time at which the client first asked.
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
    // Tries that clients made, and calls to upstreams by depth in the chain.
    std::uint64_t client_tries = 0;
    std::vector<std::uint64_t> calls_by_depth;
    // What one try would have made at each depth without failures.
    std::vector<std::uint64_t> first_calls_by_depth;
    std::uint32_t max_retries_per_try = 0;
    // Completed within the surge, by when they completed.
    std::uint64_t completed_during_surge = 0;
    // Non-repeatable work that ran twice for one client's request.
    std::uint64_t duplicates = 0;

    // Calls at all depths over those without any retry in the chain.
    [[nodiscard]] double tries_per_call() const;
    // Whole requests a second, while the surge lasted.
    [[nodiscard]] double surge_goodput(const trace& of) const;
    // From the end of the surge until `share` of what is offered completes
    // at the first try, over half a second. None: not within the trace.
    [[nodiscard]] std::optional<duration>
    recovery(const trace& of, double share) const;
};

// Whether the callers got what the trace states, and what they got.
struct outcome_check
{
    trace_outcome expected;
    double measured = 0;
    bool met = false;
};

[[nodiscard]] std::vector<outcome_check>
check_outcomes(const trace& of, const report& actual);

// Recovery means that this share of what is offered completes at once.
inline constexpr double recovered_share = 0.95;

} // namespace nutmegusher::bench

#endif
