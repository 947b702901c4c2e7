// Validates a route document by itself.
#ifndef NUTMEGUSHER_CONTROL_ROUTE_CHECK_HPP
#define NUTMEGUSHER_CONTROL_ROUTE_CHECK_HPP

#include "nutmegusher/control/configuration_check.hpp"
#include "nutmegusher/messages/configuration.pb.h"

#include <optional>

namespace nutmegusher
{

// Returns the first problem; no value if the document is well formed: every
// route has a host, a prefix between slashes that no other route of its host
// has, a deadline, at least one try, and destinations that the document
// declares, with weights that aren't negative and not all zero, and its teams
// pass `check_teams`. Whether it follows the present document is checked by
// `configuration_store`.
[[nodiscard]] std::optional<configuration_problem>
check_routes(const messages::route_document& document);

} // namespace nutmegusher

#endif
