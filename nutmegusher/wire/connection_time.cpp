// The part of a connection that time drives: handshake, liveness, idleness,
// the end.
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

// Keeps a listener in the list while it waits.
class registered_listener
{
public:
    registered_listener(asio::io_context& context, std::list<signal*>& all)
        : all_(all)
        , signal_(context)
        , place_(all_.insert(all_.end(), &signal_))
    {
    }

    registered_listener(const registered_listener&) = delete;
    registered_listener& operator=(const registered_listener&) = delete;

    ~registered_listener()
    {
        all_.erase(place_);
    }

    [[nodiscard]] signal& wait_on()
    {
        return signal_;
    }

private:
    std::list<signal*>& all_;
    signal signal_;
    std::list<signal*>::iterator place_;
};

} // namespace

void connection::limit_handshake(duration limit)
{
    tick_.expires_after(limit);
    const auto expired = [weak = weak_from_this()](const error_code& error)
    {
        const auto self = weak.lock();
        if (self && !error && !self->ready_)
        {
            self->lose(stream_failure::timed_out);
        }
    };
    tick_.async_wait(expired);
}

void connection::heard()
{
    liveness_.received();
    heard_at_ = std::chrono::steady_clock::now();
    wake_listeners();
}

void connection::wake_listeners()
{
    for (signal* const each : listeners_)
    {
        each->notify();
    }
}

asio::awaitable<outcome<void, stream_failure>> connection::confirm()
{
    const auto self = shared_from_this();
    const auto begin = std::chrono::steady_clock::now();
    const auto needed = begin - options_.heard_lately;
    const auto until = begin + options_.confirm_limit;
    if (!closed_ && heard_at_ < needed)
    {
        nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
        schedule_flush();
    }
    while (!closed_ && heard_at_ < needed)
    {
        registered_listener listener(context_, listeners_);
        const auto woken = co_await listener.wait_on().wait_until(until);
        if (woken == wake::cancelled)
        {
            co_return stream_failure::cancelled;
        }
        if (woken == wake::timed_out)
        {
            note_no_answer();
            co_return stream_failure::silent;
        }
    }
    if (closed_)
    {
        co_return failure_;
    }
    co_return outcome<void, stream_failure>();
}

void connection::note_no_answer()
{
    liveness_.unanswered(options_.near_silence_limit);
    give_up_movable();
    plan_tick();
}

// Closing while bytes of the peer are unread would make TCP drop what was
// sent last; so only the sending side ends, until the peer closes too.
void connection::linger()
{
    if (lingering_)
    {
        return;
    }
    lingering_ = true;
    error_code ignored;
    socket_.shutdown(tcp_socket::shutdown_send, ignored);
    tick_.expires_after(options_.linger_limit);
    const auto expired = [weak = weak_from_this()](const error_code& error)
    {
        const auto self = weak.lock();
        if (self && !error)
        {
            self->lose(stream_failure::cut);
        }
    };
    tick_.async_wait(expired);
}

liveness::waiting connection::waits_for() const
{
    if (!busy())
    {
        return liveness::waiting::nothing;
    }
    const bool near = std::any_of(
        streams_.begin(),
        streams_.end(),
        [](const auto& item)
        {
            return item.second->answer_is_near;
        });
    return near ? liveness::waiting::a_near_answer
                : liveness::waiting::an_answer;
}

void connection::expect_answer_soon(stream& target, bool movable)
{
    target.answer_is_near = true;
    target.movable = movable;
    if (liveness_.planned_late(liveness::waiting::a_near_answer) && ready_)
    {
        plan_tick();
    }
}

// Those that can be sent again elsewhere.
void connection::give_up_movable()
{
    std::vector<std::shared_ptr<stream>> given_up;
    for (const auto& [id, each] : streams_)
    {
        if (each->movable && !each->remote_ended)
        {
            given_up.push_back(each);
        }
    }
    for (const auto& each : given_up)
    {
        reset(*each, NGHTTP2_CANCEL, stream_failure::silent);
    }
}

void connection::plan_tick()
{
    const bool recently_busy = busy() || used_since_tick_;
    used_since_tick_ = false;
    last_tick_ = std::chrono::steady_clock::now();
    auto waiting = waits_for();
    if (recently_busy && waiting == liveness::waiting::nothing)
    {
        // Calls that come and go between two ticks: the next one may be open
        // when the peer falls silent.
        waiting = liveness::waiting::an_answer;
    }
    tick_.expires_after(liveness_.plan_tick(waiting));
    const auto due = [weak = weak_from_this()](const error_code& error)
    {
        const auto self = weak.lock();
        if (self && !error && !self->closed_ && !self->lingering_)
        {
            self->tick();
        }
    };
    tick_.async_wait(due);
}

void connection::tick()
{
    const auto elapsed = std::chrono::steady_clock::now() - last_tick_;
    const bool was_suspect = liveness_.suspect();
    const auto action = liveness_.tick(elapsed, waits_for());
    if (liveness_.suspect() && !was_suspect)
    {
        give_up_movable();
    }
    if (action == liveness::action::give_up)
    {
        const auto peer = peer_name(socket_);
        log_event(event::connection_silent, {{"peer", peer}});
        lose(stream_failure::silent);
        return;
    }
    if (action == liveness::action::send_ping)
    {
        nghttp2_submit_ping(session_.get(), NGHTTP2_FLAG_NONE, nullptr);
        schedule_flush();
    }
    const bool idle = !busy() && !used_since_tick_;
    idle_ = idle ? idle_ + elapsed : duration::zero();
    if (role_ == side::client && idle_ >= options_.idle_limit)
    {
        lose(stream_failure::cut);
        return;
    }
    plan_tick();
}

} // namespace nutmegusher::wire::internal
