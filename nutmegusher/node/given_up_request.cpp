#include "nutmegusher/node/given_up_request.hpp"

namespace nutmegusher::node
{

void record_given_up(controllers& process, const given_up_request& ended)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    const auto now = host_clock().now();
    const auto side = to_string(ended.side);
    process.decisions.add(decision_counter::requests_given_up, side);
    log_event(
        event::request_given_up,
        {{"side", side},
         {"request", ended.request},
         {"class", ended.class_name},
         {"phase", to_string(ended.phase)},
         {"outcome", to_string(ended.result)},
         {"sub_call", ended.sub_call},
         {"age_ms", milliseconds(now - ended.arrived).count()},
         {"time_left_ms", milliseconds(ended.deadline - now).count()}});
}

} // namespace nutmegusher::node
