// The state of one request at the daemon where it enters.
#ifndef NUTMEGUSHER_NODE_ENTRY_CALL_HPP
#define NUTMEGUSHER_NODE_ENTRY_CALL_HPP

#include "nutmegusher/node/call.hpp"
#include "nutmegusher/node/entry_chain.hpp"
#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/worker.hpp"

#include <memory>
#include <optional>
#include <string>

namespace nutmegusher::node
{

struct entry_call
{
    entry_call(worker& owner, caller_exchange& exchange, request_origin origin)
        : owner(owner)
        , exchange(exchange)
        , origin(origin)
        , arrived(host_clock().now())
        , memory(owner.shared.request_memory, exchange)
    {
    }

    worker& owner;
    caller_exchange& exchange;
    request_origin origin;
    time_point arrived;
    // The configuration that `work_class` points into; kept alive by this
    // pointer.
    std::shared_ptr<const configuration_view> classes;
    const class_entry* work_class = nullptr;
    request_id request;
    customer_id customer;
    std::string key;
    std::uint8_t rank = 0;
    time_point deadline;
    // Retry tokens of a request that isn't a sub-call; a sub-call draws its
    // tokens from `sub_call`.
    retry_tokens own_tokens;
    std::optional<request_ledger::sub_call> sub_call;
    // What `body` holds.
    held_memory memory;
    std::string body;
    bool body_complete = false;
    std::uint32_t tries = 0;
    // Set when a further try is useless: the caller has closed its connection,
    // or is being sent a final answer.
    std::shared_ptr<bool> caller_gone = std::make_shared<bool>(false);
    bool answered = false;
    // Set once the request was refused or has failed.
    std::optional<call_reason> refused_reason;

    [[nodiscard]] retry_tokens& tokens()
    {
        return sub_call ? sub_call->tokens() : own_tokens;
    }

    [[nodiscard]] duration time_left() const
    {
        return deadline - host_clock().now();
    }

    [[nodiscard]] call_info info() const;

    // Answers with a refusal; does nothing if an answer was already started.
    asio::awaitable<void> refuse(refusal refused);

    // Records in the metrics that the caller got a complete answer.
    void count_completed();
};

} // namespace nutmegusher::node

#endif
