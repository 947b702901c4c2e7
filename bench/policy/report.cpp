#include "bench/policy/report.hpp"

#include <algorithm>
#include <numeric>

namespace nutmegusher::bench
{

namespace
{

// Consecutive good slices of 100 ms (half a second) that count as recovery.
constexpr std::size_t good_slices = 5;

double
measure(const trace_outcome& expected, const trace& load, const report& actual)
{
    const class_report& class_counts = actual.classes[expected.work_class];
    switch (expected.kind)
    {
    case outcome_kind::served:
        return class_counts.in_surge.share();
    case outcome_kind::others:
        return class_counts.other_customers_in_surge.share();
    case outcome_kind::recovery:
    {
        const auto took = actual.recovery(load, recovered_share);
        return std::chrono::duration<double, std::milli>(
                   took.value_or(load.end))
            .count();
    }
    case outcome_kind::tries:
        break;
    }
    return actual.tries_per_call();
}

bool is_share(outcome_kind kind)
{
    return kind == outcome_kind::served || kind == outcome_kind::others;
}

} // namespace

std::vector<outcome_check>
check_outcomes(const trace& load, const report& actual)
{
    std::vector<outcome_check> checks;
    for (const trace_outcome& expected : load.outcomes)
    {
        const double measured = measure(expected, load, actual);
        const bool met = is_share(expected.kind) ? measured >= expected.bound
                                                 : measured <= expected.bound;
        checks.push_back({expected, measured, met});
    }
    return checks;
}

double served::share() const
{
    return offered == 0
               ? 1.0
               : static_cast<double>(completed) / static_cast<double>(offered);
}

double class_report::latency(double quantile) const
{
    if (latencies.empty())
    {
        return 0;
    }
    std::vector<double> sorted = latencies;
    const auto index = static_cast<std::ptrdiff_t>(
        quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
    return sorted[static_cast<std::size_t>(index)];
}

double report::tries_per_call() const
{
    const auto sum = [](const std::vector<std::uint64_t>& counts)
    {
        return static_cast<double>(
            std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}));
    };
    const double first = sum(first_calls_by_depth);
    return first == 0 ? 1.0 : sum(calls_by_depth) / first;
}

double report::surge_goodput(const trace& load) const
{
    const double seconds =
        std::chrono::duration<double>(load.surge_to - load.surge_from).count();
    return seconds <= 0 ? 0
                        : static_cast<double>(completed_during_surge) / seconds;
}

std::optional<duration> report::recovery(const trace& load, double share) const
{
    const auto first = static_cast<std::size_t>(load.surge_to / slice);
    std::size_t good = 0;
    for (std::size_t index = first; index < slices.size(); ++index)
    {
        const time_slice& current_slice = slices[index];
        const bool recovered =
            static_cast<double>(current_slice.at_first_try) >=
            share * static_cast<double>(current_slice.all.offered);
        good = recovered ? good + 1 : 0;
        if (good == good_slices)
        {
            return slice * static_cast<std::int64_t>(index + 1 - good - first);
        }
    }
    return std::nullopt;
}

} // namespace nutmegusher::bench
