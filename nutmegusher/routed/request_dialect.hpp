#ifndef NUTMEGUSHER_ROUTED_REQUEST_DIALECT_HPP
#define NUTMEGUSHER_ROUTED_REQUEST_DIALECT_HPP

#include "nutmegusher/node/call.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <functional>
#include <optional>
#include <string>

namespace nutmegusher::routed
{

// Names of the header fields that callers and upstreams use, and the format of
// a refusal. Names are in lower case.
struct request_dialect
{
    // On requests and answers: identifies one attempt of a caller.
    std::string request_id = "nutmeg-request-id";
    // On requests: whole milliseconds that the caller still waits.
    std::string time_left = "nutmeg-timeout-ms";
    // Sent to the upstream: the service on the host where the request began.
    std::string caller_service = "nutmeg-caller-service";
    // Sent to the upstream: the name of the team whose key the request has.
    std::string team = "nutmeg-team";
    // On requests: the key, as `bearer_key` reads it. Not forwarded where there
    // are teams.
    std::string authorization = "authorization";
    // Sent to the upstream: the id of the upstream that is meant; any other
    // refuses.
    std::string expected_upstream = "nutmeg-expected-upstream";
    // On answers: the upstream didn't run the request.
    std::string not_run = "nutmeg-not-run";
    // On answers: how many calls a second the upstream takes from all callers
    // together, for as long as its answers name it.
    // Not a field of the daemons, whose names begin with "nutmeg-": it goes on
    // to the caller.
    std::string rate_limit = "upstream-rate-limit";
    // On answers: the upstream's load, see `parse_reported_load`. Like the rate
    // limit it goes on to the caller.
    std::string load = "upstream-load";
    // On answers: the upstream leaves and must get no new calls.
    std::string leaving = "upstream-leaving";
    // On answers: proves that the upstream sent it. Empty if the dialect has no
    // such proof.
    std::string signature;

    // Makes the head of the answer that refuses a request.
    std::function<wire::response_head(const node::refusal&)> refuse =
        node::to_head;
};

// Returns the rate limit that an answer names, in calls a second; the lowest if
// it names several. Values that aren't finite numbers of at least 0 are
// ignored.
[[nodiscard]] std::optional<double>
read_rate_limit(const request_dialect& names, const wire::headers& fields);

} // namespace nutmegusher::routed

#endif
