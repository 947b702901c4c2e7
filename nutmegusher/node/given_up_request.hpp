// Records the requests that this process still works on when its shutdown
// reaches its limit.
//
//     given_up_request ended;
//     ended.side = call_side::entry;
//     ...
//     record_given_up(shared, ended);
#ifndef NUTMEGUSHER_NODE_GIVEN_UP_REQUEST_HPP
#define NUTMEGUSHER_NODE_GIVEN_UP_REQUEST_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/metrics.hpp"
#include "nutmegusher/node/worker.hpp"

#include <string_view>

namespace nutmegusher::node
{

struct given_up_request
{
    call_side side = call_side::entry;
    std::string_view request;
    // Class or route.
    std::string_view class_name;
    request_phase phase = request_phase::admission;
    call_outcome result = call_outcome::unknown;
    // At the entry: the caller is the upstream on this host, as far as known.
    bool sub_call = false;
    // When this process received it.
    time_point arrived;
    // When its own time limit would have ended it.
    time_point deadline;
};

// Writes event `request_given_up` and counts the request. Thread-safe.
void record_given_up(controllers& process, const given_up_request& ended);

} // namespace nutmegusher::node

#endif
