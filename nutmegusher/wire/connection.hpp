// One TCP connection with its HTTP/2 session, client or server side.
//
// Reads whenever the socket is readable, into a buffer that all connections of
// the thread share. Output is collected into one buffer per turn of the event
// loop, with one write in flight. nghttp2's callbacks change stream state and
// wake coroutines in a later turn; they call no user code.
#ifndef NUTMEGUSHER_WIRE_CONNECTION_HPP
#define NUTMEGUSHER_WIRE_CONNECTION_HPP

#include "nutmegusher/base/error.hpp"
#include "nutmegusher/wire/h2_session.hpp"
#include "nutmegusher/wire/liveness.hpp"
#include "nutmegusher/wire/rate_limit.hpp"
#include "nutmegusher/wire/stream.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <list>
#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegusher::wire::internal
{

// Notifications to the connection's owner; called outside of nghttp2.
struct connection_callbacks
{
    // A peer opened a stream and its head is complete.
    std::function<void(std::shared_ptr<stream>)> request_received;
    // Posted once, after the connection has closed.
    std::function<void()> closed;
};

class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(
        asio::io_context& context,
        tcp_socket socket,
        side role,
        const session_options& options);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() = default;

    // Closes the connection unless the peer's SETTINGS arrive within `limit`. A
    // later call replaces the timeout.
    void set_handshake_timeout(duration limit);
    // Sends SETTINGS and starts to read. Call once. Requires: the socket is
    // connected.
    void start();
    void set_callbacks(connection_callbacks callbacks);

    // Closes the connection at once; open streams fail with `why`.
    void close(stream_failure why);
    // Like `close`, for a server that ends. Unless a write is in flight, first
    // sends a GOAWAY that names the last stream read, as far as the socket's
    // send buffer takes it: the peer may send later streams elsewhere.
    void close_with_goaway();
    // Opens no new streams; closes when the last one is finished.
    void close_when_idle();
    // Server: tells the peer with GOAWAY to open no more streams, serves those
    // that are open, then closes.
    void stop_gracefully();
    // Like `stop_gracefully`, but doesn't wait for the peer's confirmation:
    // streams that it opens from now on are refused by the GOAWAY.
    void stop_without_confirmation();

    // Server: calls the `on_cancelled` callbacks of the open streams.
    void give_up();

    [[nodiscard]] asio::io_context& context() const
    {
        return context_;
    }
    [[nodiscard]] tcp_socket& socket()
    {
        return socket_;
    }
    [[nodiscard]] const session_options& options() const
    {
        return options_;
    }
    [[nodiscard]] bool ready() const
    {
        return ready_;
    }
    [[nodiscard]] bool closed() const
    {
        return closed_;
    }
    [[nodiscard]] stream_failure failure() const
    {
        return failure_;
    }
    // Notified when the connection becomes ready or closes.
    [[nodiscard]] signal& ready_or_closed()
    {
        return ready_or_closed_;
    }
    [[nodiscard]] bool usable() const;
    [[nodiscard]] bool has_free_stream() const;
    [[nodiscard]] std::size_t open_streams() const
    {
        return streams_.size();
    }
    // Server: the number of running handlers and of responses that aren't sent
    // completely.
    [[nodiscard]] std::size_t streams_in_flight() const;

    // See `client_session::confirm`.
    [[nodiscard]] asio::awaitable<outcome<void, stream_failure>> confirm();

    // Stream operations, called by the stream handles.
    [[nodiscard]] outcome<std::shared_ptr<stream>, stream_failure>
    open(const request_head& head, bool end);
    [[nodiscard]] outcome<void, stream_failure>
    send_head(stream& target, const response_head& head, bool end);
    [[nodiscard]] asio::awaitable<outcome<void, stream_failure>> write(
        std::shared_ptr<stream> target,
        std::span<const std::byte> part,
        bool end);
    [[nodiscard]] asio::awaitable<outcome<std::size_t, stream_failure>>
    read_some(std::shared_ptr<stream> source, std::span<std::byte> into);
    // Resets the stream with an HTTP/2 error code; it fails with `why`.
    void reset(stream& target, std::uint32_t code, stream_failure why);
    // See `client_stream::expect_answer_soon`.
    void expect_answer_soon(stream& target, bool retryable);
    // The stream's handle was destroyed: resets the stream unless it is
    // complete.
    void abandon(stream& target);

    // Server: a running handler counts as a stream in flight.
    void handler_started();
    void handler_finished();

    // Called by nghttp2's callbacks.
    int begin_headers(const nghttp2_frame& frame);
    int header_field(
        const nghttp2_frame& frame,
        std::string_view name,
        std::string_view value);
    int frame_received(const nghttp2_frame& frame);
    void data_received(std::int32_t id, std::span<const std::byte> bytes);
    void frame_sent(const nghttp2_frame& frame);
    void frame_not_sent(const nghttp2_frame& frame);
    void stream_closed(std::int32_t id, std::uint32_t code);

private:
    // In connection.cpp: socket input and output.
    void wait_readable();
    void read_available();
    bool read_once();
    void start_handlers();
    void schedule_flush();
    void flush();
    void fill_output();
    void write_output();
    void write_finished(const error_code& error);
    void close_if_finished();
    [[nodiscard]] bool busy() const;

    // In connection_time.cpp: timers and liveness.
    void linger();
    void schedule_tick();
    void tick();
    [[nodiscard]] liveness::awaited_response awaited_now() const;
    void fail_retryable_streams();
    void note_received();
    void wake_receive_waiters();
    void handle_confirm_timeout();

    // In connection_streams.cpp and connection_frames.cpp.
    [[nodiscard]] std::shared_ptr<stream> make_stream(std::int32_t id);
    [[nodiscard]] stream* find(std::int32_t id) const;
    void resume(stream& target);
    void consume(std::int32_t id, std::size_t bytes);
    void drop_inbound(stream& target);
    [[nodiscard]] bool allows_control_frame();
    void headers_received(const nghttp2_frame& frame);
    void handle_remote_end(stream& target);
    void handle_local_end(stream& target);
    void request_shutdown_confirmation();
    void shutdown_confirmed();
    void submit_final_goaway();

    asio::io_context& context_;
    tcp_socket socket_;
    side role_;
    session_options options_;
    h2_session session_;
    connection_callbacks callbacks_;

    std::unordered_map<std::int32_t, std::shared_ptr<stream>> streams_;
    // Streams with a complete head whose handlers aren't started yet.
    std::vector<std::shared_ptr<stream>> pending_requests_;
    std::size_t running_handlers_ = 0;

    std::vector<std::uint8_t> output_;
    bool writing_ = false;
    bool flush_scheduled_ = false;

    liveness liveness_;
    std::chrono::steady_clock::time_point last_received_at_;
    // Coroutines that wait for received data or for the connection to close.
    std::list<signal*> receive_waiters_;
    rate_limit control_frames_;
    timer tick_timer_;
    std::chrono::steady_clock::time_point last_tick_at_;
    duration idle_time_ = duration::zero();
    bool used_since_tick_ = false;

    signal ready_or_closed_;
    bool ready_ = false;
    bool closed_ = false;
    // GOAWAY was received or sent, or is being sent: no new streams.
    bool going_away_ = false;
    bool final_goaway_sent_ = false;
    // The last stream that is served after the final GOAWAY.
    std::int32_t last_served_stream_ = 0;
    bool closing_when_idle_ = false;
    bool lingering_ = false;
    stream_failure failure_ = stream_failure::cut;
};

} // namespace nutmegusher::wire::internal

#endif
