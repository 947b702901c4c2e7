// What the services on the way of a request want turned away, as an entry has
// heard it.
//
//     table.record(route, {"balances", 0.4}, now);  // answers tell
//     if (is_shed(table.level(route, now), ranks_below, fraction)) refuse();
//
// Pattern of load: see `shed_control`. Without the board each entry would have
// to be told of the whole call graph; with it an answer brings what lies on
// the way that it has come.
#ifndef NUTMEGUSHER_POLICY_SHED_TABLE_HPP
#define NUTMEGUSHER_POLICY_SHED_TABLE_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/identifier.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace nutmegusher
{

// One service's level.
struct shed_level
{
    service_name service;
    double level = 0;
};

class shed_table
{
public:
    // An answer brought the level of a service on the way. `call_path`: names
    // what was asked, a route or a called service.
    void
    record(std::uint64_t call_path, const shed_level& from, time_point now);

    // The highest level on the way; 0 where nothing was heard lately.
    [[nodiscard]] double level(std::uint64_t call_path, time_point now) const;

    // All levels heard lately on the way.
    [[nodiscard]] std::vector<shed_level>
    levels(std::uint64_t call_path, time_point now) const;

    // A level that was heard longer ago than this says nothing: it falls by
    // that much without load, and calls that bring it come many a second.
    static constexpr duration level_lifetime = std::chrono::seconds(2);

    // How long a service is taken to be on a way on which it was seen.
    static constexpr duration path_lifetime = std::chrono::seconds(30);

    // The weight of one answer: each upstream of a service has a level of its
    // own, and entries are to follow their mean.
    static constexpr double sample_weight = 0.2;

private:
    struct reported_level
    {
        double level = 0;
        time_point at;
    };

    // One level a service, whichever way it came: where all of a route is
    // turned away, no answer of the route tells that the level has fallen.
    std::map<service_name, reported_level> levels_;
    // When each service was last seen on each way.
    std::map<std::pair<std::uint64_t, service_name>, time_point> path_services_;
};

// Whether a request is turned away at a level. `ranks_below`: how many ranks
// there are below its own. `fraction`: its own number in [0, 1).
[[nodiscard]] bool
is_shed(double level, std::size_t ranks_below, double fraction);

} // namespace nutmegusher

#endif
