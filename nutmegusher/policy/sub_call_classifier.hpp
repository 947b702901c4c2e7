// Distinguishes routes that only upstreams call (sub-calls) from routes that
// members and clerks call, by the services from whose hosts calls come.
//
//     classifier.record(route, caller_service);
//     if (classifier.is_sub_call(route)) ...
//
// Pattern of load: a saturated service must not refuse a sub-call of a request
// that other services have already worked on, but nothing in a sub-call marks
// it as one. Members and clerks call from the hosts of every service; an
// upstream's calls come only from the hosts of its own service.
//
// A route may be called by the upstreams of several services, as its requests
// may go to more than one. While it counted as a route of members for that, its
// calls were shed in the middle of their requests.
#ifndef NUTMEGUSHER_POLICY_SUB_CALL_CLASSIFIER_HPP
#define NUTMEGUSHER_POLICY_SUB_CALL_CLASSIFIER_HPP

#include "nutmegusher/base/identifier.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace nutmegusher
{

class sub_call_classifier
{
public:
    // Records a call of the route that came from a host of the service
    // `caller`.
    void record(std::uint64_t route, const service_name& caller);

    // Whether the route is called only by upstreams. False if too few calls
    // were recorded.
    [[nodiscard]] bool is_sub_call(std::uint64_t route) const;

    // With four services, the chance that a members' route gets this many calls
    // in a row from the hosts of one service is 1 in 4^19. The users' smallest
    // route reaches this number within seconds.
    static constexpr std::size_t min_calls = 20;

    // Maximum share of a sub-call route's calls that may come from other
    // services: addresses are reused by other services, and hosts change
    // theirs.
    static constexpr double max_other_share = 0.02;

    // A route with this many calls of which at most `max_absent_share` come
    // from the hosts of some service is called only by upstreams, of whichever
    // others. The users' smallest service has 1 in 40 of the hosts, so 10 such
    // calls of a members' route are expected.
    static constexpr std::size_t min_calls_of_many = 400;
    static constexpr double max_absent_share = 0.005;
    // A service that has made fewer calls may have just joined.
    static constexpr std::size_t min_calls_of_service = 20;

private:
    struct counts
    {
        std::unordered_map<service_name, std::size_t> by_caller;
        std::size_t all = 0;
    };

    [[nodiscard]] bool lacks_a_service(const counts& of) const;

    std::unordered_map<std::uint64_t, counts> by_route_;
    // Calls by calling service, over all routes.
    std::unordered_map<service_name, std::size_t> calls_by_caller_;
};

} // namespace nutmegusher

#endif
