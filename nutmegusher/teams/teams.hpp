// Teams: callers that share keys, a rank and an allotment of requests.
//
// - `bearer_key`, `key_digest`: which key a request carries.
// - `team_table`: the team of a key.
// - `rank_scale`: the rank of a request from those of its team and its route.
// - `allotment_owner`, `allotment_holder`: keep the requests of a team over all
//   daemons within its allotment.
//
// No network, threads or clock reads. The classes aren't thread-safe, but for
// the immutable ones.
#ifndef NUTMEGUSHER_TEAMS_TEAMS_HPP
#define NUTMEGUSHER_TEAMS_TEAMS_HPP

#include "nutmegusher/teams/allotment.hpp"
#include "nutmegusher/teams/allotment_holder.hpp"
#include "nutmegusher/teams/allotment_owner.hpp"
#include "nutmegusher/teams/authorization.hpp"
#include "nutmegusher/teams/key_digest.hpp"
#include "nutmegusher/teams/rank_scale.hpp"
#include "nutmegusher/teams/team_table.hpp"

#endif
