// Teams: callers that share keys, a rank and a quota of requests.
//
// - `bearer_key`, `key_digest`: which key a request carries.
// - `team_table`: the team of a key.
// - `rank_scale`: the rank of a request from those of its team and its route.
// - `quota_owner`, `quota_holder`: keep the requests of a team over all
//   daemons within its quota.
// - `demand_meter`, `share_plan`, `fair_cut`: divide what must be shed fairly
//   between teams.
//
// No network, threads or clock reads. The classes aren't thread-safe, but for
// the immutable ones.
#ifndef NUTMEGUSHER_TEAMS_TEAMS_HPP
#define NUTMEGUSHER_TEAMS_TEAMS_HPP

#include "nutmegusher/teams/authorization.hpp"
#include "nutmegusher/teams/demand_meter.hpp"
#include "nutmegusher/teams/fair_cut.hpp"
#include "nutmegusher/teams/key_digest.hpp"
#include "nutmegusher/teams/quota.hpp"
#include "nutmegusher/teams/quota_holder.hpp"
#include "nutmegusher/teams/quota_owner.hpp"
#include "nutmegusher/teams/rank_scale.hpp"
#include "nutmegusher/teams/share_plan.hpp"
#include "nutmegusher/teams/team_table.hpp"

#endif
