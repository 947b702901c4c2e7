// A stable part of a large service.
#ifndef NUTMEGUSHER_MEMBERSHIP_SUBSET_HPP
#define NUTMEGUSHER_MEMBERSHIP_SUBSET_HPP

#include "nutmegusher/base/base.hpp"

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace nutmegusher
{

// Where a daemon is.
struct locality
{
    data_center_name data_center;
    region_name region;

    friend bool operator==(const locality&, const locality&) = default;
};

struct subset_options
{
    // How many upstreams of one service a daemon connects to. Bounds its
    // connections and what it must watch.
    std::size_t max_size = 20;
    // So many of them are outside the own data centre, so that its loss leaves
    // somewhere to go.
    std::size_t max_far = 5;
};

// One upstream that may be chosen.
struct subset_candidate
{
    std::string_view host;
    locality at;
};

// Chooses by rendezvous hashing with the chooser's name as the seed: each
// chooser gets others, so that the load spreads, and a change of one candidate
// changes at most two of those that are chosen.
//
// First come those of the own data centre, then those of the own region, then
// the rest. Gives positions in `candidates`, in that order.
[[nodiscard]] std::vector<std::size_t> choose_subset(
    const host_id& self,
    const locality& own_locality,
    std::span<const subset_candidate> candidates,
    const subset_options& options);

} // namespace nutmegusher

#endif
