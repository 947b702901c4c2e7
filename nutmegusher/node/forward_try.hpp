// One try of a call at one upstream's daemon.
#ifndef NUTMEGUSHER_NODE_FORWARD_TRY_HPP
#define NUTMEGUSHER_NODE_FORWARD_TRY_HPP

#include "nutmegusher/node/entry_call.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace nutmegusher::node
{

// How a try ended that brought no answer to pass on.
struct try_failed
{
    try_failure how = try_failure::connection_lost;
    bool certainly_not_run = false;
    // What the caller is told if it isn't tried again.
    refusal caller_refusal;
};

// What a try brought: the answer's head and its first bytes, or its whole.
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
    // A try that wasn't reported counts as neutral.
    ~forward_try();

    // Sends the call and reads its answer, up to the bytes that are kept
    // whole.
    asio::awaitable<try_result> run();

    // Passes an answer that is longer than that on, as it comes. False: it
    // broke, and the caller's connection must not end cleanly.
    asio::awaitable<bool> forward_answer(try_answer answer);

    // Names this try in the claim log.
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
    // Runs while no answer has begun.
    std::unique_ptr<asio::steady_timer> slow_try_timer_;
    // A timer's handler may already be queued when the try ends.
    std::shared_ptr<forward_try*> alive_ = std::make_shared<forward_try*>(this);
    // Given up in favour of a faster upstream.
    bool switched_ = false;
    bool reported_ = false;
};

} // namespace nutmegusher::node

#endif
