// One call as the daemon beside the upstream sees it.
#ifndef NUTMEGUSHER_NODE_PEER_CALL_HPP
#define NUTMEGUSHER_NODE_PEER_CALL_HPP

#include "nutmegusher/node/call.hpp"
#include "nutmegusher/node/worker.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace nutmegusher::node
{

// Set when nobody waits for the call any more, or nobody may. The callback that
// is set at the time stops what the call waits for.
struct cancellation
{
    bool requested = false;
    // The caller is still there and gets a final answer: the process ends.
    bool expects_answer = false;
    std::function<void()> stop;
};

// What the entry daemon sent along.
struct peer_metadata
{
    request_id request;
    class_name work_class;
    customer_id customer;
    std::string key;
    messages::attempt attempt;
    std::uint8_t rank = 0;
    bool repeatable = false;
    bool bulk = false;
    time_point deadline;
    // The class's, as far as it is declared here.
    duration target{};
    std::uint32_t tokens = 0;
};

// A whole answer, or where a long one comes from.
struct buffered_answer
{
    wire::response_head head;
    std::string body;
};

struct peer_call
{
    peer_call(worker& owner, std::shared_ptr<wire::server_stream> stream)
        : owner(owner)
        , stream(std::move(stream))
        , cancelled(std::make_shared<cancellation>())
        , arrived(host_clock().now())
    {
    }

    worker& owner;
    std::shared_ptr<wire::server_stream> stream;
    std::shared_ptr<cancellation> cancelled;
    time_point arrived;
    peer_metadata metadata;
    // The request's body, or its first part.
    std::string body;
    bool body_complete = false;
    std::optional<request_ledger::running_request> running;
    // For the admission controller.
    call_result result = call_result::never_started;
    // Gives the admission slot back with `result`; what follows doesn't use
    // the upstream. Calls after the first one do nothing.
    std::function<void()> release_slot = [] {};
    // Calls that may not be repeated are answered by their claim.
    std::optional<buffered_answer> answer;
    std::optional<upstream_failure> failure;
    bool answered = false;

    [[nodiscard]] duration time_left() const
    {
        return metadata.deadline - host_clock().now();
    }

    // Adds what every answer to a peer carries: tokens and admission level.
    void add_feedback(wire::response_head& head);

    // Answers with a refusal; does nothing where an answer was begun.
    asio::awaitable<void> refuse(refusal refused);

    // Answers with a whole answer of the upstream.
    asio::awaitable<void> send(buffered_answer buffered);
};

// Reads the terms; the reason of a refusal where they are malformed.
[[nodiscard]] outcome<peer_metadata, call_reason> parse_peer_metadata(
    const wire::request_head& head, const configuration_view& classes);

// Reads the body until its end or until `max_bytes` bytes are kept. False: the
// peer has gone.
asio::awaitable<bool> read_body(peer_call& call, std::size_t max_bytes);

} // namespace nutmegusher::node

#endif
