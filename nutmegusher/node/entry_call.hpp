// One request as the daemon at its entry sees it.
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
    {
    }

    worker& owner;
    caller_exchange& exchange;
    request_origin origin;
    time_point arrived;
    // Keeps `work_class` alive.
    std::shared_ptr<const configuration_view> classes;
    const class_entry* work_class = nullptr;
    request_id request;
    customer_id customer;
    std::string key;
    std::uint8_t rank = 0;
    time_point deadline;
    // Tokens of this request at this hop; a sub-call's are in its handle.
    retry_tokens own_tokens;
    std::optional<request_ledger::sub_call> sub_call;
    std::string body;
    bool body_complete = false;
    std::uint32_t tries = 0;
    // No further try is of use: the caller has closed its connection, or gets a
    // final answer now.
    std::shared_ptr<bool> caller_gone = std::make_shared<bool>(false);
    bool answered = false;
    // Set where it was given up on.
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

    // Answers with a refusal; does nothing where an answer was begun.
    asio::awaitable<void> refuse(refusal refused);

    // Notes a whole answer.
    void count_completed();
};

} // namespace nutmegusher::node

#endif
