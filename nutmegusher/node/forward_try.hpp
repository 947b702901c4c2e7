// One try of a call: one request sent to the daemon of one upstream.
#ifndef NUTMEGUSHER_NODE_FORWARD_TRY_HPP
#define NUTMEGUSHER_NODE_FORWARD_TRY_HPP

#include "nutmegusher/node/entry_call.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace nutmegusher::node
{

// Why a try ended without an answer for the caller.
struct try_failed
{
    try_failure how = try_failure::connection_lost;
    bool certainly_not_run = false;
    // The caller's answer if there is no retry.
    refusal caller_refusal;
};

// An upstream's answer: the complete answer, or its head and its first bytes.
struct try_answer
{
    wire::response_head head;
    std::string first_bytes;
    bool complete = false;
};

using try_result = outcome<try_answer, try_failed>;

class forward_try
{
public:
    forward_try(entry_call& call, route to);
    forward_try(const forward_try&) = delete;
    forward_try& operator=(const forward_try&) = delete;
    // Reports a neutral result to the router unless a result was reported
    // before.
    ~forward_try();

    // Sends the call and reads its answer, up to the limit for buffered bodies.
    asio::awaitable<try_result> run();

    // Sends the answer to the caller and streams the part that isn't buffered.
    // Returns false if the answer broke off; the caller's connection must then
    // not end cleanly.
    asio::awaitable<bool> forward_answer(try_answer answer);

    // The identity of this try in the claim log.
    [[nodiscard]] const messages::attempt& attempt() const
    {
        return attempt_;
    }

private:
    wire::request_head make_head(std::uint32_t tokens) const;
    asio::awaitable<outcome<void, wire::stream_failure>> send_body();
    asio::awaitable<try_result> read_answer();
    void apply_feedback(const wire::response_head& head);
    void start_slow_try_timer();
    void switch_if_faster();
    void record_given_up() const;
    void report(try_end how);
    try_failed refused_by_peer(const refusal& refused);
    try_failed failed(wire::stream_failure failure);
    try_failed not_sent(wire::stream_failure failure);

    entry_call& call_;
    route to_;
    messages::attempt attempt_;
    time_point started_;
    std::unique_ptr<wire::client_stream> stream_;
    std::optional<outstanding_tokens> outstanding_;
    // Pending until the answer begins.
    std::unique_ptr<asio::steady_timer> slow_try_timer_;
    // A timer's handler may already be queued when this object is destroyed; it
    // checks this pointer first.
    std::shared_ptr<forward_try*> alive_ = std::make_shared<forward_try*>(this);
    // The try was cancelled to use a faster upstream.
    bool switched_ = false;
    bool reported_ = false;
};

} // namespace nutmegusher::node

#endif
