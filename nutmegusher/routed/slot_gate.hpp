// Suspends calls until the upstream on this host has a slot for them.
#ifndef NUTMEGUSHER_ROUTED_SLOT_GATE_HPP
#define NUTMEGUSHER_ROUTED_SLOT_GATE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/waiting_calls.hpp"
#include "nutmegusher/policy/policy.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <mutex>
#include <optional>
#include <variant>

namespace nutmegusher::routed
{

namespace asio = boost::asio;

using slot_verdict = std::variant<admitted, refused>;

// A `slot_queue` for all worker threads.
class slot_gate
{
public:
    explicit slot_gate(std::uint64_t seed);

    // Returns a ticket that no other call has.
    ticket_id next_ticket();

    // Suspends until the call is admitted or refused; resumes on the executor
    // that it was called on. A call whose wait is interrupted neither waits nor
    // runs any longer.
    asio::awaitable<slot_verdict> enter(call_info call);

    // Requires: `enter` returned `admitted`.
    void finish(ticket_id ticket, call_result result);

    void set_slots(std::size_t slots);
    // An answer of the upstream to a call that was sent at `sent_at` names how
    // many calls a second it takes, or, with nullopt, none. An answer to a call
    // that was sent before the limit was first named doesn't end it.
    void
    set_rate_limit(std::optional<double> calls_per_second, time_point sent_at);
    // A caller was told this limit. It holds until the upstream's first answer
    // here, as this process may have been restarted.
    void suggest_rate_limit(double calls_per_second);
    // Another process of the upstream has started: see `slot_queue`.
    void restart();
    void note_sub_call();
    // See `slot_queue::set_pace`.
    void set_pace(std::uint32_t percent);
    void set_leaving(bool leaving);

    [[nodiscard]] slot_queue_state state() const;

private:
    class pending_entry;

    void withdraw(ticket_id ticket);
    [[nodiscard]] time_point next_event() const;
    void apply_rate_limit(std::optional<double> calls_per_second);
    void start_limited_admission();
    asio::awaitable<void> admit_by_rate(asio::any_io_executor executor);
    void log_pressure(time_point now);

    mutable std::mutex mutex_;
    slot_queue queue_;
    std::uint64_t last_ticket_ = 0;
    node::waiting_calls waiting_;
    time_point next_log_;
    // `slot_queue_state::refused_by_estimate` at the last log line.
    std::uint64_t logged_refusals_ = 0;
    // Whether the upstream of this start has answered.
    bool has_answered_ = false;
    std::optional<double> rate_limit_;
    time_point limited_since_;
    // The pace that was logged last, and when.
    std::uint32_t logged_pace_ = usual_pace;
    time_point pace_logged_at_;
    // Whether `admit_by_rate` runs, and where it may.
    bool admits_by_rate_ = false;
    asio::any_io_executor executor_;
};

} // namespace nutmegusher::routed

#endif
