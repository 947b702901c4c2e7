#include "nutmegusher/node/http_server.hpp"

#include "nutmegusher/node/body_reading.hpp"
#include "nutmegusher/node/connection_table.hpp"
#include "nutmegusher/node/message_text.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>
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
// Time left for the rest of a partly read head once the server has given up.
constexpr duration final_head_timeout = std::chrono::milliseconds(50);
// A caller that sends so much of its body isn't stalled.
constexpr std::size_t progress_bytes = 65536;
// Until the next try when the process has no descriptor for a connection.
constexpr duration accept_retry_delay = std::chrono::milliseconds(20);
// How long a caller may keep sending its body after the answer.
constexpr duration linger_timeout = std::chrono::seconds(1);
// Read size for the first bytes of a request; most requests fit into it.
constexpr std::size_t first_read_bytes = 1024;
constexpr std::size_t typical_head_bytes = 512;
// What a connection without a request keeps of its buffer.
constexpr std::size_t max_idle_buffer_bytes = 4096;

wire::request_head to_request_head(const http::request_header<>& from)
{
    wire::request_head head;
    head.method = std::string(from.method_string());
    head.path = std::string(from.target());
    for (const auto& field : from)
    {
        std::string name(field.name_string());
        for (char& c : name)
        {
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        head.fields.push_back({std::move(name), std::string(field.value())});
    }
    return head;
}

// Fields that say how the server sends the answer.
bool is_set_by_server(std::string_view field)
{
    return field == "content-length" || field == "transfer-encoding" ||
           field == "connection";
}

template <class Message>
void fill_head(
    Message& message, const wire::response_head& head, bool keep_alive)
{
    message.result(head.status);
    for (const auto& field : head.fields)
    {
        if (!is_set_by_server(field.name))
        {
            message.insert(field.name, field.value);
        }
    }
    message.keep_alive(keep_alive);
}

// Whether an answer with this status never has content.
bool is_without_content(unsigned status)
{
    return status == static_cast<unsigned>(http::status::no_content) ||
           status == static_cast<unsigned>(http::status::not_modified);
}

// Head of an answer; `length` is that of its body, and empty if no body follows
// a head of this kind.
std::string make_head_text(
    const wire::response_head& head,
    std::optional<std::size_t> length,
    bool keep_alive)
{
    const auto reason = http::obsolete_reason(http::int_to_status(head.status));
    std::string text;
    text.reserve(typical_head_bytes);
    text += "HTTP/1.1 " + std::to_string(head.status) + ' ';
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto& field : head.fields)
    {
        if (!is_set_by_server(field.name))
        {
            internal::append_field(text, field.name, field.value);
        }
    }
    if (!keep_alive)
    {
        internal::append_field(text, "Connection", "close");
    }
    if (length)
    {
        internal::append_field(text, "Content-Length", std::to_string(*length));
    }
    text += "\r\n";
    return text;
}

// Returns true if the peer has closed the connection or it has failed.
bool peer_has_closed(tcp::socket& socket)
{
    char probe = 0;
    const auto read_size =
        ::recv(socket.native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
    return read_size == 0 ||
           (read_size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// Sets whether the end of the connection is a reset, which holds even when the
// process ends. The socket's own option wouldn't: its destructor takes it back.
void set_reset_on_close(tcp::socket& socket, bool enabled)
{
    struct ::linger option = {};
    option.l_onoff = enabled ? 1 : 0;
    ::setsockopt(
        socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

// Notices that the caller closes its connection while its request is handled.
// The exchange owns it; the pending wait holds a weak reference, as it may
// complete after the exchange is destroyed.
class disconnect_watch : public std::enable_shared_from_this<disconnect_watch>
{
public:
    // What the caller sends meanwhile goes into `read_ahead`, up to `max_bytes`
    // there.
    disconnect_watch(
        tcp::socket& socket,
        beast::flat_buffer& read_ahead,
        std::size_t max_bytes,
        std::function<void()> on_gone)
        : socket_(socket)
        , read_ahead_(read_ahead)
        , max_bytes_(max_bytes)
        , on_gone_(std::move(on_gone))
    {
    }

    void start()
    {
        if (!read_available())
        {
            const auto callback = std::exchange(on_gone_, nullptr);
            callback();
            return;
        }
        if (read_ahead_.size() < max_bytes_)
        {
            wait();
        }
    }

private:
    void wait()
    {
        socket_.async_wait(
            tcp::socket::wait_read,
            [weak = weak_from_this()](boost::system::error_code failed)
            {
                const auto self = weak.lock();
                if (self && !failed)
                {
                    self->start();
                }
            });
    }

    // Returns false if the connection was closed or has failed.
    bool read_available()
    {
        std::array<char, first_read_bytes> chunk;
        while (read_ahead_.size() < max_bytes_)
        {
            const auto got = ::recv(
                socket_.native_handle(),
                chunk.data(),
                std::min(chunk.size(), max_bytes_ - read_ahead_.size()),
                MSG_DONTWAIT);
            if (got <= 0)
            {
                return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            }
            const auto read = asio::buffer(chunk.data(), got);
            read_ahead_.commit(
                asio::buffer_copy(read_ahead_.prepare(read.size()), read));
        }
        return true;
    }

    tcp::socket& socket_;
    beast::flat_buffer& read_ahead_;
    const std::size_t max_bytes_;
    std::function<void()> on_gone_;
};

class beast_exchange;

// A caller's connection and the handling of its current request.
struct caller_connection
{
    caller_connection(
        tcp::socket socket, std::shared_ptr<connection_table> table)
        : stream(std::move(socket))
        , place(
              std::move(table),
              [this]
              {
                  end();
              })
    {
    }

    // Ends the connection for another one.
    void end();

    beast::tcp_stream stream;
    connection_table::entry place;
    wire::interruptible work;
    // Null: no request has been read.
    beast_exchange* exchange = nullptr;
};

} // namespace

namespace
{

// Whether a server still takes requests.
enum class intake_state : std::uint8_t
{
    open,
    closing_after_answers,
    closed,
    // Closed, and requests in flight get their final answer at once.
    giving_up
};

} // namespace

struct http_server::state
{
    state(
        asio::io_context& context,
        http_handler handler,
        const http_server_options& options)
        : acceptor(context)
        , table(std::make_shared<connection_table>(options.connections))
        , tasks(context)
        , handler(std::move(handler))
        , options(options)
    {
    }

    [[nodiscard]] request_bounds bounds() const
    {
        auto result = options.bounds ? options.bounds() : request_bounds();
        if (!options.bounds || result.header_bytes > options.header_bytes)
        {
            result.header_bytes = options.header_bytes;
        }
        return result;
    }

    // Whether another connection may be opened.
    [[nodiscard]] bool make_room()
    {
        const bool full = table->is_full();
        const bool accepted = table->make_room(host_clock().now());
        if (full && options.on_full)
        {
            options.on_full(accepted);
        }
        return accepted;
    }

    tcp::acceptor acceptor;
    // Connections may outlive the server until its context is destroyed.
    std::shared_ptr<connection_table> table;
    wire::task_group tasks;
    http_handler handler;
    const http_server_options options;
    intake_state intake = intake_state::open;
    // Connections on which no byte of a request has been read.
    std::set<beast::tcp_stream*> idle_streams;
    // Connections on which a request head is being read.
    std::set<beast::tcp_stream*> streams_reading_head;
    std::set<beast_exchange*> active_exchanges;
    std::size_t connections = 0;
    std::size_t in_flight = 0;
};

namespace
{

class beast_exchange final : public caller_exchange
{
public:
    beast_exchange(
        caller_connection& connection,
        beast::flat_buffer& buffer,
        const http_server_options& options,
        std::uint32_t header_bytes,
        const intake_state& intake)
        : connection_(connection)
        , stream_(connection.stream)
        , work_(connection.work)
        , buffer_(buffer)
        , options_(options)
        , intake_(intake)
    {
        connection_.exchange = this;
        parser_.header_limit(header_bytes);
        parser_.body_limit(boost::none);
    }

    ~beast_exchange() override
    {
        connection_.exchange = nullptr;
        if (self_)
        {
            *self_ = nullptr;
        }
        stop_watch();
        if (head_read_at_ && !answer_finished_ &&
            !peer_has_closed(stream_.socket()))
        {
            log_unanswered();
        }
    }

    beast_exchange(const beast_exchange&) = delete;
    beast_exchange& operator=(const beast_exchange&) = delete;

    asio::awaitable<boost::system::error_code> read_head()
    {
        // Most heads are already buffered completely; parsing them here saves a
        // turn of the event loop.
        boost::system::error_code failed;
        const auto used = parser_.put(buffer_.data(), failed);
        buffer_.consume(used);
        if (failed == http::error::need_more)
        {
            connection_.place.wait_for_caller(host_clock().now());
            std::tie(failed, std::ignore) = co_await http::async_read_header(
                stream_, buffer_, parser_, as_tuple_awaitable);
            connection_.place.stop_waiting();
        }
        if (!failed)
        {
            head_ = to_request_head(parser_.get().base());
            head_read_at_ = host_clock().now();
            keep_alive_ = parser_.get().keep_alive();
        }
        co_return failed;
    }

    [[nodiscard]] const wire::request_head& head() const override
    {
        return head_;
    }

    [[nodiscard]] std::optional<std::uint64_t> body_length() const override
    {
        if (parser_.chunked())
        {
            return std::nullopt;
        }
        const auto length = parser_.content_length();
        return length ? std::uint64_t{*length} : 0;
    }

    void limit_reading(time_point until) override
    {
        read_until_ = until;
    }

    void limit_writing(time_point until) override
    {
        write_until_ = until;
    }

    [[nodiscard]] std::function<void()> make_ender() override
    {
        return [weak = weak_self(), executor = stream_.get_executor()]
        {
            asio::post(
                executor,
                [weak]
                {
                    const auto self = weak.lock();
                    if (self && *self != nullptr)
                    {
                        (*self)->make_room();
                    }
                });
        };
    }

    [[nodiscard]] tcp::endpoint caller() const override
    {
        boost::system::error_code ignored;
        return stream_.socket().remote_endpoint(ignored);
    }

    asio::awaitable<outcome<std::size_t, caller_failure>>
    read_some(std::span<std::byte> into) override
    {
        if (!co_await send_continue())
        {
            co_return caller_failure::disconnected;
        }
        auto& body = parser_.get().body();
        while (!parser_.is_done())
        {
            if (const auto why = why_stopped())
            {
                read_failed_ = true;
                co_return *why;
            }
            body.data = into.data();
            body.size = into.size();
            is_reading_body_ = true;
            std::size_t parsed = 0;
            const auto on_wait = [this]
            {
                wait_for_body();
            };
            const auto failed = co_await internal::read_body_some(
                stream_, buffer_, parser_, parsed, on_wait);
            is_reading_body_ = false;
            note_progress(parsed);
            if (failed)
            {
                read_failed_ = true;
                co_return why_stopped().value_or(to_failure(failed));
            }
            if (const auto read_size = into.size() - body.size; read_size > 0)
            {
                co_return read_size;
            }
        }
        co_return std::size_t{0};
    }

    asio::awaitable<bool>
    answer(wire::response_head head, std::string_view body) override
    {
        stop_watch();
        begin_head();
        const bool has_content =
            !is_head_request() && !is_without_content(head.status);
        const auto length =
            has_content ? std::optional(body.size()) : std::nullopt;
        const auto text = make_head_text(head, length, keeps_connection_);
        const auto failed = co_await write_all(text, has_content ? body : "");
        answer_finished_ = !failed;
        co_return answer_finished_;
    }

    asio::awaitable<bool> begin_answer(
        wire::response_head head, std::optional<std::uint64_t> length) override
    {
        // Callers of HTTP/1.0 don't know chunks (RFC 9112, section 6.1).
        ends_with_connection_ =
            !length && parser_.get().version() < http_11 && !is_head_request();
        begin_head();
        response_.version(http_11);
        fill_head(response_, head, keeps_connection_);
        if (length)
        {
            response_.content_length(*length);
        }
        else if (ends_with_connection_)
        {
            // Only a reset can tell the caller that the answer broke off.
            set_reset_on_close(stream_.socket(), true);
        }
        else
        {
            response_.chunked(true);
        }
        response_.body().data = nullptr;
        response_.body().more = true;
        serializer_.emplace(response_);
        const auto write = [this](auto token)
        {
            return http::async_write_header(stream_, *serializer_, token);
        };
        const auto failed = co_await await_write(write);
        co_return !failed;
    }

    asio::awaitable<bool> write_some(std::span<const std::byte> bytes) override
    {
        if (bytes.empty() || is_head_request())
        {
            co_return true;
        }
        auto& body = response_.body();
        // Beast's buffer_body takes a mutable pointer but doesn't write to it
        // when serializing.
        body.data = const_cast<std::byte*>(bytes.data());
        body.size = bytes.size();
        body.more = true;
        const auto failed = co_await write_serialized();
        co_return !failed || failed == http::error::need_buffer;
    }

    asio::awaitable<bool> end_answer() override
    {
        stop_watch();
        if (is_head_request())
        {
            answer_finished_ = true;
            co_return true;
        }
        auto& body = response_.body();
        body.data = nullptr;
        body.size = 0;
        body.more = false;
        const auto failed = co_await write_serialized();
        answer_finished_ = !failed;
        if (answer_finished_ && ends_with_connection_)
        {
            set_reset_on_close(stream_.socket(), false);
        }
        co_return answer_finished_;
    }

    asio::awaitable<handling_end> run(asio::awaitable<void> work) override
    {
        auto end = handling_end::finished;
        const auto end_work = [this, &end](handling_end how)
        {
            if (end == handling_end::finished)
            {
                end = how;
                left_at_ = host_clock().now();
                work_.interrupt();
            }
        };
        on_disconnect(
            [end_work]
            {
                end_work(handling_end::caller_left);
            });
        on_give_up(
            [end_work]
            {
                end_work(handling_end::given_up);
            });
        if (end == handling_end::finished)
        {
            co_await work_.run(std::move(work));
        }
        stop_watch();
        give_up_callback_ = nullptr;
        co_return end;
    }

    [[nodiscard]] time_point left_at() const override
    {
        return left_at_;
    }

    void on_disconnect(std::function<void()> on_gone) override
    {
        if (!parser_.is_done())
        {
            return;
        }
        watch_ = std::make_shared<disconnect_watch>(
            stream_.socket(),
            buffer_,
            options_.header_bytes,
            std::move(on_gone));
        watch_->start();
    }

    void on_give_up(std::function<void()> callback) override
    {
        if (is_given_up())
        {
            callback();
            return;
        }
        give_up_callback_ = std::move(callback);
    }

    // Ends the connection for another one. A request that is read gets its
    // refusal first.
    void give_way()
    {
        gives_way_ = true;
        make_room();
        if (!is_reading_body_ && !is_writing_)
        {
            stream_.close();
        }
    }

    // True if the connection ends for another one.
    [[nodiscard]] bool gives_way() const
    {
        return gives_way_;
    }

    [[nodiscard]] std::function<void()> give_up()
    {
        if (is_reading_body_)
        {
            stream_.cancel();
        }
        return std::exchange(give_up_callback_, nullptr);
    }

    // True if part of the request body hasn't been read.
    [[nodiscard]] bool has_unread_body() const
    {
        return !parser_.is_done();
    }

    // True if the server has given up and the handler, which must have
    // returned, has begun no answer.
    [[nodiscard]] bool is_unanswered() const
    {
        return is_given_up() && !answer_begun_;
    }

    // True if the answer was written completely and the connection can serve
    // another request.
    [[nodiscard]] bool can_serve_next() const
    {
        return answer_finished_ && keeps_connection_;
    }

    // True if the connection must end without a clean end of the answer.
    [[nodiscard]] bool must_reset() const
    {
        return ends_with_connection_ && !answer_finished_;
    }

    void close_after_answer()
    {
        keep_alive_ = false;
    }

private:
    [[nodiscard]] std::weak_ptr<beast_exchange*> weak_self()
    {
        if (!self_)
        {
            self_ = std::make_shared<beast_exchange*>(this);
        }
        return self_;
    }

    // The rest of the body hasn't arrived yet.
    void wait_for_body()
    {
        connection_.place.wait_for_caller(host_clock().now());
        if (body_timer_)
        {
            return;
        }
        body_timer_ =
            std::make_unique<asio::steady_timer>(stream_.get_executor());
        body_timer_->expires_at(
            read_until_.value_or(*head_read_at_ + options_.body_timeout));
        body_timer_->async_wait(
            [weak = weak_self()](boost::system::error_code cancelled)
            {
                const auto self = weak.lock();
                if (!cancelled && self && *self != nullptr)
                {
                    (*self)->stop_reading(caller_failure::too_slow);
                }
            });
    }

    void note_progress(std::size_t bytes)
    {
        connection_.place.pause();
        progress_bytes_ += bytes;
        if (parser_.is_done() || progress_bytes_ >= progress_bytes)
        {
            progress_bytes_ = 0;
            connection_.place.stop_waiting();
        }
        if (parser_.is_done())
        {
            body_timer_.reset();
        }
    }

    // Ends the reading of the body: the caller sends for too long, or others
    // need the memory that its request holds.
    void stop_reading(caller_failure why)
    {
        if (parser_.is_done() || read_stop_)
        {
            return;
        }
        read_stop_ = why;
        if (is_reading_body_)
        {
            stream_.cancel();
        }
    }

    // A caller that doesn't read its answer gets a reset: it mustn't take the
    // part that it has for the whole.
    void make_room()
    {
        stop_reading(caller_failure::no_room);
        if (is_writing_)
        {
            set_reset_on_close(stream_.socket(), true);
            stream_.close();
        }
    }

    // Awaits a write to the caller.
    template <class Write>
    asio::awaitable<boost::system::error_code> await_write(Write write)
    {
        is_writing_ = true;
        const auto now = host_clock().now();
        connection_.place.wait_for_caller(now);
        const auto timeout = now + options_.write_timeout;
        stream_.expires_at(std::min(timeout, write_until_.value_or(timeout)));
        auto [failed, size] = co_await write(as_tuple_awaitable);
        stream_.expires_never();
        connection_.place.stop_waiting();
        is_writing_ = false;
        co_return failed;
    }

    // Why the body isn't read any further.
    [[nodiscard]] std::optional<caller_failure> why_stopped() const
    {
        return is_given_up() ? std::optional(caller_failure::given_up)
                             : read_stop_;
    }

    void log_unanswered() const
    {
        using milliseconds = std::chrono::duration<double, std::milli>;
        const std::string_view path(head_.path);
        const milliseconds age = host_clock().now() - *head_read_at_;
        log_event(
            event::request_unanswered,
            {{"method", head_.method},
             {"path", path.substr(0, path.find('?'))},
             {"age_ms", age.count()}});
    }

    static caller_failure to_failure(boost::system::error_code code)
    {
        if (code == beast::error::timeout)
        {
            return caller_failure::too_slow;
        }
        if (code == http::error::buffer_overflow)
        {
            return caller_failure::too_large;
        }
        return code.category() == http::make_error_code(http::error::bad_method)
                                      .category() &&
                       code != http::error::partial_message &&
                       code != http::error::end_of_stream
                   ? caller_failure::malformed
                   : caller_failure::disconnected;
    }

    asio::awaitable<boost::system::error_code> write_serialized()
    {
        const auto write = [this](auto token)
        {
            return http::async_write(stream_, *serializer_, token);
        };
        co_return co_await await_write(write);
    }

    // Suspends only if the socket doesn't take all at once.
    asio::awaitable<boost::system::error_code>
    write_all(std::string_view head, std::string_view body)
    {
        const std::array buffers{
            asio::buffer(head.data(), head.size()),
            asio::buffer(body.data(), body.size())};
        boost::system::error_code failed;
        const auto sent = stream_.socket().write_some(buffers, failed);
        if (sent == head.size() + body.size())
        {
            co_return boost::system::error_code();
        }
        if (failed && failed != asio::error::would_block)
        {
            co_return failed;
        }
        const std::array rest{
            buffers[0] + sent,
            buffers[1] + (sent - std::min(sent, head.size()))};
        const auto write = [this, &rest](auto token)
        {
            return asio::async_write(stream_, rest, token);
        };
        co_return co_await await_write(write);
    }

    [[nodiscard]] bool is_head_request() const
    {
        return parser_.get().method() == http::verb::head;
    }

    [[nodiscard]] bool can_keep_alive() const
    {
        return keep_alive_ && !read_failed_ && parser_.is_done() &&
               !ends_with_connection_ && intake_ == intake_state::open;
    }

    [[nodiscard]] bool is_given_up() const
    {
        return intake_ == intake_state::giving_up;
    }

    // Prepares the answer's head, which says whether the connection is kept.
    void begin_head()
    {
        answer_begun_ = true;
        give_up_callback_ = nullptr;
        keeps_connection_ = can_keep_alive();
    }

    asio::awaitable<bool> send_continue()
    {
        if (continue_sent_ ||
            !beast::iequals(parser_.get()[http::field::expect], "100-continue"))
        {
            co_return true;
        }
        continue_sent_ = true;
        http::response<http::empty_body> continue_response(
            http::status::continue_, 11);
        auto [failed, size] = co_await http::async_write(
            stream_, continue_response, as_tuple_awaitable);
        co_return !failed;
    }

    void stop_watch()
    {
        if (watch_)
        {
            watch_.reset();
            stream_.socket().cancel();
        }
    }

    caller_connection& connection_;
    beast::tcp_stream& stream_;
    wire::interruptible& work_;
    beast::flat_buffer& buffer_;
    const http_server_options& options_;
    const intake_state& intake_;
    http::request_parser<http::buffer_body> parser_;
    wire::request_head head_;
    http::response<http::buffer_body> response_;
    std::optional<http::response_serializer<http::buffer_body>> serializer_;
    std::shared_ptr<disconnect_watch> watch_;
    // For functions that outlive this object, which resets it.
    std::shared_ptr<beast_exchange*> self_;
    std::optional<caller_failure> read_stop_;
    std::optional<time_point> read_until_;
    std::optional<time_point> write_until_;
    // Ends the reading of a body that didn't come with its head.
    std::unique_ptr<asio::steady_timer> body_timer_;
    // Of the body, since the caller was last seen to make progress.
    std::size_t progress_bytes_ = 0;
    std::function<void()> give_up_callback_;
    std::optional<time_point> head_read_at_;
    time_point left_at_;
    bool keep_alive_ = false;
    bool keeps_connection_ = false;
    // The answer has neither a length nor chunks.
    bool ends_with_connection_ = false;
    bool answer_begun_ = false;
    bool is_reading_body_ = false;
    bool is_writing_ = false;
    bool gives_way_ = false;
    bool continue_sent_ = false;
    bool read_failed_ = false;
    bool answer_finished_ = false;
};

void caller_connection::end()
{
    if (exchange != nullptr)
    {
        exchange->give_way();
    }
    else
    {
        stream.close();
    }
}

// Increments a counter for the lifetime of this object.
class scoped_count
{
public:
    explicit scoped_count(std::size_t& counter)
        : counter_(counter)
    {
        ++counter_;
    }

    ~scoped_count()
    {
        --counter_;
    }

    scoped_count(const scoped_count&) = delete;
    scoped_count& operator=(const scoped_count&) = delete;

private:
    std::size_t& counter_;
};

// Keeps an entry in a set for the lifetime of this object.
template <class Value>
class scoped_entry
{
public:
    scoped_entry(std::set<Value*>& all, Value& value)
        : all_(all)
        , value_(value)
    {
        all_.insert(&value_);
    }

    ~scoped_entry()
    {
        all_.erase(&value_);
    }

    scoped_entry(const scoped_entry&) = delete;
    scoped_entry& operator=(const scoped_entry&) = delete;

private:
    std::set<Value*>& all_;
    Value& value_;
};

// Waits for the first bytes of a request. Returns false if the connection has
// failed or timed out, or if the server takes no more requests.
template <class State>
asio::awaitable<bool> wait_for_request(
    State& server,
    caller_connection& connection,
    beast::flat_buffer& buffer,
    duration idle_timeout)
{
    auto& stream = connection.stream;
    if (buffer.size() > 0)
    {
        co_return true;
    }
    if (server.intake >= intake_state::closed)
    {
        co_return false;
    }
    if (buffer.capacity() > max_idle_buffer_bytes)
    {
        buffer.shrink_to_fit();
    }
    const scoped_entry stream_entry(server.idle_streams, stream);
    stream.expires_after(idle_timeout);
    connection.place.wait_for_caller(host_clock().now());
    auto [failed, size] = co_await stream.async_read_some(
        buffer.prepare(first_read_bytes), as_tuple_awaitable);
    connection.place.stop_waiting();
    buffer.commit(size);
    co_return !failed;
}

// What to do with a connection after a request.
enum class after_request : std::uint8_t
{
    keep_alive,
    close,
    // Close after reading and dropping what the caller still sends.
    linger,
    // Close without announcing the end first, which would be a clean one.
    reset
};

template <class State>
asio::awaitable<after_request> serve_request(
    State& server, caller_connection& connection, beast::flat_buffer& buffer)
{
    auto& stream = connection.stream;
    const auto bounds = server.bounds();
    if (!co_await wait_for_request(
            server, connection, buffer, bounds.idle_timeout))
    {
        co_return after_request::close;
    }
    beast_exchange exchange(
        connection, buffer, server.options, bounds.header_bytes, server.intake);
    boost::system::error_code failed;
    {
        const scoped_entry stream_entry(server.streams_reading_head, stream);
        stream.expires_after(
            server.intake == intake_state::giving_up ? final_head_timeout
                                                     : bounds.header_timeout);
        failed = co_await exchange.read_head();
    }
    stream.expires_never();
    if (failed == http::error::header_limit)
    {
        wire::response_head head{
            431,
            {{"nutmeg-outcome", "not-run"}, {"nutmeg-reason", "too-large"}}};
        exchange.close_after_answer();
        co_await exchange.answer(std::move(head), "");
        co_return after_request::linger;
    }
    if (failed)
    {
        co_return after_request::close;
    }
    const scoped_count count_guard(server.in_flight);
    const scoped_entry exchange_entry(server.active_exchanges, exchange);
    co_await server.handler(exchange);
    if (exchange.is_unanswered())
    {
        wire::response_head head{
            502, {{"nutmeg-outcome", "unknown"}, {"nutmeg-reason", "leaving"}}};
        co_await exchange.answer(std::move(head), "");
    }
    if (exchange.can_serve_next())
    {
        co_return after_request::keep_alive;
    }
    if (exchange.must_reset())
    {
        co_return after_request::reset;
    }
    co_return exchange.has_unread_body() && !exchange.gives_way()
        ? after_request::linger
        : after_request::close;
}

// Reads and drops what the caller still sends: closing a socket with unread
// bytes resets the connection, and the caller may lose the end of its answer.
template <class State>
asio::awaitable<void> linger(State& server, caller_connection& connection)
{
    auto& stream = connection.stream;
    connection.place.wait_for_caller(host_clock().now());
    std::array<char, 4096> dropped;
    stream.expires_after(linger_timeout);
    bool open = true;
    while (open && server.intake != intake_state::giving_up)
    {
        auto [failed, size] = co_await stream.async_read_some(
            asio::buffer(dropped), as_tuple_awaitable);
        open = !failed;
    }
}

template <class State>
asio::awaitable<void> serve_connection(
    std::shared_ptr<State> server,
    std::shared_ptr<caller_connection> connection)
{
    auto& stream = connection->stream;
    const scoped_count count_guard(server->connections);
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    stream.socket().non_blocking(true, ignored);
    // A head, or the trailers of a body, and what was read along with it.
    beast::flat_buffer buffer(2 * std::size_t{server->options.header_bytes});
    auto after = after_request::keep_alive;
    while (after == after_request::keep_alive)
    {
        after = co_await serve_request(*server, *connection, buffer);
    }
    if (after == after_request::reset)
    {
        stream.close();
        co_return;
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (after == after_request::linger)
    {
        co_await linger(*server, *connection);
    }
    stream.close();
}

// After an accept that has failed for want of descriptors, which otherwise
// fails again at once: ends a connection and waits a moment.
template <class State>
asio::awaitable<void>
wait_for_descriptors(State& server, boost::system::error_code failed)
{
    if (failed != asio::error::no_descriptors &&
        failed != boost::system::errc::too_many_files_open_in_system)
    {
        co_return;
    }
    server.table->end_longest_waiting(host_clock().now());
    asio::steady_timer pause(server.acceptor.get_executor());
    pause.expires_after(accept_retry_delay);
    co_await pause.async_wait(as_tuple_awaitable);
}

template <class State>
asio::awaitable<void> accept_all(std::shared_ptr<State> server)
{
    while (server->acceptor.is_open())
    {
        auto [failed, socket] =
            co_await server->acceptor.async_accept(as_tuple_awaitable);
        if (failed)
        {
            co_await wait_for_descriptors(*server, failed);
            continue;
        }
        if (server->intake >= intake_state::closed || !server->make_room())
        {
            continue; // destroys the socket, which closes the connection
        }
        auto connection = std::make_shared<caller_connection>(
            std::move(socket), server->table);
        std::shared_ptr<wire::interruptible> work(
            connection, &connection->work);
        server->tasks.spawn(
            serve_connection(server, connection), std::move(work), nullptr);
    }
}

} // namespace

leaf::result<std::unique_ptr<http_server>> http_server::listen(
    asio::io_context& context,
    const tcp::endpoint& address,
    http_handler handler,
    const http_server_options& options)
{
    auto server_state =
        std::make_shared<state>(context, std::move(handler), options);
    auto& acceptor = server_state->acceptor;
    boost::system::error_code failed;
    acceptor.open(address.protocol(), failed);
    if (!failed)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed && options.reuse_port)
    {
        using reuse_port =
            asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        acceptor.set_option(reuse_port(true), failed);
    }
    if (!failed)
    {
        acceptor.bind(address, failed);
    }
    if (!failed)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed)
    {
        return leaf::new_error(listen_error{address, failed});
    }
    server_state->tasks.spawn(accept_all(server_state));
    return std::unique_ptr<http_server>(
        new http_server(std::move(server_state)));
}

http_server::http_server(std::shared_ptr<state> state)
    : state_(std::move(state))
{
}

http_server::~http_server()
{
    close_intake();
}

tcp::endpoint http_server::local_endpoint() const
{
    boost::system::error_code ignored;
    return state_->acceptor.local_endpoint(ignored);
}

void http_server::close_after_answers()
{
    if (state_->intake == intake_state::open)
    {
        state_->intake = intake_state::closing_after_answers;
    }
}

void http_server::close_intake()
{
    state_->intake = std::max(state_->intake, intake_state::closed);
    boost::system::error_code ignored;
    state_->acceptor.close(ignored);
    for (auto* stream : state_->idle_streams)
    {
        stream->cancel();
    }
}

void http_server::give_up()
{
    state_->intake = intake_state::giving_up;
    for (auto* stream : state_->streams_reading_head)
    {
        stream->cancel();
    }
    // Collected first, as a callback may destroy an exchange and so change the
    // set.
    std::vector<std::function<void()>> callbacks;
    for (auto* exchange : state_->active_exchanges)
    {
        callbacks.push_back(exchange->give_up());
    }
    for (const auto& callback : callbacks)
    {
        if (callback)
        {
            callback();
        }
    }
}

asio::awaitable<void> http_server::end()
{
    close_intake();
    const auto server = state_;
    co_await server->tasks.end();
}

std::size_t http_server::running_tasks() const
{
    return state_->tasks.size();
}

std::size_t http_server::connections() const
{
    return state_->connections;
}

std::size_t http_server::in_flight() const
{
    return state_->in_flight;
}

} // namespace nutmegusher::node
