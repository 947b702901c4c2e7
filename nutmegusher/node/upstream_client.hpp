// An HTTP/1.1 client for the upstream on this host: a pool of connections with
// one call at a time on each. Belongs to one io_context; use it from that
// context's thread only.
#ifndef NUTMEGUSHER_NODE_UPSTREAM_CLIENT_HPP
#define NUTMEGUSHER_NODE_UPSTREAM_CLIENT_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/body_blocks.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace nutmegusher::node
{

namespace asio = boost::asio;

enum class upstream_failure : std::uint8_t
{
    not_connected, // nothing was sent: the call certainly didn't run
    broken,        // the connection ended before the whole answer
    timed_out,
    cancelled,
    malformed
};

namespace internal
{
struct upstream_call_state;
struct upstream_pool_state;
} // namespace internal

// One call on one connection. The destructor closes the connection unless the
// answer was read to its end.
class upstream_call
{
public:
    explicit upstream_call(
        std::shared_ptr<internal::upstream_call_state> state);
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    ~upstream_call();

    // Sends more of a streamed request body. Pass `end` with the last bytes.
    asio::awaitable<outcome<void, upstream_failure>>
    write_some(std::span<const std::byte> bytes, bool end);

    // Reads the head of the final answer. `malformed` if it can't be read, if
    // its status isn't one (100 to 599), or if its body is in a transfer coding
    // other than chunks.
    asio::awaitable<outcome<wire::response_head, upstream_failure>> read_head();

    // The answer's content length, if the upstream sent it. Requires:
    // `read_head` succeeded.
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;

    // Reads a part of the answer's body and returns its size; 0 at the answer's
    // end. The end of the connection is the end of an answer without a length,
    // unless the upstream resets the connection. If it ends its side before it
    // has received the request, that is known after at most 100 ms.
    asio::awaitable<outcome<std::size_t, upstream_failure>>
    read_some(std::span<std::byte> into);

    // Gives up the rest of the answer. The connection is reused if that rest is
    // short and comes within 100 ms, and closed otherwise. Requires:
    // `read_head` succeeded.
    asio::awaitable<void> discard_rest();

    // Closes the connection; suspended operations fail with `cancelled`.
    // Upstreams treat a closed connection as a cancellation.
    void cancel();

private:
    std::shared_ptr<internal::upstream_call_state> state_;
};

// A call to send, and how to send it.
struct upstream_request
{
    wire::request_head head;
    // The whole body, or its first part when `streamed`.
    std::string_view body;
    // The whole body in place of `body`; null: none. A long one isn't copied.
    // Requires: it outlives the call.
    const body_blocks* blocks = nullptr;
    bool streamed = false;
    // Set for calls that aren't repeatable: uses only a new connection or one
    // that was in use a moment ago, because a stale connection could leave the
    // outcome unknown.
    bool needs_fresh_connection = false;
    // Name, in lower case, of the request's field that the upstream echoes in
    // its answer; empty if it echoes none. An answer with another value belongs
    // to an earlier request and is skipped; an answer without the field is
    // malformed, and so are more than 1 MiB of skipped bytes. A connection
    // carries each value once, so that an answer with
    // the request's own value is never the answer to an earlier send.
    std::string_view echoed_field;
    // The time limit of the whole call, from now.
    duration time_left{};
};

class upstream_pool
{
public:
    explicit upstream_pool(asio::io_context& context);
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;
    ~upstream_pool();

    // Connects and starts to send head and body (for a streamed body: sends its
    // first part). An unstreamed body is sent while the answer is read, as an
    // upstream may answer before it has read the body. `not_connected` is the
    // only failure after which the call certainly didn't run.
    asio::awaitable<outcome<std::unique_ptr<upstream_call>, upstream_failure>>
    send(asio::ip::tcp::endpoint address, const upstream_request& request);

    // Whether a process accepts connections at the address: an idle pooled
    // connection is still open, or a new one is accepted. Sends nothing.
    asio::awaitable<bool> is_listening(asio::ip::tcp::endpoint address);

    [[nodiscard]] std::size_t idle_connections() const;

private:
    std::shared_ptr<internal::upstream_pool_state> state_;
};

} // namespace nutmegusher::node

#endif
