// Counts the requests of each team and rank that a daemon was asked for, for
// the exchange with the owner of the quotas; see `share_plan`.
//
//     meter.on_request(team, rank);
//     meter.on_shed(team, rank);            // one of them was refused
//     meter.report(request, now);           // adds to the next exchange
//
// Counts only grow while the daemon runs, so a request or a reply that is lost
// loses no demand and counts none twice.
#ifndef NUTMEGUSHER_TEAMS_DEMAND_METER_HPP
#define NUTMEGUSHER_TEAMS_DEMAND_METER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/quota.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace nutmegusher
{

// A team's requests of one rank.
struct team_rank
{
    // Empty: requests without a key.
    std::string team;
    std::uint8_t rank = 0;

    friend auto operator<=>(const team_rank&, const team_rank&) = default;
};

class demand_meter
{
public:
    // A request that holds a token of its team, if the team has a quota.
    void on_request(const team_rank& of, time_point now);

    // One of these requests was shed.
    void on_shed(const team_rank& of);

    // Adds the counts of all teams with a request within `retention`.
    void report(messages::quota_request& to, time_point now);

    // Number of teams and ranks that are tracked.
    [[nodiscard]] std::size_t size() const
    {
        return counts_.size();
    }

    // Longer than the owner's memory of a team's rate, so that a count that is
    // forgotten and begins again isn't taken for an old one.
    static constexpr duration retention = std::chrono::seconds(10);

private:
    struct count
    {
        std::uint64_t requests = 0;
        std::uint64_t shed = 0;
        time_point last;
    };

    std::map<team_rank, count> counts_;
};

} // namespace nutmegusher

#endif
