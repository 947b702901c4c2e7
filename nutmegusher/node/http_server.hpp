// HTTP/1.1 server for members, clerks, upstreams and operators, on Boost.Beast.
//
// A server belongs to one io_context and is used from its thread only. The
// handler gets one `caller_exchange` per request and may write an answer. If
// the answer isn't finished when the handler returns, the connection is closed,
// so that a truncated answer never looks complete.
#ifndef NUTMEGUSHER_NODE_HTTP_SERVER_HPP
#define NUTMEGUSHER_NODE_HTTP_SERVER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/evictable.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace nutmegusher::node
{

namespace asio = boost::asio;

// Why a request body can't be read completely.
enum class caller_failure : std::uint8_t
{
    disconnected,
    malformed,
    // What is sent beside the content, such as trailers, exceeds
    // `http_server_options::header_bytes`.
    too_large,
    too_slow,
    // The request gives way to others; see `evictable`.
    no_room,
    // The process is stopping: see `caller_exchange::on_give_up`.
    given_up
};

// How the handling of a request ended.
enum class handling_end : std::uint8_t
{
    finished,
    caller_left,
    // The server has given up, and the caller is owed a final answer.
    given_up
};

// One request and its answer on a caller's connection.
class caller_exchange : public evictable
{
public:
    [[nodiscard]] virtual const wire::request_head& head() const = 0;

    // The announced length of the request's body; 0 if it has none, empty if
    // its length isn't known in advance.
    [[nodiscard]] virtual std::optional<std::uint64_t> body_length() const = 0;

    // The caller's address.
    [[nodiscard]] virtual asio::ip::tcp::endpoint caller() const = 0;

    // Reads of the body fail with `too_slow` from this time on, in place of
    // `http_server_options::body_timeout` after the head.
    virtual void limit_reading(time_point until) = 0;

    // Breaks the answer off if the caller hasn't taken a part of it by this
    // time, or within `http_server_options::write_timeout` if that is
    // earlier.
    virtual void limit_writing(time_point until) = 0;

    // Reads the next bytes of the request's body; 0 at its regular end.
    virtual asio::awaitable<outcome<std::size_t, caller_failure>>
    read_some(std::span<std::byte> into) = 0;

    // Writes a complete answer. Returns false if the caller has disconnected.
    virtual asio::awaitable<bool>
    answer(wire::response_head head, std::string_view body) = 0;

    // Writes the head of an answer whose body follows through `write_some` and
    // `end_answer`. Without `length` the body uses chunked encoding. Returns
    // false if the caller has disconnected.
    virtual asio::awaitable<bool> begin_answer(
        wire::response_head head, std::optional<std::uint64_t> length) = 0;

    virtual asio::awaitable<bool>
    write_some(std::span<const std::byte> bytes) = 0;

    // Completes an answer begun with `begin_answer`.
    virtual asio::awaitable<bool> end_answer() = 0;

    // Runs `work`, which may write the answer. Ends it at its current wait when
    // the caller closes its connection, or when the server gives up (see
    // `http_server::give_up`) before the answer has begun; doesn't begin it if
    // that has happened already. A close behind more than
    // `http_server_options::header_bytes` of later requests isn't noticed.
    // Replaces `on_disconnect` and `on_give_up`.
    // Requires: the request's body was read to its end.
    [[nodiscard]] virtual asio::awaitable<handling_end>
    run(asio::awaitable<void> work) = 0;

    // When the caller was found to have left. Requires: `run` returned
    // `handling_end::caller_left`.
    [[nodiscard]] virtual time_point left_at() const = 0;

    // Calls `on_gone` once if the caller closes its connection before the
    // answer begins; at once if it has already closed it. See `run` for what
    // isn't noticed.
    // Requires: the request's body was read to its end.
    virtual void on_disconnect(std::function<void()> on_gone) = 0;

    // Calls `callback` once if the server gives up (see `http_server::give_up`)
    // before the answer has begun, or at once if it has already given up. The
    // handler must then write its final answer at once. A further call replaces
    // the callback. A handler that is reading the body gets
    // `caller_failure::given_up` from `read_some`.
    virtual void on_give_up(std::function<void()> callback) = 0;
};

using http_handler = std::function<asio::awaitable<void>(caller_exchange&)>;

// Bounds on what a caller may send before its request is handled.
struct request_bounds
{
    // Largest request head in bytes; a larger one is answered with 431.
    std::uint32_t header_bytes = 16384;
    // Closes a connection on which no request begins within this time.
    duration idle_timeout = std::chrono::seconds(60);
    // Closes a connection on which a begun head isn't completed within this
    // time.
    duration header_timeout = std::chrono::seconds(60);
};

struct http_server_options
{
    // Largest number of open connections. For a further one the connection
    // ends whose caller has been waited for longest (see `connection_table`);
    // if there is none, the further one is closed at once.
    std::uint32_t connections = 4096;
    // Called when a connection comes while there are as many as there may be:
    // whether another one ended for it, or it was closed.
    std::function<void(bool accepted)> on_full = nullptr;
    // The bounds of each request, asked for when the server waits for it; null:
    // those that `request_bounds` has by itself, with `header_bytes`.
    std::function<request_bounds()> bounds = nullptr;
    // Upper limit of `request_bounds::header_bytes`.
    std::uint32_t header_bytes = 16384;
    // How long a request's body may take, unless its handler sets a limit.
    duration body_timeout = std::chrono::seconds(60);
    // Breaks an answer off if the caller hasn't taken a part of it within this
    // time.
    duration write_timeout = std::chrono::seconds(60);
    bool reuse_port = false;
};

// Why a listener can't be opened.
struct listen_error
{
    asio::ip::tcp::endpoint address;
    boost::system::error_code code;
};

// Accepts connections and serves the requests of each one in sequence.
class http_server
{
public:
    // Errors: `listen_error`.
    [[nodiscard]] static leaf::result<std::unique_ptr<http_server>> listen(
        asio::io_context& context,
        const asio::ip::tcp::endpoint& address,
        http_handler handler,
        const http_server_options& options);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    [[nodiscard]] asio::ip::tcp::endpoint local_endpoint() const;

    // Closes each connection after its next answer; new connections are still
    // accepted.
    void close_after_answers();

    // Stops taking requests: accepts no connection and closes those on which no
    // byte of a request has been read. A request that was read, partly or
    // completely, is served; then its connection closes. Once `connections` is
    // 0 it stays 0.
    void close_intake();

    // Makes handlers answer all requests in flight at once: see `on_give_up`.
    // Closes the connections on which a request head is incomplete.
    // Requires: `close_intake` was called.
    void give_up();

    // Ends everything at once: closes all connections, with or without an
    // answer, and waits until no handler runs any more. Then nothing refers to
    // what the handler uses. Requires: the context runs until this has
    // returned.
    [[nodiscard]] asio::awaitable<void> end();

    // Number of coroutines that haven't ended: the one that accepts, and one
    // for each connection.
    [[nodiscard]] std::size_t running_tasks() const;

    // Number of open connections, idle or with a request in flight.
    [[nodiscard]] std::size_t connections() const;

    // Number of requests that are being handled.
    [[nodiscard]] std::size_t in_flight() const;

private:
    struct state;

    explicit http_server(std::shared_ptr<state> state);

    std::shared_ptr<state> state_;
};

} // namespace nutmegusher::node

#endif
