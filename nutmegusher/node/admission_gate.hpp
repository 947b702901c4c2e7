// The admission controller of the upstream on this host, shared by all worker
// threads: calls suspend here while they wait for their turn.
#ifndef NUTMEGUSHER_NODE_ADMISSION_GATE_HPP
#define NUTMEGUSHER_NODE_ADMISSION_GATE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/waiting_calls.hpp"
#include "nutmegusher/policy/policy.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>

namespace nutmegusher::node
{

namespace asio = boost::asio;

class admission_gate
{
public:
    // With `naive` everything is admitted, as measurements' baseline.
    admission_gate(std::uint64_t seed, bool naive);
    admission_gate(const admission_gate&) = delete;
    admission_gate& operator=(const admission_gate&) = delete;
    ~admission_gate();

    // A ticket that no other call has.
    ticket_id next_ticket();

    // Suspends until the call is let in or refused; resumes on the executor
    // that it was called on.
    asio::awaitable<gate_verdict> enter(call_info call);

    // Requires: `enter` gave `admitted` for `call`.
    void finish(const call_info& call, call_result result);

    // The upstream makes a sub-call for the request that runs here, and has its
    // answer. Requests that don't run here change nothing.
    void sub_call_started(std::uint64_t request);
    void sub_call_ended(std::uint64_t request, bool refused_for_load);

    // Whether a sub-call of the running call was refused for overload.
    [[nodiscard]] bool sub_call_refused(std::uint64_t request) const;

    // The caller of a waiting call went away; its `enter` gives `caller_left`.
    void cancel(ticket_id ticket);

    // Does what is due by now; call it every few milliseconds.
    void tick();

    void begin_warm_up();
    void set_leaving(bool leaving);

    [[nodiscard]] admission_level level() const;
    [[nodiscard]] admission_state state() const;

private:
    struct running_call
    {
        ticket_id ticket;
        bool sub_call_refused = false;
    };

    void record_running(const call_info& call);
    void detect_pause(time_point now);

    const bool naive_;
    mutable std::mutex mutex_;
    admission_controller controller_;
    std::uint64_t last_ticket_ = 0;
    waiting_calls waiting_;
    // The last tick; nothing before the first one.
    std::optional<time_point> last_tick_;
    // By the hash of the request id; of a request that calls itself in a
    // circle the last call counts.
    std::unordered_map<std::uint64_t, running_call> running_;
};

} // namespace nutmegusher::node

#endif
