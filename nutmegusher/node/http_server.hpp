// HTTP/1.1 towards members, clerks, upstreams and operators, over Boost.Beast.
//
// A server belongs to one io_context and is used from its thread only. The
// handler gets one `caller_exchange` a request and either writes an answer or
// leaves it; an exchange that isn't finished closes its connection, so that a
// broken answer never looks whole.
#ifndef NUTMEGUSHER_NODE_HTTP_SERVER_HPP
#define NUTMEGUSHER_NODE_HTTP_SERVER_HPP

#include "nutmegusher/base/base.hpp"
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

// Why a caller's request can't be read to its end.
enum class caller_failure : std::uint8_t
{
    disconnected,
    malformed,
    too_slow,
    // The process ends: see `caller_exchange::on_give_up`.
    given_up
};

// One request and its answer on a caller's connection.
class caller_exchange
{
public:
    virtual ~caller_exchange() = default;

    [[nodiscard]] virtual const wire::request_head& head() const = 0;

    // Where the caller connected from.
    [[nodiscard]] virtual asio::ip::tcp::endpoint caller() const = 0;

    // The next bytes of the request's body; 0 at its clean end.
    virtual asio::awaitable<outcome<std::size_t, caller_failure>>
    read_some(std::span<std::byte> into) = 0;

    // Writes a whole answer. False: the caller has gone.
    virtual asio::awaitable<bool>
    answer(wire::response_head head, std::string_view body) = 0;

    // Starts an answer whose body follows; without `length` it is chunked.
    virtual asio::awaitable<bool> begin_answer(
        wire::response_head head, std::optional<std::uint64_t> length) = 0;

    virtual asio::awaitable<bool>
    write_some(std::span<const std::byte> bytes) = 0;

    // The clean end of an answer that was begun.
    virtual asio::awaitable<bool> end_answer() = 0;

    // Calls `on_gone` once if the caller closes its connection before the
    // answer begins. Requires: the request's body was read to its end.
    virtual void on_disconnect(std::function<void()> on_gone) = 0;

    // Calls `callback` once if the process ends before the answer has begun:
    // the handler must give its final answer at once. The last call counts; at
    // once where that is so already. One that reads the body gets `given_up`
    // from there.
    virtual void on_give_up(std::function<void()> callback) = 0;
};

using http_handler = std::function<asio::awaitable<void>(caller_exchange&)>;

struct http_server_options
{
    std::uint32_t connections = 4096;
    std::uint32_t header_bytes = 16384;
    // A connection without a request for this long is closed.
    duration idle_timeout = std::chrono::seconds(60);
    bool reuse_port = false;
};

// Why a listener can't be opened.
struct listen_error
{
    asio::ip::tcp::endpoint address;
    boost::system::error_code code;
};

// Accepts connections and serves their requests one after the other.
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

    // Each connection closes after its next answer; new ones are accepted.
    void close_after_answers();

    // From now on no connection brings a further request: none is accepted,
    // and those on which nothing of a request was read are closed. A request
    // that was read, in part or whole, is served; then its connection closes.
    // Once `connections` is 0 it stays so.
    void close_intake();

    // Has each request in work answered at once: see `on_give_up`. Closes the
    // connections on which a head hasn't come whole.
    // Requires: `close_intake` was called.
    void give_up();

    // Open connections, each of which waits for a request or owes an answer.
    [[nodiscard]] std::size_t connections() const;

    // Requests that are being handled.
    [[nodiscard]] std::size_t in_flight() const;

private:
    struct state;

    explicit http_server(std::shared_ptr<state> state);

    std::shared_ptr<state> state_;
};

} // namespace nutmegusher::node

#endif
