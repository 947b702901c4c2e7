// A thread-safe, asynchronous front end to the admission controller of the
// upstream on this host. All worker threads share it; a call's coroutine
// suspends here while the call is queued.
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
    // With `naive` every call is admitted: the baseline of benchmarks.
    admission_gate(std::uint64_t seed, bool naive);
    admission_gate(const admission_gate&) = delete;
    admission_gate& operator=(const admission_gate&) = delete;
    ~admission_gate();

    // Returns a unique ticket.
    ticket_id next_ticket();

    // Suspends until the call is admitted or refused, then resumes on the
    // caller's executor.
    asio::awaitable<gate_verdict> enter(call_info call);

    // Releases the call's slot. Requires: `enter` returned `admitted` for
    // `call`.
    void finish(const call_info& call, call_result result);

    // To be called when the upstream starts a sub-call on behalf of `request`,
    // and when that sub-call has ended. Ignored if `request` isn't running
    // here.
    void sub_call_started(std::uint64_t request);
    void sub_call_ended(std::uint64_t request, bool refused_for_load);

    // Whether a sub-call of the running request was refused for overload.
    [[nodiscard]] bool sub_call_refused(std::uint64_t request) const;

    // Withdraws a queued call whose caller has disconnected; its `enter`
    // returns `caller_left`.
    void cancel(ticket_id ticket);

    // Runs all timers that are due. Call it every few milliseconds.
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
    // Time of the last tick; empty before the first one.
    std::optional<time_point> last_tick_;
    // Keyed by the hash of the request ID. If a request calls itself
    // recursively, only its latest call is kept.
    std::unordered_map<std::uint64_t, running_call> running_;
};

} // namespace nutmegusher::node

#endif
