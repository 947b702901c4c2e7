// Counters of what the daemon's decisions do, beside those of requests.
//
//     counters.add(decision_counter::repeats_denied, service.str());
#ifndef NUTMEGUSHER_NODE_DECISION_COUNTERS_HPP
#define NUTMEGUSHER_NODE_DECISION_COUNTERS_HPP

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace nutmegusher::node
{

// Each counts by one label, named here in brackets.
enum class decision_counter : std::uint8_t
{
    // Reports of upstreams that were rejected as malformed [reason].
    upstream_reports_rejected,
    // Load fields in answers of upstreams that couldn't be read [service].
    load_fields_malformed,
    // Repeats of calls that an upstream rejected, sent or not for want of an
    // allowance [service].
    repeats_allowed,
    repeats_denied,
    // Requests shed by their team's cut [team].
    team_requests_shed,
    // Refused requests that were promised a time, that returned in it, and that
    // were told a time without a promise [rank].
    returns_promised,
    returns_kept,
    returns_not_promised,
    // Connections that ended for new ones, and new ones that were closed, as
    // there were as many as there may be [listener].
    connections_ended,
    connections_refused,
    // Requests that weren't handed to an upstream, as they might have outlasted
    // this process's stop [side].
    requests_outlasting_stop,
    // Requests whose work the end of a stop interrupted [side].
    requests_given_up,
};

// Thread-safe.
class decision_counters
{
public:
    void
    add(decision_counter counter,
        std::string_view label,
        std::uint64_t number = 1);

    // In the Prometheus text exposition format.
    [[nodiscard]] std::string exposition() const;

    [[nodiscard]] boost::json::value dump() const;

    // Values of one counter beyond this number are counted as "other".
    static constexpr std::size_t max_labels = 4096;

private:
    mutable std::mutex mutex_;
    std::
        map<decision_counter, std::map<std::string, std::uint64_t, std::less<>>>
            values_;
};

} // namespace nutmegusher::node

#endif
