// Timers of a connection: handshake timeout, liveness, idle timeout and
// lingering close.
#include "nutmegusher/base/events.hpp"
#include "nutmegusher/wire/connection.hpp"

#include <algorithm>
#include <sstream>

namespace nutmegusher::wire::internal
{
namespace
{

std::string peer_name(const tcp_socket& socket)
{
    error_code error;
    const auto peer = socket.remote_endpoint(error);
    std::ostringstream text;
    text << peer;
    return text.str();
}

// Keeps a waiter in the list while it waits.
class registered_receive_waiter
{
public:
    registered_receive_waiter(
        asio::io_context& context, std::list<signal*>& waiters)
        : waiters_(waiters)
        , signal_(context)
        , position_(waiters_.insert(waiters_.end(), &signal_))
    {
    }

    registered_receive_waiter(const registered_receive_waiter&) = delete;
    registered_receive_waiter&
    operator=(const registered_receive_waiter&) = delete;

    ~registered_receive_waiter()
    {
        waiters_.erase(position_);
    }

    [[nodiscard]] signal& wait_on()
    {
        return signal_;
    }

private:
    std::list<signal*>& waiters_;
    signal signal_;
    std::list<signal*>::iterator position_;
};

} // namespace

void connection::set_handshake_timeout(duration limit)
{
    tick_timer_.expires_after(limit);
    const auto expired = [weak = weak_from_this()](const error_code& error)
    {
        const auto self = weak.lock();
        if (self && !error && !self->ready_)
        {
            self->close(stream_failure::timed_out);
        }
    };
    tick_timer_.async_wait(expired);
}

void connection::note_received()
{
    liveness_.received();
    last_received_at_ = std::chrono::steady_clock::now();
    wake_receive_waiters();
}

void connection::wake_receive_waiters()
{
    for (signal* const each : receive_waiters_)
    {
        each->notify();
    }
}

asio::awaitable<outcome<void, stream_failure>> connection::confirm()
{
    const auto self = shared_from_this();
    const auto begin = std::chrono::steady_clock::now();
    const auto needed = begin - options_.recent_receive_window;
    const auto until = begin + options_.confirm_timeout;
    if (!closed_ && last_received_at_ < needed)
    {
        nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
        schedule_flush();
    }
    while (!closed_ && last_received_at_ < needed)
    {
        registered_receive_waiter waiter(context_, receive_waiters_);
        const auto woken = co_await waiter.wait_on().wait_until(until);
        if (woken == wait_result::cancelled)
        {
            co_return stream_failure::cancelled;
        }
        if (woken == wait_result::timed_out)
        {
            handle_confirm_timeout();
            co_return stream_failure::silent;
        }
    }
    if (closed_)
    {
        co_return failure_;
    }
    co_return outcome<void, stream_failure>();
}

void connection::handle_confirm_timeout()
{
    liveness_.note_unanswered_ping(options_.urgent_silence_timeout);
    fail_retryable_streams();
    schedule_tick();
}

// Closing the socket while received bytes are unread would make TCP discard the
// data sent last. So only the sending side is shut down, until the peer closes
// or the timeout passes.
void connection::linger()
{
    if (lingering_)
    {
        return;
    }
    lingering_ = true;
    error_code ignored;
    socket_.shutdown(tcp_socket::shutdown_send, ignored);
    tick_timer_.expires_after(options_.linger_timeout);
    const auto expired = [weak = weak_from_this()](const error_code& error)
    {
        const auto self = weak.lock();
        if (self && !error)
        {
            self->close(stream_failure::cut);
        }
    };
    tick_timer_.async_wait(expired);
}

liveness::awaited_response connection::awaited_now() const
{
    if (!busy())
    {
        return liveness::awaited_response::none;
    }
    const bool due_soon = std::any_of(
        streams_.begin(),
        streams_.end(),
        [](const auto& item)
        {
            return item.second->answer_due_soon;
        });
    return due_soon ? liveness::awaited_response::due_soon
                    : liveness::awaited_response::pending;
}

void connection::expect_answer_soon(stream& target, bool retryable)
{
    target.answer_due_soon = true;
    target.retryable = retryable;
    if (liveness_.is_tick_too_late(liveness::awaited_response::due_soon) &&
        ready_)
    {
        schedule_tick();
    }
}

// Fails the streams whose requests can be sent to another upstream.
void connection::fail_retryable_streams()
{
    std::vector<std::shared_ptr<stream>> failing;
    for (const auto& [id, each] : streams_)
    {
        if (each->retryable && !each->remote_ended)
        {
            failing.push_back(each);
        }
    }
    for (const auto& each : failing)
    {
        reset(*each, NGHTTP2_CANCEL, stream_failure::silent);
    }
}

void connection::schedule_tick()
{
    const bool recently_busy = busy() || used_since_tick_;
    used_since_tick_ = false;
    last_tick_at_ = std::chrono::steady_clock::now();
    auto awaited_response = awaited_now();
    if (recently_busy && awaited_response == liveness::awaited_response::none)
    {
        // Short calls may start and end between two ticks: one may be open when
        // the peer falls silent.
        awaited_response = liveness::awaited_response::pending;
    }
    tick_timer_.expires_after(liveness_.schedule_tick(awaited_response));
    const auto due = [weak = weak_from_this()](const error_code& error)
    {
        const auto self = weak.lock();
        if (self && !error && !self->closed_ && !self->lingering_)
        {
            self->tick();
        }
    };
    tick_timer_.async_wait(due);
}

void connection::tick()
{
    const auto elapsed = std::chrono::steady_clock::now() - last_tick_at_;
    const bool was_suspect = liveness_.suspect();
    const auto action = liveness_.tick(elapsed, awaited_now());
    if (liveness_.suspect() && !was_suspect)
    {
        fail_retryable_streams();
    }
    if (action == liveness::action::give_up)
    {
        const auto peer = peer_name(socket_);
        log_event(event::connection_silent, {{"peer", peer}});
        close(stream_failure::silent);
        return;
    }
    if (action == liveness::action::send_ping)
    {
        nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
        schedule_flush();
    }
    const bool idle = !busy() && !used_since_tick_;
    idle_time_ = idle ? idle_time_ + elapsed : duration::zero();
    if (role_ == side::client && idle_time_ >= options_.idle_timeout)
    {
        close(stream_failure::cut);
        return;
    }
    schedule_tick();
}

} // namespace nutmegusher::wire::internal
