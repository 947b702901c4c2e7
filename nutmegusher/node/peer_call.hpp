// The state of one call at the daemon beside the upstream.
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

// Cancels a call that nobody waits for any more, or that must end because the
// process stops. `stop`, while set, interrupts what the call currently waits
// for.
struct cancellation
{
    bool requested = false;
    std::function<void()> stop;
};

// The metadata that the entry daemon sends with a call.
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
    // The class's target latency; zero if the class isn't declared here.
    duration target{};
    std::uint32_t tokens = 0;
};

// A complete answer, held in memory.
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
        , memory(owner.shared.request_memory)
    {
    }

    worker& owner;
    std::shared_ptr<wire::server_stream> stream;
    std::shared_ptr<cancellation> cancelled;
    time_point arrived;
    peer_metadata metadata;
    // What `body` holds.
    held_memory memory;
    // The request's body, or its first part if it is longer than the limit.
    std::string body;
    bool body_complete = false;
    std::optional<request_ledger::running_request> running;
    // The result reported to the admission controller.
    call_result result = call_result::never_started;
    // Releases the admission slot with `result`; what follows doesn't use the
    // upstream. Only the first call has an effect.
    std::function<void()> release_slot = [] {};
    // The upstream's answer or failure for a call that isn't repeatable;
    // `claim_filter` answers the call.
    std::optional<buffered_answer> answer;
    std::optional<upstream_failure> failure;
    bool answered = false;

    [[nodiscard]] duration time_left() const
    {
        return metadata.deadline - host_clock().now();
    }

    // Adds the headers that every answer to a peer carries: the retry tokens
    // left and the admission levels.
    void add_feedback(wire::response_head& head);

    // Answers with a refusal; does nothing if an answer was already started.
    asio::awaitable<void> refuse(refusal refused);

    // Sends a complete answer of the upstream.
    asio::awaitable<void> send(buffered_answer buffered);
};

// Parses the metadata from the call's headers. Error: the reason of the refusal
// if they are malformed.
[[nodiscard]] outcome<peer_metadata, call_reason> parse_peer_metadata(
    const wire::request_head& head, const configuration_view& classes);

// Reads the body up to its end or until it exceeds `max_bytes`. Returns false
// if the peer has disconnected, or if the call was refused as there is no
// memory for it.
asio::awaitable<bool> read_body(peer_call& call, std::size_t max_bytes);

} // namespace nutmegusher::node

#endif
