// The classes of the users' association and their load, for end-to-end tests
// and benchmarks.
#ifndef NUTMEGUSHER_TESTING_ASSOCIATION_HPP
#define NUTMEGUSHER_TESTING_ASSOCIATION_HPP

#include "testing/load_client.hpp"
#include "testing/operator_client.hpp"

#include <string>
#include <vector>

namespace nutmegusher::test_support
{

// Payouts, views, fund lookups and statements, from the most to the least
// important rank. Each class has its own service.
[[nodiscard]] std::vector<declared_class> association_classes();

// The same ranks, all in the service "cash", so that they compete for the
// slots of the same upstreams.
[[nodiscard]] std::vector<declared_class> shared_service_classes();

// Load of one of the classes above, `rate` calls a second.
[[nodiscard]] offered_class offered_payout(double rate);
[[nodiscard]] offered_class offered_view(double rate);
[[nodiscard]] offered_class offered_statement(double rate);

// The same load, sent to the service "cash".
[[nodiscard]] offered_class in_shared_service(offered_class offered);

} // namespace nutmegusher::test_support

#endif
