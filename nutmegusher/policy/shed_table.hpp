// The shed levels of the services on each call path, as an entry received them.
//
//     table.record(route, {"balances", 0.4}, now);  // from an answer
//     const auto level = table.level(route, now);
//     if (is_shed(level, ranks_below, fraction)) refuse();
//
// Pattern of load: see `shed_control`. Without the table each entry would have
// to be configured with the whole call graph; with it, answers report the
// levels of the services that they passed through.
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

// What a service has too little of.
enum class shed_cause : std::uint8_t
{
    // Slots of its upstreams.
    slots,
    // Repeats of calls that its upstreams reject; see `rejection_control`.
    repeats
};

// What one service asks the entries to shed.
struct shed_level
{
    service_name service;
    // For slots: in units of ranks, see `shed_control`. For repeats: a share of
    // the requests of all ranks, see `path_shares`.
    double level = 0;
    shed_cause cause = shed_cause::slots;
};

class shed_table
{
public:
    // Records the level of a service on the call path, received with an answer.
    // `call_path` identifies what was called: a route or a service.
    void
    record(std::uint64_t call_path, const shed_level& from, time_point now);

    // The highest level of the cause on the call path; 0 if none was received
    // recently.
    [[nodiscard]] double level(
        std::uint64_t call_path,
        time_point now,
        shed_cause cause = shed_cause::slots) const;

    // All levels of services on the call path that were received recently.
    [[nodiscard]] std::vector<shed_level>
    levels(std::uint64_t call_path, time_point now) const;

    // An older level is ignored: without load, a level falls by so much in this
    // time, and with load, answers report it many times a second.
    static constexpr duration level_lifetime = std::chrono::seconds(2);

    // How long a service counts as part of a call path after its level was last
    // received there.
    static constexpr duration path_lifetime = std::chrono::seconds(30);

    // The weight of one answer in the average: each upstream of a service has
    // its own level, and entries should follow their mean.
    static constexpr double sample_weight = 0.2;

private:
    struct reported_level
    {
        double level = 0;
        time_point at;
    };

    struct source
    {
        service_name service;
        shed_cause cause = shed_cause::slots;

        friend auto operator<=>(const source&, const source&) = default;
    };

    // One level per source, whichever call path reported it: if all requests
    // of a route are shed, only answers on other routes show that the level has
    // fallen.
    std::map<source, reported_level> levels_;
    // When each source last reported a level on each call path.
    std::map<std::pair<std::uint64_t, source>, time_point> path_sources_;
};

// Whether a request is shed at a level. `ranks_below`: the number of ranks
// below its own. `fraction`: the request's own number in [0, 1).
[[nodiscard]] bool
is_shed(double level, std::size_t ranks_below, double fraction);

} // namespace nutmegusher

#endif
