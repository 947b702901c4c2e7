// One routed request between the daemon where it enters and the daemon beside
// its upstream.
#ifndef NUTMEGUSHER_ROUTED_ROUTED_CALL_HPP
#define NUTMEGUSHER_ROUTED_ROUTED_CALL_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/body_blocks.hpp"
#include "nutmegusher/node/call.hpp"
#include "nutmegusher/node/memory_account.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace nutmegusher::routed
{

namespace asio = boost::asio;

// What the daemon beside the upstream must know of a request.
struct call_metadata
{
    // The caller's id of this attempt.
    std::string id;
    // The host name that the caller asked for.
    std::string host;
    // The service that the entry chose. An upstream of another service doesn't
    // run the call, even if the entry took it for one of this service.
    service_name service;
    // The service on the host where the request began, and that host's data
    // centre.
    service_name caller_service;
    data_center_name caller_data_center;
    // The team whose key the request has; empty: none.
    std::string team;
    std::uint8_t rank = 0;
    bool repeatable = false;
    bool bulk = false;
    // The caller is an upstream.
    bool sub_call = false;
    // An arrival beyond the first of its request, or a call of a repeated run;
    // see `repeat_share`.
    bool repeat = false;
    duration target{0};
    time_point deadline;
    // `stable_hash` of the route's name.
    std::uint64_t work_class = 0;
    // Hash of the request's content: the same request has the same digest at
    // every host and time.
    std::uint64_t digest = 0;
    // The calls a second that the upstream takes, as it last told the entry.
    std::optional<double> rate_limit;

    [[nodiscard]] duration time_left() const
    {
        return deadline - host_clock().now();
    }
};

struct routed_call
{
    call_metadata metadata;
    // Method, path and the forwarded fields.
    wire::request_head head;
    node::body_blocks body;
};

// An upstream that crashed while the call ran.
struct crashed_upstream
{
    // Identifies the upstream and its start.
    std::uint64_t upstream = 0;
    duration ran_for{0};
};

// How a call failed.
struct failed_call
{
    // The reason, whether the call ran, and when to retry.
    node::refusal details;
    // The call reached the upstream and may count as one of its tries.
    bool sent = false;
    // Set if the call is suspected of having crashed the upstream.
    std::optional<crashed_upstream> crashed = std::nullopt;
};

// The rest of an answer that is too long to be buffered whole.
class answer_rest
{
public:
    answer_rest() = default;
    answer_rest(const answer_rest&) = delete;
    answer_rest& operator=(const answer_rest&) = delete;
    virtual ~answer_rest() = default;

    // Returns the number of bytes read, at least one; 0 at the clean end,
    // nullopt if the answer broke off.
    virtual asio::awaitable<std::optional<std::size_t>>
    read_some(std::span<std::byte> into) = 0;
};

// An answer of an upstream: whole, or its beginning and a source of the rest.
struct routed_answer
{
    explicit routed_answer(node::memory_account& account)
        : memory(account)
    {
    }

    wire::response_head head;
    // What `body` holds.
    node::held_memory memory;
    std::string body;
    std::unique_ptr<answer_rest> rest;
    std::optional<std::uint64_t> length;
};

// Answers up to this size are forwarded only when they are complete, so that a
// broken one can still be fetched elsewhere, as long as there is memory for
// them. Thirty times the mean answer of the users' largest class.
inline constexpr std::size_t max_buffered_answer_bytes = 256 * 1024;

// When a caller may retry a request that is quarantined, or one that is
// suspected and runs one at a time.
inline constexpr duration retry_after_quarantine = std::chrono::minutes(1);
inline constexpr duration retry_after_suspected = std::chrono::seconds(1);

using routed_result = outcome<routed_answer, failed_call>;

} // namespace nutmegusher::routed

#endif
