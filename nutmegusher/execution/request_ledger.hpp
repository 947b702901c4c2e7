// The requests that run at one upstream, and what their sub-calls share.
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

// What a sub-call inherits from the request that it is a part of.
struct request_context
{
    std::uint32_t rank = 0;
    time_point deadline;
    customer_id customer;
    class_name work_class;
};

// At the daemon beside an upstream: which requests run there, by request id.
// A sub-call names the request's id and gets its terms and some of its retry
// tokens; one with an unknown id gets nothing.
//
//     auto running = ledger.open(id, context, retry_tokens::received(2));
//     if (auto sub_call = ledger.begin_sub_call(id, 1)) { ... }
//     answer.retry_tokens = running.finish().send();
//
// A request that calls itself in a circle runs several times under one id;
// these share their tokens, and the latest deadline holds.
//
// Safe from every thread: requests are spread over shards, each under a lock of
// its own that is held for one look-up. Handles must not outlive the ledger.
class request_ledger
{
public:
    class running_request;
    class sub_call;

    static constexpr std::size_t default_shards = 16;

    // Requires: `shards` isn't zero.
    explicit request_ledger(std::size_t shards = default_shards);

    [[nodiscard]] running_request
    open(const request_id& id, request_context context, retry_tokens tokens);

    // Takes at most `wanted_tokens` of those that are left. Empty where no
    // request of this id runs here.
    [[nodiscard]] std::optional<sub_call>
    begin_sub_call(const request_id& id, std::uint32_t wanted_tokens);

    // Different ids that run now.
    [[nodiscard]] std::size_t size() const;

    // Tokens that no sub-call holds now; for the dump and for tests.
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

// A request that runs now; it ends with `finish` or with this handle.
class request_ledger::running_request
{
public:
    running_request(running_request&& other) noexcept;
    running_request& operator=(running_request&&) = delete;
    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;

    // The tokens are lost, as those of a lost answer.
    ~running_request();

    // Ends the request; its answer takes the tokens that are left. A later call
    // gives none.
    retry_tokens finish();

private:
    friend class request_ledger;

    running_request(
        request_ledger& ledger, request_id id, std::uint32_t received_tokens);

    request_ledger* ledger_;
    request_id id_;
    std::uint32_t received_tokens_;
};

// A call that a running request makes. The tokens which it still holds at its
// end go back to the request, or are lost where that has ended.
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

    // To spend, to send along with a try, and to put back what its answer
    // brought.
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
