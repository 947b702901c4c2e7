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

// One read takes at most this; all connections of the thread share it.
constexpr std::size_t read_buffer_bytes = 64 * 1024;
// Reads before the other connections get their turn.
constexpr int reads_in_a_turn = 4;
// One write takes about this at most.
constexpr std::size_t write_batch_bytes = 128 * 1024;
// A write buffer above this isn't kept while there is nothing to send.
constexpr std::size_t kept_write_buffer = 4 * 1024;

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
    , tick_(context)
    , opened_(context)
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

void connection::set_hooks(connection_hooks hooks)
{
    hooks_ = std::move(hooks);
}

void connection::lose(stream_failure why)
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    failure_ = why;
    error_code ignored;
    socket_.close(ignored);
    tick_.cancel();
    const auto streams = std::exchange(streams_, {});
    begun_.clear();
    for (const auto& [id, one] : streams)
    {
        const bool never_sent = role_ == side::client && !one->head_sent;
        one->closed = true;
        one->fail(never_sent ? stream_failure::refused : why);
        one->post_cancelled(context_);
    }
    opened_.notify();
    wake_listeners();
    if (hooks_.closed)
    {
        asio::post(context_, std::exchange(hooks_.closed, nullptr));
    }
}

void connection::dismiss()
{
    // What is half written can't be followed by anything else.
    if (closed_ || writing_)
    {
        lose(stream_failure::cut);
        return;
    }
    submit_final_goaway();
    gather();
    if (!closed_)
    {
        error_code ignored;
        socket_.write_some(asio::buffer(out_), ignored);
    }
    lose(stream_failure::cut);
}

void connection::release()
{
    released_ = true;
    schedule_flush();
}

void connection::stop_gracefully()
{
    if (closed_ || going_away_)
    {
        return;
    }
    going_away_ = true;
    // The peer may have opened streams that are still on their way. The PING
    // comes back after it has seen the notice; only then is the last stream
    // known.
    nghttp2_submit_shutdown_notice(session_.get());
    schedule_flush();
}

void connection::give_up()
{
    for (const auto& [id, one] : streams_)
    {
        one->post_cancelled(context_);
    }
}

void connection::stop_unconfirmed()
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
            self->lose(stream_failure::cut);
            return;
        }
        self->read_ready();
    };
    socket_.async_wait(tcp_socket::wait_read, readable);
}

void connection::read_ready()
{
    for (int i = 0; i < reads_in_a_turn && !closed_; ++i)
    {
        const bool more = read_batch();
        if (!more)
        {
            break;
        }
    }
    if (closed_)
    {
        return;
    }
    begin_requests();
    if (closed_)
    {
        return;
    }
    schedule_flush();
    wait_readable();
}

bool connection::read_batch()
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
        lose(stream_failure::cut);
        return false;
    }
    heard();
    const auto taken =
        nghttp2_session_mem_recv(session_.get(), buffer.data(), count);
    if (taken < 0)
    {
        lose(stream_failure::protocol);
        return false;
    }
    return count == buffer.size();
}

void connection::begin_requests()
{
    const auto begun = std::exchange(begun_, {});
    for (const auto& one : begun)
    {
        if (!hooks_.request_begun || one->closed)
        {
            continue;
        }
        hooks_.request_begun(one);
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
    if (writing_ || closed_)
    {
        return;
    }
    gather();
    if (closed_)
    {
        return;
    }
    if (out_.empty())
    {
        finish_if_done();
        return;
    }
    writing_ = true;
    const auto done =
        [self = shared_from_this()](const error_code& error, std::size_t)
    {
        self->written(error);
    };
    asio::async_write(socket_, asio::buffer(out_), done);
}

void connection::gather()
{
    out_.clear();
    while (out_.size() < write_batch_bytes)
    {
        const std::uint8_t* part = nullptr;
        const auto size = nghttp2_session_mem_send(session_.get(), &part);
        if (size < 0)
        {
            lose(stream_failure::protocol);
            return;
        }
        if (size == 0)
        {
            return;
        }
        out_.insert(out_.end(), part, part + size);
    }
}

void connection::written(const error_code& error)
{
    writing_ = false;
    if (closed_)
    {
        return;
    }
    if (error)
    {
        lose(stream_failure::cut);
        return;
    }
    flush();
}

void connection::finish_if_done()
{
    if (out_.capacity() > kept_write_buffer)
    {
        std::vector<std::uint8_t>().swap(out_);
    }
    const auto session = session_.get();
    const bool broken = nghttp2_session_want_read(session) == 0 &&
                        nghttp2_session_want_write(session) == 0 &&
                        !streams_.empty();
    if (broken)
    {
        // nghttp2 has told the peer what it did wrong.
        lose(stream_failure::protocol);
        return;
    }
    if (busy())
    {
        return;
    }
    if (role_ == side::client && (released_ || going_away_))
    {
        lose(stream_failure::cut);
    }
    if (role_ == side::server && (final_goaway_sent_ || released_))
    {
        linger();
    }
}

bool connection::busy() const
{
    return !streams_.empty() || handlers_ > 0;
}

std::size_t connection::streams_in_flight() const
{
    const auto unsent = std::ranges::count_if(
        streams_,
        [](const auto& entry)
        {
            return entry.second->released;
        });
    return handlers_ + static_cast<std::size_t>(unsent);
}

void connection::handler_started()
{
    ++handlers_;
}

void connection::handler_finished()
{
    --handlers_;
    schedule_flush();
}

} // namespace nutmegusher::wire::internal
