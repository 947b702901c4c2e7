// What all worker threads share of the path of routed requests.
#ifndef NUTMEGUSHER_ROUTED_ROUTED_STATE_HPP
#define NUTMEGUSHER_ROUTED_ROUTED_STATE_HPP

#include "nutmegusher/node/worker.hpp"
#include "nutmegusher/policy/policy.hpp"
#include "nutmegusher/routed/local_upstream.hpp"
#include "nutmegusher/routed/request_dialect.hpp"
#include "nutmegusher/routed/slot_gate.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

namespace nutmegusher::routed
{

// Repeats that this daemon may still make, by service.
class repeat_allowances
{
public:
    void on_call(const service_name& service);
    bool take(const service_name& service);

private:
    std::mutex mutex_;
    std::unordered_map<service_name, retry_allowance> by_service_;
};

struct routed_state
{
    routed_state(
        node::controllers& process,
        request_dialect names,
        std::function<void()> upstream_changed);

    node::controllers& process;
    const request_dialect names;
    local_upstream local;
    slot_gate slots;
    repeat_allowances repeats;
    // Tells the rest of the process that `local` has changed.
    const std::function<void()> upstream_changed;

    // The upstream didn't take a connection.
    void note_unreachable(const std::string& id);
};

} // namespace nutmegusher::routed

#endif
