// Which of the routes that run at an upstream make it call other services.
//
//     attribution.on_start(route, now);  attribution.on_end(route, now);
//     attribution.on_sub_call("balances", now);
//     if (attribution.leads_to(route, "balances")) ...
//
// Pattern of load: a deep service is full. Of the routes of a service above it
// some need it and some don't; a sub-call doesn't say which request it is a
// part of. Without this all routes of the service above were turned away alike,
// and a download that needs nothing below was served 0.49 of its worth.
//
// Sub-calls come while their request runs: each is shared out over the routes
// that run at its moment, by how often they have made one so far. The shares
// find the routes' rates by expectation and maximization, one call at a time.
#ifndef NUTMEGUSHER_POLICY_CALL_ATTRIBUTION_HPP
#define NUTMEGUSHER_POLICY_CALL_ATTRIBUTION_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/identifier.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace nutmegusher
{

class call_attribution
{
public:
    // A call of the route begins to run at the upstream.
    void on_start(std::uint64_t route, time_point now);
    void on_end(std::uint64_t route, time_point now);

    // The upstream calls the service.
    void on_sub_call(const service_name& called, time_point now);

    // Whether calls of the route make the upstream call the service. True
    // also while too little was seen.
    [[nodiscard]] bool
    leads_to(std::uint64_t route, const service_name& called) const;

    // A route that causes less than this share of a sub-call for each of its
    // calls doesn't lead there.
    static constexpr double least_calls = 0.25;
    // Before so many calls of a route and sub-calls nothing is told.
    static constexpr double least_seen = 30;

private:
    // Sums that halve every `half_life`, so that a changed call graph shows.
    struct route_counts
    {
        std::size_t running = 0;
        // Running calls times seconds.
        double exposure = 0;
        double starts = 0;
        // Sub-calls shared out to the route, by service.
        std::map<service_name, double> calls;
    };

    void advance(time_point now);
    [[nodiscard]] static double
    rate(const route_counts& of, const service_name& called);

    static constexpr duration half_life = std::chrono::seconds(20);

    std::unordered_map<std::uint64_t, route_counts> routes_;
    std::map<service_name, double> sub_calls_;
    time_point at_;
};

} // namespace nutmegusher

#endif
