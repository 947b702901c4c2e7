// Tells routes that only upstreams call from those of members and clerks.
//
//     classifier.record(route, caller_service);
//     if (classifier.is_sub_call(route)) ...
//
// Pattern of load: a saturated service must not refuse a part of a request
// that others have worked on, but nothing in a sub-call says that it is one.
// Members and clerks call from the hosts of every service; an upstream's calls
// come from the hosts of its own service alone.
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
    // A call of the route came from a host of the service.
    void record(std::uint64_t route, const service_name& caller);

    // False where too few calls were seen.
    [[nodiscard]] bool is_sub_call(std::uint64_t route) const;

    // With four services, a route of members comes from one of them so many
    // times in a row once in 4^19; the users' smallest route shows it within
    // seconds.
    static constexpr std::size_t min_calls = 20;

    // Of the calls that may come from elsewhere: addresses are used again by
    // other services, and hosts change theirs.
    static constexpr double max_other_share = 0.02;

private:
    struct counts
    {
        service_name main_caller;
        std::size_t from_main = 0;
        std::size_t from_others = 0;
    };

    std::unordered_map<std::uint64_t, counts> by_route_;
    // How many different services called at all.
    std::unordered_map<service_name, std::size_t> callers_;
};

} // namespace nutmegusher

#endif
