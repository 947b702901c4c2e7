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

private:
    struct counts
    {
        service_name main_caller;
        std::size_t from_main = 0;
        std::size_t from_others = 0;
    };

    std::unordered_map<std::uint64_t, counts> by_route_;
    // Calls by calling service, over all routes.
    std::unordered_map<service_name, std::size_t> calls_by_caller_;
};

} // namespace nutmegusher

#endif
