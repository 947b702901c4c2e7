// When the callers of shed requests come back, and who is let in then.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_RETURNS_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_RETURNS_HPP

#include "nutmegusher/routed/entry_request.hpp"

namespace nutmegusher::routed::internal
{

// The promise of one request, if it has one, and the one that it gets when it
// is shed; see `return_schedule`. Without effect in deployments without teams
// whose upstreams don't report the pace of their hosts.
class request_return
{
public:
    // `shed_share`: the share of the requests of the rank to shed.
    request_return(entry_request& request, double shed_share);

    // Whether the request comes back in the time that it was promised.
    [[nodiscard]] bool is_kept() const
    {
        return is_kept_;
    }

    // The share of requests without a promise to shed.
    [[nodiscard]] double share_for_new() const;

    // When the caller may come back. Requires: the request is refused.
    [[nodiscard]] duration refuse();

private:
    entry_request& request_;
    double shed_share_;
    // Whether the schedule is used for the request.
    bool is_scheduled_;
    std::uint64_t key_ = 0;
    bool is_kept_ = false;
};

// Identifies the content of a request, so that another one with the same
// content has the same value.
[[nodiscard]] std::uint64_t digest_of_content(const entry_request& request);

} // namespace nutmegusher::routed::internal

#endif
