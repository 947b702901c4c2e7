#ifndef NUTMEGUSHER_ROUTED_REQUEST_DIALECT_HPP
#define NUTMEGUSHER_ROUTED_REQUEST_DIALECT_HPP

#include "nutmegusher/node/call.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <functional>
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
    // Sent to the upstream: the id of the upstream that is meant; any other
    // refuses.
    std::string expected_upstream = "nutmeg-expected-upstream";
    // On answers: the upstream didn't run the request.
    std::string not_run = "nutmeg-not-run";
    // On answers: proves that the upstream sent it. Empty if the dialect has no
    // such proof.
    std::string signature;

    // Makes the head of the answer that refuses a request.
    std::function<wire::response_head(const node::refusal&)> refuse =
        node::to_head;
};

} // namespace nutmegusher::routed

#endif
