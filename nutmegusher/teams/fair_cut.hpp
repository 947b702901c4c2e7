// Decides which share of a team's requests a daemon sheds: the daemon's part of
// the fair shares, see `share_plan` for the owner's.
//
//     cut.on_reply(reply, now);
//     const double share = cut.shed_share({team, rank}, shed_share, now);
//     if (share > fraction) refuse();
//
// A team that asks for less than the cut loses nothing; another one loses what
// it asks for beyond it. Without a recent reply of the owner each team loses
// the same share, as without fair shares.
#ifndef NUTMEGUSHER_TEAMS_FAIR_CUT_HPP
#define NUTMEGUSHER_TEAMS_FAIR_CUT_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/quota.pb.h"
#include "nutmegusher/teams/demand_meter.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace nutmegusher
{

class fair_cut
{
public:
    // Applies the cuts of a reply; one without cuts changes nothing.
    void on_reply(const messages::quota_reply& reply, time_point now);

    // The share of the team's requests to shed, in [0, 1], if `share` of all
    // requests of the rank is to be shed.
    [[nodiscard]] double
    shed_share(const team_rank& of, double share, time_point now) const;

    // How long a cut is used without another reply. Demand changes within
    // seconds, and a cut for another demand sheds too much or too little.
    static constexpr duration lifetime = std::chrono::seconds(2);

private:
    // In requests a second over all daemons.
    struct rank_cut
    {
        // See `cut_points`. Not empty.
        std::vector<double> cuts;
    };

    [[nodiscard]] static double cut_at(const rank_cut& of, double share);

    std::map<std::uint8_t, rank_cut> ranks_;
    std::map<team_rank, double> rates_;
    time_point received_at_;
};

} // namespace nutmegusher

#endif
