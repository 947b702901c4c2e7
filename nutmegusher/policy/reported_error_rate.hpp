// The error rate that an upstream last reported to this caller, and its cost in
// routing.
//
//     reported_error_rate errors;
//     errors.on_report(load.errors, calls_sent, now);
//     const double cost = queueing_cost + errors.cost(calls_sent, now);
//
// Pattern of load: see `error_meter`. An upstream reports its error rate only
// with its answers, so a caller that avoids it gets no new report. If the
// report simply expired, the caller would send it all of its calls at once.
// Instead the report is kept until it is due for a check, and then a single
// call checks it.
#ifndef NUTMEGUSHER_POLICY_REPORTED_ERROR_RATE_HPP
#define NUTMEGUSHER_POLICY_REPORTED_ERROR_RATE_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstdint>

namespace nutmegusher::internal
{

class reported_error_rate
{
public:
    // A report arrived. `error_rate`: share of the upstream's answers that are
    // its own errors, in [0, 1]. `sent`: calls sent to the whole service so
    // far.
    void on_report(double error_rate, std::uint64_t sent, time_point now);

    // A call was sent to the upstream; its answer will bring a new report, so
    // the next check is postponed.
    void on_start(std::uint64_t sent, time_point now);

    // Cost of sending a call to the upstream due to its errors, in seconds of
    // waiting; 0 when a check is due.
    [[nodiscard]] double cost(std::uint64_t sent, time_point now) const;

    // A failed call costs its caller as much as a late one; the users' latency
    // targets lie between 0.1 and 1.5 s. An error rate of a tenth then
    // outweighs a queue at the other upstreams as long as this one's own
    // service time, and an error rate of 1 outweighs any queue that isn't
    // refused.
    static constexpr double failed_call_seconds = 1.0;

    // A report is checked after this many calls to other upstreams of the
    // service, but no sooner than `min_check_interval`: at hundreds of calls a
    // second, one a second is risked.
    static constexpr std::uint64_t calls_between_checks = 50;
    static constexpr duration min_check_interval = std::chrono::seconds(1);
    // Callers with few calls detect a recovery after this time at the latest.
    static constexpr duration max_check_interval = std::chrono::seconds(10);

    // An error rate below this is attributed to the calls themselves: in the
    // users' classes 4 calls in 1,000 fail at any upstream.
    static constexpr double min_error_rate = 0.05;

private:
    double error_rate_ = 0;
    std::uint64_t reported_at_call_ = 0;
    time_point reported_at_;
};

} // namespace nutmegusher::internal

#endif
