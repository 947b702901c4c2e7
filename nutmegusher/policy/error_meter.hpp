// Measures the share of an upstream's answers that are its own errors.
//
//     meter.on_answer(caller_data_center, status >= 500, now);
//     meter.on_failed_call(now);     // a call that the upstream made failed
//     report(meter.share(caller_data_center, now));
//
// Pattern of load: one upstream of a service quickly fails part of its calls,
// while its health endpoint reports it healthy. Failing takes no time, so it
// looks like the least loaded upstream and attracts calls from the others. If a
// request needs four calls of the service, one failing upstream of five
// affects six requests in ten.
//
// The daemon beside the upstream sees all of its answers, while each caller
// sees only a few. So that daemon has the meter and reports its value with
// every answer.
//
// - An upstream also answers with an error if one of its sub-calls failed.
//   These errors are subtracted: otherwise a fault of a downstream service
//   would look like a fault of all upstreams.
// - Errors are counted per data centre of the callers: an upstream may fail the
//   calls of one data centre only.
// - A few answers aren't significant: see `min_answers`.
#ifndef NUTMEGUSHER_POLICY_ERROR_METER_HPP
#define NUTMEGUSHER_POLICY_ERROR_METER_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/identifier.hpp"

#include <map>

namespace nutmegusher
{

class error_meter
{
public:
    // The upstream answered a call that came from the data centre.
    void on_answer(const data_center_name& from, bool error, time_point now);

    // A call that the upstream made failed or was refused.
    void on_failed_call(time_point now);

    // Share of the answers over the last few seconds that are the upstream's
    // own errors, in [0, 1], for callers in the data centre. If these got too
    // few answers, over all data centres; 0 if these are too few as well.
    [[nodiscard]] double
    share(const data_center_name& from, time_point now) const;

    // Minimum number of recent answers. In the users' classes 4 calls in 1,000
    // fail at any upstream; two of five do so once in 6,000 times.
    static constexpr double min_answers = 5;

    // Half-life of the counts, short enough that a recovery is reported within
    // the few seconds in which service must be restored.
    static constexpr duration half_life = std::chrono::seconds(1);

private:
    // Exponentially decaying counts; `at`: when they were last decayed.
    struct counts
    {
        double answers = 0;
        double errors = 0;
        double failed_calls = 0;
        time_point at;

        void decay(time_point now);
    };

    [[nodiscard]] double own_error_fraction(time_point now) const;

    counts all_;
    std::map<data_center_name, counts> by_origin_;
};

} // namespace nutmegusher

#endif
