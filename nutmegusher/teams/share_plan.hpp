// Computes at which rate teams are cut while requests are shed: the owner's
// part of the fair shares, see `fair_cut` for the daemon's.
//
//     share_plan plan(now);
//     plan.on_request(request, now);          // a daemon's quota exchange
//     plan.add_cuts(request, reply, now);
//
// Pattern of load: one team sends several times its usual, at all daemons at
// once, while a service has less room than is asked for. Each daemon sees a
// small part of each team, so it sheds the same share of all teams, and the
// requests of small teams are lost to the large one's surge.
//
// - Max-min fairness: the cut is the rate at which teams that ask for more are
//   limited so that the share to be shed is lost in all. Who asks for less
//   loses nothing.
// - Each rank has a cut of its own.
// - The share that is shed differs between daemons and changes faster than they
//   exchange, so they get the cut as a function of it.
// - A small team's requests in a second fluctuate by as much as it asks for, so
//   its rate is that of a longer window. A surge shows in a short one.
// - Rates decay within seconds, so a daemon that is lost no longer counts. A
// new
//   owner states no cut before `learning_time`.
#ifndef NUTMEGUSHER_TEAMS_SHARE_PLAN_HPP
#define NUTMEGUSHER_TEAMS_SHARE_PLAN_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/quota.pb.h"
#include "nutmegusher/teams/demand_meter.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegusher
{

// A cut is stated for each of the shares 0, 1/16, 2/16 and so on of a rank's
// requests that may have to be shed.
inline constexpr std::size_t cut_points = 16;

// Returns the rate at which the demands have to be limited so that the share of
// their sum remains. Requires: ascending order, `remaining` in [0, 1].
[[nodiscard]] double
max_min_cut(std::span<const double> ascending_rates, double remaining);

// One team and rank, for the state dump and the log.
struct team_share
{
    team_rank of;
    // Requests a second over all daemons: asked for, and admitted at the share
    // that daemons shed now.
    double demand = 0;
    double admitted = 0;
    // Requests that were shed since this host became the owner.
    std::uint64_t shed = 0;
};

class share_plan
{
public:
    explicit share_plan(time_point now);

    // Applies the demand that a daemon reports.
    void on_request(const messages::quota_request& request, time_point now);

    // Adds the cuts of all ranks, and the rates of the teams that the request
    // names. Adds nothing if the daemon sheds nothing, or before
    // `learning_time`.
    void add_cuts(
        const messages::quota_request& request,
        messages::quota_reply& to,
        time_point now);

    // All teams that are known, by team and rank.
    [[nodiscard]] std::vector<team_share> state(time_point now) const;

    static constexpr duration learning_time = std::chrono::milliseconds(500);
    // How long a share that a daemon sheds counts.
    static constexpr duration shed_lifetime = std::chrono::seconds(1);

private:
    struct team_rate
    {
        // Requests a second over a short and over a long window, as of `at`.
        double recent = 0;
        double usual = 0;
        // When the long window began.
        time_point since;
        time_point at;
        std::uint64_t shed = 0;
    };

    struct reported_count
    {
        std::uint64_t requests = 0;
        std::uint64_t shed = 0;
    };

    struct daemon_counts
    {
        std::uint64_t incarnation = 0;
        std::map<team_rank, reported_count> counts;
        time_point last;
    };

    struct rank_shed
    {
        double share = 0;
        time_point at;
    };

    struct rank_curve
    {
        double demand = 0;
        std::vector<double> cuts;
    };

    static void decay(team_rate& of, time_point now);
    [[nodiscard]] static double rate_of(team_rate of, time_point now);
    static void restart_after_change(team_rate& of, time_point now);
    void apply(
        daemon_counts& from,
        const messages::team_demand& demand,
        bool is_first,
        time_point now);
    void forget_idle(time_point now);
    void update_curves(time_point now);
    [[nodiscard]] double shed_share(std::uint8_t rank, time_point now) const;

    time_point since_;
    std::map<team_rank, team_rate> teams_;
    std::unordered_map<std::string, daemon_counts> daemons_;
    // The largest share that a daemon sheds of each rank.
    std::map<std::uint8_t, rank_shed> sheds_;
    std::map<std::uint8_t, rank_curve> curves_;
    time_point curves_at_;
    time_point forgot_at_;
};

} // namespace nutmegusher

#endif
