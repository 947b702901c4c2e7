#include "nutmegusher/wire/connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace nutmegusher::wire::internal
{
namespace
{

// Maximum size of one read; all connections of the thread share the buffer.
constexpr std::size_t read_buffer_bytes = 64 * 1024;
// Maximum reads of a connection before other connections get their turn.
constexpr int max_reads_per_turn = 4;
// Approximate maximum size of one write.
constexpr std::size_t write_batch_bytes = 128 * 1024;
// A larger output buffer is freed while there is nothing to send.
constexpr std::size_t max_idle_output_bytes = 4 * 1024;

std::span<std::uint8_t> read_buffer()
{
    static thread_local std::array<std::uint8_t, read_buffer_bytes> buffer;
    return buffer;
}

} // namespace

connection::connection(
    asio::io_context& context,
    tcp_socket socket,
    side role,
    const session_options& options)
    : context_(context)
    , socket_(std::move(socket))
    , role_(role)
    , options_(options)
    , session_(make_h2_session(role, *this, options))
    , liveness_(options)
    , control_frames_(options.max_control_frames_per_second)
    , tick_timer_(context)
    , ready_or_closed_(context)
{
}

void connection::start()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    wait_readable();
    schedule_flush();
}

void connection::set_callbacks(connection_callbacks callbacks)
{
    callbacks_ = std::move(callbacks);
}

void connection::close(stream_failure why)
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    failure_ = why;
    error_code ignored;
    socket_.close(ignored);
    tick_timer_.cancel();
    const auto streams = std::exchange(streams_, {});
    pending_requests_.clear();
    for (const auto& [id, each_stream] : streams)
    {
        const bool never_sent =
            role_ == side::client && !each_stream->head_sent;
        each_stream->closed = true;
        each_stream->cancelled_at = host_clock().now();
        each_stream->fail(never_sent ? stream_failure::refused : why);
        each_stream->post_cancelled(context_);
    }
    ready_or_closed_.notify();
    wake_receive_waiters();
    if (callbacks_.closed)
    {
        asio::post(context_, std::exchange(callbacks_.closed, nullptr));
    }
}

void connection::close_with_goaway()
{
    // Nothing may follow a partial write.
    if (closed_ || writing_)
    {
        close(stream_failure::cut);
        return;
    }
    submit_final_goaway();
    fill_output();
    if (!closed_)
    {
        error_code ignored;
        socket_.write_some(asio::buffer(output_), ignored);
    }
    close(stream_failure::cut);
}

void connection::close_when_idle()
{
    closing_when_idle_ = true;
    schedule_flush();
}

void connection::stop_gracefully()
{
    if (closed_ || going_away_)
    {
        return;
    }
    going_away_ = true;
    // The peer may have opened streams that are still in transit. The peer
    // answers the PING after it has read the notice; only then is the last
    // stream known.
    nghttp2_submit_shutdown_notice(session_.get());
    schedule_flush();
}

void connection::give_up()
{
    for (const auto& [id, each_stream] : streams_)
    {
        each_stream->post_cancelled(context_);
    }
}

void connection::stop_without_confirmation()
{
    if (closed_ || final_goaway_sent_)
    {
        return;
    }
    going_away_ = true;
    submit_final_goaway();
    flush();
}

void connection::wait_readable()
{
    const auto readable = [self = shared_from_this()](const error_code& error)
    {
        if (error)
        {
            self->close(stream_failure::cut);
            return;
        }
        self->read_available();
    };
    socket_.async_wait(tcp_socket::wait_read, readable);
}

void connection::read_available()
{
    for (int i = 0; i < max_reads_per_turn && !closed_; ++i)
    {
        const bool more = read_once();
        if (!more)
        {
            break;
        }
    }
    if (closed_)
    {
        return;
    }
    start_handlers();
    if (closed_)
    {
        return;
    }
    schedule_flush();
    wait_readable();
}

bool connection::read_once()
{
    const auto buffer = read_buffer();
    error_code error;
    const auto count =
        socket_.read_some(asio::buffer(buffer.data(), buffer.size()), error);
    if (error == asio::error::would_block)
    {
        return false;
    }
    if (error)
    {
        close(stream_failure::cut);
        return false;
    }
    note_received();
    const auto taken =
        nghttp2_session_mem_recv(session_.get(), buffer.data(), count);
    if (taken < 0)
    {
        close(stream_failure::protocol);
        return false;
    }
    return count == buffer.size();
}

void connection::start_handlers()
{
    const auto requests = std::exchange(pending_requests_, {});
    for (const auto& each_stream : requests)
    {
        if (!callbacks_.request_received || each_stream->closed)
        {
            continue;
        }
        callbacks_.request_received(each_stream);
    }
}

void connection::schedule_flush()
{
    if (flush_scheduled_ || writing_ || closed_)
    {
        return;
    }
    flush_scheduled_ = true;
    const auto run = [weak = weak_from_this()]
    {
        const auto self = weak.lock();
        if (self)
        {
            self->flush_scheduled_ = false;
            self->flush();
        }
    };
    asio::post(context_, run);
}

void connection::flush()
{
    while (!writing_ && !closed_)
    {
        fill_output();
        if (closed_)
        {
            return;
        }
        if (output_.empty())
        {
            close_if_finished();
            return;
        }
        write_output();
    }
}

// Writes in the background what the socket doesn't take at once.
void connection::write_output()
{
    const auto output = asio::buffer(std::as_const(output_));
    error_code error;
    const auto sent = socket_.write_some(output, error);
    if (sent == output.size())
    {
        return;
    }
    if (error && error != asio::error::would_block)
    {
        close(stream_failure::cut);
        return;
    }
    writing_ = true;
    const auto done =
        [self = shared_from_this()](const error_code& failed, std::size_t)
    {
        self->write_finished(failed);
    };
    asio::async_write(socket_, output + sent, done);
}

void connection::fill_output()
{
    output_.clear();
    while (output_.size() < write_batch_bytes)
    {
        const std::uint8_t* part = nullptr;
        const auto size = nghttp2_session_mem_send(session_.get(), &part);
        if (size < 0)
        {
            close(stream_failure::protocol);
            return;
        }
        if (size == 0)
        {
            return;
        }
        output_.insert(output_.end(), part, part + size);
    }
}

void connection::write_finished(const error_code& error)
{
    writing_ = false;
    if (closed_)
    {
        return;
    }
    if (error)
    {
        close(stream_failure::cut);
        return;
    }
    flush();
}

void connection::close_if_finished()
{
    if (output_.capacity() > max_idle_output_bytes)
    {
        std::vector<std::uint8_t>().swap(output_);
    }
    const auto session = session_.get();
    const bool session_terminated = nghttp2_session_want_read(session) == 0 &&
                                    nghttp2_session_want_write(session) == 0 &&
                                    !streams_.empty();
    if (session_terminated)
    {
        // nghttp2 has sent the peer a GOAWAY with the error.
        close(stream_failure::protocol);
        return;
    }
    if (busy())
    {
        return;
    }
    if (role_ == side::client && (closing_when_idle_ || going_away_))
    {
        close(stream_failure::cut);
    }
    if (role_ == side::server && (final_goaway_sent_ || closing_when_idle_))
    {
        linger();
    }
}

bool connection::busy() const
{
    return !streams_.empty() || running_handlers_ > 0;
}

std::size_t connection::streams_in_flight() const
{
    const auto unsent = std::ranges::count_if(
        streams_,
        [](const auto& entry)
        {
            return entry.second->handle_released;
        });
    return running_handlers_ + static_cast<std::size_t>(unsent);
}

void connection::handler_started()
{
    ++running_handlers_;
}

void connection::handler_finished()
{
    --running_handlers_;
    schedule_flush();
}

} // namespace nutmegusher::wire::internal
