// Validates the teams of a route document.
#ifndef NUTMEGUSHER_CONTROL_TEAM_CHECK_HPP
#define NUTMEGUSHER_CONTROL_TEAM_CHECK_HPP

#include "nutmegusher/control/configuration_check.hpp"
#include "nutmegusher/messages/configuration.pb.h"

#include <optional>

namespace nutmegusher
{

// Returns the first problem; no value if each team has a name of its own, keys
// that aren't empty and that no other team has and it has only once, and an
// quota of finite numbers of at least 0. Fields name teams, never keys.
[[nodiscard]] std::optional<configuration_problem>
check_teams(const messages::route_document& document);

} // namespace nutmegusher

#endif
