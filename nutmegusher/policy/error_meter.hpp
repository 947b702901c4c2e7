// How large a share of an upstream's answers are errors of its own.
//
//     meter.on_answer(caller_data_center, status >= 500, now);
//     meter.on_failed_call(now);     // a call that the upstream made failed
//     tell(meter.share(caller_data_center, now));
//
// Pattern of load: one upstream of a service fails part of its calls, quickly,
// while its health endpoint says that all is well. Failing takes no time, so it
// looks like the least loaded of all and draws the calls of the others. Where a
// request needs four calls of the service, one failing upstream of five takes
// six requests in ten.
//
// The daemon beside the upstream sees all of its answers, while each caller
// sees a few: so the meter is there, and what it says travels with every
// answer.
//
// - An upstream answers with an error, too, when a call that it made has
// failed.
//   These are taken out: a fault behind the service would otherwise look like
//   one of all its upstreams.
// - By the data centre of the callers: an upstream may fail some of them alone.
// - A few answers prove nothing: see `min_answers`.
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

    // In [0, 1], over the last seconds; 0 where too few answers were seen.
    [[nodiscard]] double
    share(const data_center_name& from, time_point now) const;

    // Answers that must have been seen lately. Users' classes fail 4 in 1,000
    // calls by themselves; of five that happens to two once in 6,000 times.
    static constexpr double min_answers = 5;

    // Answers count half after this: an upstream that recovers is told of
    // within the seconds in which service has to be back.
    static constexpr duration half_life = std::chrono::seconds(1);

private:
    // Counts that halve with time.
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
