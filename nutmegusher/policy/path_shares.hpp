// Divides what must be refused of all requests on a call path over the ranks.
//
//     shares.on_request(rank, now);      // one that needs the service
//     const double share = shares.refused_share(rank, refused_of_all);
//     if (share > fraction) refuse();
//
// Pattern of load: a service further down can complete only a part of the
// requests that need it; see `rejection_control`. If each rank lost the same
// part, the most important requests would fail for the sake of others.
//
// - The worst rank is refused first, at most `max_refused` of it, so that calls
//   arrive which show when the fault has ended.
// - The best rank isn't refused. If repeats don't suffice for all of its
//   requests, those complete whose calls happen to pass, which takes fewer
//   repeats for each than completing requests that were chosen before.
// - Counts decay with `half_life`, so a rank without requests doesn't count.
#ifndef NUTMEGUSHER_POLICY_PATH_SHARES_HPP
#define NUTMEGUSHER_POLICY_PATH_SHARES_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/policy/call.hpp"

#include <array>
#include <cstdint>

namespace nutmegusher
{

class path_shares
{
public:
    void on_request(std::uint8_t rank, time_point now);

    // The share of the rank's requests to refuse, in [0, `max_refused`].
    // `refused_of_all`: the share of the requests of all ranks, in [0, 1].
    [[nodiscard]] double
    refused_share(std::uint8_t rank, double refused_of_all) const;

    static constexpr double max_refused = 0.95;

    // Spans several bursts of callers, and ends before the mix has changed
    // much.
    static constexpr duration half_life = std::chrono::seconds(5);

private:
    // Decaying numbers of requests, all as of `at_`.
    std::array<double, rank_count> requests_{};
    time_point at_;
};

} // namespace nutmegusher

#endif
