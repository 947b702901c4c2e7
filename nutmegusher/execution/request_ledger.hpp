// The requests that run at one upstream, and what they share with their
// sub-calls.
#ifndef NUTMEGUSHER_EXECUTION_REQUEST_LEDGER_HPP
#define NUTMEGUSHER_EXECUTION_REQUEST_LEDGER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/execution/retry_tokens.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegusher
{

// What a sub-call inherits from the request that it is part of.
struct request_context
{
    std::uint32_t rank = 0;
    time_point deadline;
    customer_id customer;
    class_name work_class;
};

// Table of the requests that run at an upstream, by request id, kept by the
// daemon beside it. A sub-call that names the id of such a request gets its
// context and some of its retry tokens; an unknown id gets nothing.
//
//     auto running = ledger.open(id, context, retry_tokens::received(2));
//     if (auto sub_call = ledger.begin_sub_call(id, 1)) { ... }
//     answer.retry_tokens = running.finish().send();
//
// A request whose call path leads back to this upstream runs several times
// under one id. These runs share their tokens and the latest of their
// deadlines.
//
// Thread-safe: requests are distributed over shards, each with its own lock,
// which is held for one look-up. Handles must not outlive the ledger.
class request_ledger
{
public:
    class running_request;
    class sub_call;

    static constexpr std::size_t default_shards = 16;

    // Requires: `shards` isn't zero.
    explicit request_ledger(std::size_t shards = default_shards);

    // Registers a request that starts to run here; `tokens` came with it.
    [[nodiscard]] running_request
    open(const request_id& id, request_context context, retry_tokens tokens);

    // Begins a sub-call with at most `wanted_tokens` of the remaining tokens.
    // Empty if no request with this id runs here.
    [[nodiscard]] std::optional<sub_call>
    begin_sub_call(const request_id& id, std::uint32_t wanted_tokens);

    // Number of distinct ids that are running.
    [[nodiscard]] std::size_t size() const;

    // Number of tokens that no sub-call holds; for the dump and for tests.
    [[nodiscard]] std::uint64_t available_tokens() const;

private:
    struct entry
    {
        request_context context;
        retry_tokens available;
        std::size_t running = 0;
    };

    struct shard
    {
        mutable std::mutex mutex;
        std::unordered_map<request_id, entry> entries;
    };

    shard& shard_of(const request_id& id);
    retry_tokens close(const request_id& id, std::uint32_t received_tokens);
    void put_back(const request_id& id, retry_tokens tokens);

    std::vector<shard> shards_;
};

// Handle of a running request, which ends with `finish` or when the handle is
// destroyed.
class request_ledger::running_request
{
public:
    running_request(running_request&& other) noexcept;
    running_request& operator=(running_request&&) = delete;
    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;

    // Ends the request; its remaining tokens are lost, as with a lost answer.
    ~running_request();

    // Ends the request and returns the tokens that its answer carries back. A
    // later call returns none.
    retry_tokens finish();

private:
    friend class request_ledger;

    running_request(
        request_ledger& ledger, request_id id, std::uint32_t received_tokens);

    request_ledger* ledger_;
    request_id id_;
    std::uint32_t received_tokens_;
};

// A call made by a running request. Tokens that it still holds when it is
// destroyed go back to the request, or are lost if the request has ended.
class request_ledger::sub_call
{
public:
    sub_call(sub_call&& other) noexcept;
    sub_call& operator=(sub_call&&) = delete;
    sub_call(const sub_call&) = delete;
    sub_call& operator=(const sub_call&) = delete;
    ~sub_call();

    [[nodiscard]] const request_context& context() const
    {
        return context_;
    }

    // The tokens of this call: to spend, to send with a try, and to add those
    // that its answer returned.
    [[nodiscard]] retry_tokens& tokens()
    {
        return tokens_;
    }

private:
    friend class request_ledger;

    sub_call(
        request_ledger& ledger,
        request_id id,
        request_context context,
        retry_tokens tokens);

    request_ledger* ledger_;
    request_id id_;
    request_context context_;
    retry_tokens tokens_;
};

} // namespace nutmegusher

#endif
