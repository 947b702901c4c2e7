#include "nutmegusher/node/upstream_client.hpp"

#include "nutmegusher/node/body_reading.hpp"
#include "nutmegusher/node/message_text.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace nutmegusher::node
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

constexpr unsigned http_11 = 11;

// The upstream runs on the same host; a connection that takes longer won't be
// accepted at all.
constexpr duration connect_timeout = std::chrono::milliseconds(500);
// Servers close idle connections after some seconds. A connection used within
// `max_fresh_idle` is still open unless the server has stopped.
constexpr duration max_fresh_idle = std::chrono::milliseconds(500);
constexpr duration default_idle_timeout = std::chrono::seconds(4);
// Subtracted from the keep-alive timeout that an upstream announces, so that a
// request arrives before the upstream closes the connection.
constexpr duration idle_margin = std::chrono::seconds(1);
// Answers to earlier requests that are skipped before the awaited one. After
// more than that the connection is taken to be out of sync for good.
constexpr int max_skipped_answers = 2;
constexpr std::size_t max_idle_connections = 256;
// A connection that has carried this many calls with an echoed field isn't used
// again, which bounds the memory for their values.
constexpr std::size_t max_echoed_values = 1024;
// `is_listening` opens at most this many connections and waits this long after
// each; a stopped upstream shows within that.
constexpr int max_probes = 3;
constexpr duration probe_delay = std::chrono::milliseconds(5);
// An upstream that closes a connection without having read the request resets
// it within a round trip, on the same host: at once, or when more of the
// request arrives.
constexpr duration max_reset_delay = std::chrono::milliseconds(100);
constexpr duration reset_check_interval = std::chrono::milliseconds(5);
constexpr std::uint32_t max_answer_header_bytes = 65536;
// Bounds what the parser holds: a head, or a line of chunked coding, and what
// was read along with it.
constexpr std::size_t max_buffered_bytes = 2 * max_answer_header_bytes;
// Bytes of interim answers, of answers to earlier requests and of rejections
// that one call reads only to discard them.
constexpr std::size_t max_discarded_bytes = 1024 * 1024;
// How long `discard_rest` waits: a new connection costs less.
constexpr duration max_discard_time = std::chrono::milliseconds(100);
// The initial buffer holds a head and most of the users' answers (1.5 to 5 KB).
// Without it Beast reads 512 bytes at a time: an answer of 1.5 KB took five
// reads with a poll of the sockets after each, 19 system calls in all.
constexpr std::size_t first_read_bytes = 8192;
constexpr std::size_t typical_head_bytes = 1024;

upstream_failure to_failure(boost::system::error_code code)
{
    if (code == beast::error::timeout)
    {
        return upstream_failure::timed_out;
    }
    if (code == asio::error::operation_aborted ||
        code == asio::error::bad_descriptor)
    {
        return upstream_failure::cancelled;
    }
    const bool is_parse_error =
        code.category() ==
        http::make_error_code(http::error::bad_method).category();
    if (is_parse_error && code != http::error::partial_message &&
        code != http::error::end_of_stream)
    {
        return upstream_failure::malformed;
    }
    return upstream_failure::broken;
}

bool is_hop_header(std::string_view name)
{
    return name == "connection" || name == "transfer-encoding" ||
           name == "content-length" || name == "keep-alive" ||
           name == "expect" || name == "te" || name == "upgrade";
}

// Whether an idle connection is still open. It has nothing to read; data or an
// end of file mean that it can't be used.
bool still_open(tcp::socket& socket)
{
    char probe = 0;
    const auto received =
        ::recv(socket.native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Whether the peer has reset the connection, or it was closed here. Unlike the
// error of a read or a write, which the socket reports only once, this stays.
// Requires: this side hasn't ended its side of the connection.
bool is_reset(tcp::socket& socket)
{
    pollfd state{socket.native_handle(), 0, 0};
    return !socket.is_open() || (::poll(&state, 1, 0) > 0 &&
                                 (state.revents & (POLLERR | POLLHUP)) != 0);
}

// Whether the peer has acknowledged all bytes that were written.
bool all_acknowledged(tcp::socket& socket)
{
    int outstanding = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &outstanding) == 0 &&
           outstanding == 0;
}

// A connection to an upstream. The destructor closes it.
struct upstream_connection
{
    explicit upstream_connection(asio::io_context& context)
        : stream(context)
    {
    }

    [[nodiscard]] bool has_carried(std::uint64_t echoed_value) const
    {
        return std::ranges::find(echoed_values, echoed_value) !=
               echoed_values.end();
    }

    beast::tcp_stream stream;
    // Hashes of the echoed values of all requests sent on the connection.
    std::vector<std::uint64_t> echoed_values;
};

struct idle_connection
{
    std::unique_ptr<upstream_connection> connection;
    tcp::endpoint address;
    time_point idle_since;
    duration idle_timeout{default_idle_timeout};
};

// Parses "timeout=10, max=5" (seconds) and subtracts `idle_margin`; returns
// `default_idle_timeout` if there is no timeout.
duration parse_keep_alive(std::string_view keep_alive)
{
    constexpr std::string_view key = "timeout=";
    const auto at = keep_alive.find(key);
    std::uint32_t seconds = 0;
    const auto digits = at == std::string_view::npos
                            ? std::string_view()
                            : keep_alive.substr(at + key.size());
    const auto [rest, code] =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (code != std::errc() || rest == digits.data())
    {
        return default_idle_timeout;
    }
    return std::max<duration>(
        std::chrono::seconds(seconds) - idle_margin, duration::zero());
}

} // namespace

namespace internal
{

struct upstream_pool_state
{
    explicit upstream_pool_state(asio::io_context& context)
        : context(context)
    {
    }

    // Returns nullptr if no idle connection can carry the request. An upstream
    // may repeat an answer later on the same connection, so a connection
    // carries each echoed value once: with the second request, an answer to the
    // first one would be taken for its own.
    std::unique_ptr<upstream_connection> take(
        const tcp::endpoint& address,
        duration max_idle_time,
        std::optional<std::uint64_t> echoed_value)
    {
        const auto now = host_clock().now();
        for (auto at = idle.size(); at-- > 0;)
        {
            auto& each = idle[at];
            const bool usable = each.address == address &&
                                now - each.idle_since <= max_idle_time &&
                                now - each.idle_since < each.idle_timeout &&
                                still_open(each.connection->stream.socket());
            if (usable && echoed_value &&
                each.connection->has_carried(*echoed_value))
            {
                continue;
            }
            auto connection = std::move(each.connection);
            idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
            if (usable)
            {
                return connection;
            }
        }
        return nullptr;
    }

    [[nodiscard]] bool has_open(const tcp::endpoint& address)
    {
        return std::ranges::any_of(
            idle,
            [&address](const idle_connection& each)
            {
                return each.address == address &&
                       still_open(each.connection->stream.socket());
            });
    }

    void
    put(std::unique_ptr<upstream_connection> connection,
        const tcp::endpoint& address,
        duration idle_timeout)
    {
        if (connection->echoed_values.size() >= max_echoed_values)
        {
            return;
        }
        if (idle.size() >= max_idle_connections)
        {
            idle.erase(idle.begin());
        }
        idle.push_back(
            {std::move(connection), address, host_clock().now(), idle_timeout});
    }

    asio::io_context& context;
    std::vector<idle_connection> idle;
};

// A request whose body is sent in parts.
struct streamed_request
{
    http::request<http::buffer_body> message;
    std::optional<http::request_serializer<http::buffer_body>> serializer;
};

struct upstream_call_state
{
    std::shared_ptr<upstream_pool_state> pool;
    std::unique_ptr<upstream_connection> connection;
    tcp::endpoint address;
    beast::flat_buffer buffer{max_buffered_bytes};
    // The head and, unless it is long, the body, while they are sent in the
    // background; empty if the body is streamed.
    std::string message;
    // What isn't sent yet of `message` and the parts of a long body.
    std::vector<asio::const_buffer> buffers;
    std::unique_ptr<streamed_request> streamed;
    std::optional<http::response_parser<http::buffer_body>> parser;
    bool is_head = false;
    std::string echoed_field;
    std::string echoed_value;
    duration idle_timeout{default_idle_timeout};
    // No answer to an earlier request came before this one.
    bool in_sync = true;
    // Of all answers read for this call.
    std::size_t parsed_bytes = 0;
    bool request_done = false;
    bool cancelled = false;

    upstream_failure failure_of(boost::system::error_code code) const
    {
        return cancelled ? upstream_failure::cancelled : to_failure(code);
    }
};

} // namespace internal

namespace
{

// A longer body is sent from where it is.
constexpr std::size_t max_copied_body_bytes = 65536;

std::vector<std::string_view> body_of(const upstream_request& request)
{
    if (request.blocks != nullptr)
    {
        return request.blocks->parts();
    }
    return request.body.empty() ? std::vector<std::string_view>()
                                : std::vector{request.body};
}

std::uint64_t body_size(const upstream_request& request)
{
    return request.blocks != nullptr ? request.blocks->size()
                                     : request.body.size();
}

bool is_sent_in_place(const upstream_request& request)
{
    return request.blocks != nullptr &&
           body_size(request) > max_copied_body_bytes;
}

bool has_body_length(const upstream_request& request)
{
    return body_size(request) > 0 ||
           (request.head.method != "GET" && request.head.method != "HEAD");
}

// The head of a request whose body is complete, and a body that is copied.
std::string make_message(const upstream_request& from)
{
    const bool copies_body = !is_sent_in_place(from);
    std::string message;
    message.reserve(typical_head_bytes + (copies_body ? body_size(from) : 0));
    message.append(from.head.method).append(" ").append(from.head.path);
    message += " HTTP/1.1\r\n";
    for (const auto& field : from.head.fields)
    {
        if (!is_hop_header(field.name))
        {
            internal::append_field(message, field.name, field.value);
        }
    }
    if (has_body_length(from))
    {
        const auto length = std::to_string(body_size(from));
        internal::append_field(message, "Content-Length", length);
    }
    message += "\r\n";
    if (copies_body)
    {
        for (const auto part : body_of(from))
        {
            message += part;
        }
    }
    return message;
}

// What is sent for the request, once `message` was made.
std::vector<asio::const_buffer>
make_buffers(const std::string& message, const upstream_request& from)
{
    std::vector<asio::const_buffer> buffers{asio::buffer(message)};
    if (is_sent_in_place(from))
    {
        for (const auto part : body_of(from))
        {
            buffers.emplace_back(part.data(), part.size());
        }
    }
    return buffers;
}

// Drops the first bytes of the buffers.
void drop_first(std::vector<asio::const_buffer>& buffers, std::size_t bytes)
{
    auto rest = buffers.begin();
    while (rest != buffers.end() && rest->size() <= bytes)
    {
        bytes -= rest->size();
        ++rest;
    }
    buffers.erase(buffers.begin(), rest);
    if (!buffers.empty())
    {
        buffers.front() += bytes;
    }
}

std::unique_ptr<internal::streamed_request>
make_streamed(const upstream_request& from)
{
    auto made = std::make_unique<internal::streamed_request>();
    auto& message = made->message;
    message.version(http_11);
    message.method_string(from.head.method);
    message.target(from.head.path);
    for (const auto& field : from.head.fields)
    {
        if (!is_hop_header(field.name))
        {
            message.insert(field.name, field.value);
        }
    }
    message.chunked(true);
    message.keep_alive(true);
    made->serializer.emplace(message);
    return made;
}

asio::awaitable<boost::system::error_code> write_body(
    internal::upstream_call_state& call,
    std::span<const std::byte> bytes,
    bool end)
{
    auto& request = *call.streamed;
    auto& body = request.message.body();
    body.data = bytes.empty() ? nullptr : const_cast<std::byte*>(bytes.data());
    body.size = bytes.size();
    body.more = !end;
    auto [failed, size] = co_await http::async_write(
        call.connection->stream, *request.serializer, as_tuple_awaitable);
    call.request_done = end;
    co_return failed == http::error::need_buffer ? boost::system::error_code()
                                                 : failed;
}

} // namespace

namespace
{

using call_state = std::shared_ptr<internal::upstream_call_state>;

// Sends head and body, in the background what the socket doesn't take at once.
// A failed write leaves `request_done` unset: an answer that has begun counts,
// even if the body wasn't sent completely, if it is whole (see `confirm_end`).
void start_write(const call_state& call)
{
    auto& stream = call->connection->stream;
    boost::system::error_code failed;
    const auto sent = stream.socket().write_some(call->buffers, failed);
    drop_first(call->buffers, sent);
    call->request_done = call->buffers.empty();
    if (call->request_done || (failed && failed != asio::error::would_block))
    {
        return;
    }
    asio::async_write(
        stream,
        call->buffers,
        [call](boost::system::error_code write_failed, std::size_t)
        {
            call->request_done = !write_failed;
        });
}

bool is_for_other_request(const internal::upstream_call_state& call)
{
    const auto found = call.parser->get().find(call.echoed_field);
    return !call.echoed_field.empty() && found != call.parser->get().end() &&
           found->value() != call.echoed_value;
}

// Whether the answer announces content that its status doesn't allow, so that
// bytes may follow which belong to no answer.
bool announces_forbidden_content(const internal::upstream_call_state& call)
{
    const auto& head = call.parser->get();
    return head.result() == http::status::no_content &&
           (call.parser->content_length().value_or(0) > 0 ||
            call.parser->chunked());
}

// Discards the rest of an answer that is being skipped. Fails if more than
// `limit` bytes have been parsed by then.
asio::awaitable<boost::system::error_code>
skip_body(internal::upstream_call_state& call, std::size_t limit)
{
    std::array<char, 4096> chunk;
    while (!call.parser->is_done())
    {
        auto& body = call.parser->get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        const auto failed = co_await internal::read_body_some(
            call.connection->stream,
            call.buffer,
            *call.parser,
            call.parsed_bytes);
        if (failed)
        {
            co_return failed;
        }
        if (call.parsed_bytes > limit)
        {
            co_return http::error::body_limit;
        }
    }
    co_return boost::system::error_code();
}

// Confirms that an answer whose end is the end of the connection is whole,
// which a reset doesn't show. Fails if the connection is reset before the
// upstream has received the request, or within `max_reset_delay`.
//
// Pattern of failure: the socket reports a reset to the write of the request,
// and the read that follows ends as if the upstream had closed the connection.
asio::awaitable<boost::system::error_code>
confirm_end(internal::upstream_call_state& call)
{
    auto& socket = call.connection->stream.socket();
    const auto until = host_clock().now() + max_reset_delay;
    asio::steady_timer pause(call.pool->context);
    while (!call.request_done || !all_acknowledged(socket))
    {
        if (is_reset(socket))
        {
            co_return asio::error::connection_reset;
        }
        if (host_clock().now() >= until)
        {
            co_return boost::system::error_code();
        }
        pause.expires_after(reset_check_interval);
        co_await pause.async_wait(as_tuple_awaitable);
    }
    co_return boost::system::error_code();
}

asio::awaitable<boost::system::error_code>
read_one_head(internal::upstream_call_state& call)
{
    call.parser.emplace();
    call.parser->header_limit(max_answer_header_bytes);
    call.parser->body_limit(boost::none);
    if (call.is_head)
    {
        call.parser->skip(true);
    }
    co_return co_await internal::read_head(
        call.connection->stream, call.buffer, *call.parser, call.parsed_bytes);
}

// Whether the body is in no transfer coding or in chunks (RFC 9112, section
// 6.1). The parser decodes chunks and leaves any other coding in the body.
bool has_known_coding(const http::response_header<>& head)
{
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    return first == last ||
           (std::next(first) == last && head.version() == http_11 &&
            beast::iequals(first->value(), "chunked"));
}

// Checks what the parser lets pass although no caller could read it.
boost::system::error_code check_head(const http::response_header<>& head)
{
    const auto status = head.result_int();
    if (!is_interim_status(status) && !is_final_status(status))
    {
        return http::error::bad_status;
    }
    if (!has_known_coding(head))
    {
        return http::error::bad_transfer_encoding;
    }
    return {};
}

// Reads heads up to the one that answers this call, and discards interim
// answers and answers to earlier requests.
asio::awaitable<boost::system::error_code>
read_own_head(internal::upstream_call_state& call)
{
    const auto limit = call.parsed_bytes + max_discarded_bytes;
    int skipped = 0;
    while (true)
    {
        auto failed = co_await read_one_head(call);
        if (!failed)
        {
            failed = check_head(call.parser->get());
        }
        if (failed)
        {
            co_return failed;
        }
        if (is_interim_status(call.parser->get().result_int()))
        {
            if (call.parser->get().result() ==
                http::status::switching_protocols)
            {
                // No request asks for it.
                co_return http::error::bad_status;
            }
            if (call.parsed_bytes > limit)
            {
                co_return http::error::header_limit;
            }
            continue;
        }
        if (!is_for_other_request(call))
        {
            co_return boost::system::error_code();
        }
        call.in_sync = false;
        // The head of an answer doesn't tell which method it answers, and so
        // whether a body follows.
        if (call.is_head || ++skipped > max_skipped_answers)
        {
            co_return http::error::bad_field;
        }
        failed = co_await skip_body(call, limit);
        if (failed)
        {
            co_return failed;
        }
    }
}

} // namespace

upstream_call::upstream_call(
    std::shared_ptr<internal::upstream_call_state> state)
    : state_(std::move(state))
{
}

upstream_call::~upstream_call()
{
    // A write may still be pending; closing the connection ends it.
    if (state_->connection)
    {
        state_->connection->stream.close();
    }
}

asio::awaitable<outcome<void, upstream_failure>>
upstream_call::write_some(std::span<const std::byte> bytes, bool end)
{
    const auto failed = co_await write_body(*state_, bytes, end);
    if (failed)
    {
        co_return state_->failure_of(failed);
    }
    co_return outcome<void, upstream_failure>();
}

asio::awaitable<outcome<wire::response_head, upstream_failure>>
upstream_call::read_head()
{
    auto& call = *state_;
    const auto failed = co_await read_own_head(call);
    if (failed)
    {
        co_return call.failure_of(failed);
    }
    const auto& answer = call.parser->get();
    if (!call.echoed_field.empty() && answer.count(call.echoed_field) == 0)
    {
        co_return upstream_failure::malformed;
    }
    call.idle_timeout = parse_keep_alive(answer[http::field::keep_alive]);
    wire::response_head head;
    head.status = answer.result_int();
    for (const auto& field : answer)
    {
        std::string name(field.name_string());
        for (char& c : name)
        {
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        if (!is_hop_header(name))
        {
            head.fields.push_back(
                {std::move(name), std::string(field.value())});
        }
    }
    co_return head;
}

std::optional<std::uint64_t> upstream_call::content_length() const
{
    const auto length = state_->parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

asio::awaitable<outcome<std::size_t, upstream_failure>>
upstream_call::read_some(std::span<std::byte> into)
{
    auto& call = *state_;
    auto& body = call.parser->get().body();
    while (!call.parser->is_done())
    {
        body.data = into.data();
        body.size = into.size();
        const auto failed = co_await internal::read_body_some(
            call.connection->stream,
            call.buffer,
            *call.parser,
            call.parsed_bytes);
        if (failed)
        {
            co_return call.failure_of(failed);
        }
        if (const auto received = into.size() - body.size; received > 0)
        {
            co_return received;
        }
    }
    if (call.parser->need_eof())
    {
        if (const auto failed = co_await confirm_end(call))
        {
            co_return call.failure_of(failed);
        }
    }
    // A late copy of an answer to HEAD would be skipped with the beginning of
    // the next answer in place of a body.
    if (call.connection && call.request_done && call.in_sync && !call.is_head &&
        call.parser->keep_alive() && call.buffer.size() == 0 &&
        !announces_forbidden_content(call))
    {
        call.connection->stream.expires_never();
        call.pool->put(
            std::move(call.connection), call.address, call.idle_timeout);
    }
    co_return std::size_t{0};
}

asio::awaitable<void> upstream_call::discard_rest()
{
    auto& call = *state_;
    const auto limit = call.parsed_bytes + max_discarded_bytes;
    const auto until = host_clock().now() + max_discard_time;
    std::array<std::byte, 4096> chunk;
    bool has_more = call.connection && call.parser->keep_alive();
    if (has_more)
    {
        call.connection->stream.expires_after(max_discard_time);
    }
    while (has_more)
    {
        const auto received = co_await read_some(chunk);
        has_more = received && *received > 0 && call.parsed_bytes <= limit &&
                   host_clock().now() < until;
    }
    if (call.connection)
    {
        call.connection->stream.close();
    }
}

void upstream_call::cancel()
{
    state_->cancelled = true;
    if (state_->connection)
    {
        state_->connection->stream.close();
    }
}

upstream_pool::upstream_pool(asio::io_context& context)
    : state_(std::make_shared<internal::upstream_pool_state>(context))
{
}

upstream_pool::~upstream_pool() = default;

std::size_t upstream_pool::idle_connections() const
{
    return state_->idle.size();
}

asio::awaitable<bool> upstream_pool::is_listening(tcp::endpoint address)
{
    if (state_->has_open(address))
    {
        co_return true;
    }
    for (int i = 0; i < max_probes; ++i)
    {
        beast::tcp_stream probe(state_->context);
        probe.expires_after(connect_timeout);
        auto [failed] =
            co_await probe.async_connect(address, as_tuple_awaitable);
        if (failed)
        {
            co_await wire::interruption_point();
            co_return false;
        }
        // A process that exits closes its listener and its connections one
        // after the other, so a connection accepted in between is closed at
        // once.
        asio::steady_timer pause(state_->context);
        pause.expires_after(probe_delay);
        co_await pause.async_wait(as_tuple_awaitable);
        if (still_open(probe.socket()))
        {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<outcome<std::unique_ptr<upstream_call>, upstream_failure>>
upstream_pool::send(tcp::endpoint address, const upstream_request& request)
{
    const auto call = std::make_shared<internal::upstream_call_state>();
    call->buffer.reserve(first_read_bytes);
    call->pool = state_;
    call->address = address;
    std::optional<std::uint64_t> echoed_hash;
    if (!request.echoed_field.empty())
    {
        call->echoed_field = request.echoed_field;
        call->echoed_value =
            wire::find_header(request.head.fields, request.echoed_field)
                .value_or("");
        echoed_hash = stable_hash(call->echoed_value);
    }
    call->connection = state_->take(
        address,
        request.needs_fresh_connection ? max_fresh_idle : default_idle_timeout,
        echoed_hash);
    if (!call->connection)
    {
        call->connection =
            std::make_unique<upstream_connection>(state_->context);
        auto& stream = call->connection->stream;
        stream.expires_after(std::min(connect_timeout, request.time_left));
        auto [failed] =
            co_await stream.async_connect(address, as_tuple_awaitable);
        if (failed)
        {
            co_await wire::interruption_point();
            co_return upstream_failure::not_connected;
        }
        // Nothing is sent for a call that was interrupted meanwhile.
        co_await wire::interruption_point();
        boost::system::error_code ignored;
        stream.socket().set_option(tcp::no_delay(true), ignored);
        stream.socket().non_blocking(true, ignored);
    }
    if (echoed_hash)
    {
        call->connection->echoed_values.push_back(*echoed_hash);
    }
    call->connection->stream.expires_after(request.time_left);
    call->is_head = request.head.method == "HEAD";
    if (!request.streamed)
    {
        call->message = make_message(request);
        call->buffers = make_buffers(call->message, request);
        start_write(call);
        co_return std::make_unique<upstream_call>(call);
    }
    call->streamed = make_streamed(request);
    const auto body = std::as_bytes(std::span(request.body));
    const auto failed = co_await write_body(*call, body, false);
    if (failed)
    {
        co_return call->failure_of(failed);
    }
    co_return std::make_unique<upstream_call>(call);
}

} // namespace nutmegusher::node
