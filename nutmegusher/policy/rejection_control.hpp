// Computes for which share of the requests the allowed repeats don't suffice,
// where the upstreams of a called service reject calls. `path_shares` decides
// which of them are refused.
//
//     control.on_attempt(was_rejected, now);   // each arrival at an upstream
//     if (was_rejected)
//         control.on_repeat(window.take(0, now), now);   // allowed or denied
//     report(control.refused_share(ratio, now));
//
// Pattern of load: all upstreams of a service reject half of their calls for
// seconds, though they have free slots. Requests that need several calls are
// let in, run for a second and fail. With the share r of rejected arrivals a
// call needs r / (1 - r) repeats, so repeats for a ratio of all calls pay for
// the share ratio * (1 - r) / r of the requests.
//
// - That share is known as soon as the rejections are, so no controller has to
//   search for it: the fault lasts only a few times as long as a request.
// - Requests differ in the calls that they need and ranks in the requests, so
//   a correction lowers the share while repeats are denied and raises it while
//   they are left over.
// - It falls to 0 with the share of rejected arrivals, within half a second,
// and
//   while no call arrives. Requests that are still let in bring the evidence.
#ifndef NUTMEGUSHER_POLICY_REJECTION_CONTROL_HPP
#define NUTMEGUSHER_POLICY_REJECTION_CONTROL_HPP

#include "nutmegusher/base/clock.hpp"

namespace nutmegusher
{

class rejection_control
{
public:
    // An arrival of a call at an upstream has ended; `rejected`: without a run.
    void on_attempt(bool rejected, time_point now);

    // A rejected call was repeated (`allowed`), or might not be.
    void on_repeat(bool allowed, time_point now);

    // The share of recent arrivals that were rejected, in [0, 1]; 0 after too
    // few arrivals.
    [[nodiscard]] double rejected_share(time_point now) const;

    // The share of the requests that need the service to refuse, in [0, 1).
    // `ratio`: allowed repeats per call.
    [[nodiscard]] double refused_share(double ratio, time_point now) const;

    // Upstreams that run out of slots for a moment reject a few calls, and
    // their repeats are within every allowance.
    static constexpr double min_rejected_share = 0.1;

private:
    void decay(time_point now);
    [[nodiscard]] double kept_share(time_point now) const;

    // Exponentially decaying counts.
    double arrivals_ = 0;
    double rejected_ = 0;
    time_point at_;
    double correction_ = 1;
};

} // namespace nutmegusher

#endif
