// Chooses a stable subset of the upstreams of a large service.
#ifndef NUTMEGUSHER_MEMBERSHIP_SUBSET_HPP
#define NUTMEGUSHER_MEMBERSHIP_SUBSET_HPP

#include "nutmegusher/base/base.hpp"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace nutmegusher
{

// The data centre and region of a host.
struct locality
{
    data_center_name data_center;
    region_name region;

    friend bool operator==(const locality&, const locality&) = default;
};

struct subset_options
{
    // The most upstreams of one service that a daemon connects to. Bounds its
    // connections and the number of upstreams that it monitors.
    std::size_t max_size = 20;
    // How many of them are reserved for upstreams outside the daemon's own data
    // centre, so that some remain reachable when that data centre is lost.
    std::size_t max_far = 5;
};

// An upstream that may be chosen.
struct subset_candidate
{
    std::string_view host;
    locality at;
};

// Chooses candidates by rendezvous hashing with the name of `self` as the seed.
// Each daemon gets a different subset, so the load spreads over all upstreams.
// Adding or removing one candidate changes at most two of the chosen ones.
//
// Candidates in the own data centre come first, then those in the own region,
// then the rest. Returns indices into `candidates`, in that order.
[[nodiscard]] std::vector<std::size_t> choose_subset(
    const host_id& self,
    const locality& own_locality,
    std::span<const subset_candidate> candidates,
    const subset_options& options);

} // namespace nutmegusher

#endif
