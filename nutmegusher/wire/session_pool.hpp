// Sessions to many endpoints, shared by the callers of one thread.
#ifndef NUTMEGUSHER_WIRE_SESSION_POOL_HPP
#define NUTMEGUSHER_WIRE_SESSION_POOL_HPP

#include "nutmegusher/wire/client_session.hpp"

namespace nutmegusher::wire
{

namespace internal
{
class pool_state;
} // namespace internal

// What a session is used for. A window that a slow reader of a long transfer
// has filled must not hold up short calls, so the two don't share sessions.
enum class traffic : std::uint8_t
{
    short_calls,
    long_transfers
};

class session_pool
{
public:
    session_pool(boost::asio::io_context& context, session_options options);
    session_pool(const session_pool&) = delete;
    session_pool& operator=(const session_pool&) = delete;
    // Sessions close when their streams are finished.
    ~session_pool();

    // A usable session with a free stream: one that is open already, or else
    // a new one. There is one connect at a time for each endpoint and kind;
    // callers that wait share it, each at most until `deadline`.
    // Errors: not_connected, timed_out (connecting), refused (all sessions
    // that an endpoint may have are full), cancelled (the pool has gone).
    [[nodiscard]] boost::asio::awaitable<
        outcome<std::shared_ptr<client_session>, stream_failure>>
    get(boost::asio::ip::tcp::endpoint peer,
        traffic kind = traffic::short_calls,
        time_point deadline = time_point::max());

    // The same without waiting: null where there is none at once.
    [[nodiscard]] std::shared_ptr<client_session> find(
        const boost::asio::ip::tcp::endpoint& peer,
        traffic kind = traffic::short_calls) const;

    // A peer was lost: its session went silent or broke, or it can't be
    // reached.
    void note_loss();

    // One was within `loss_retention`, and others may have gone with it:
    // requests are better sent to peers that `client_session::confirm` vouches
    // for.
    [[nodiscard]] bool had_recent_loss() const;

    // Sessions that are open, also suspect ones.
    [[nodiscard]] std::size_t sessions() const;

    // Closes the idle sessions to `peer`, and the others when their streams
    // are finished: for an upstream that has left.
    void remove_endpoint(const boost::asio::ip::tcp::endpoint& peer);

private:
    std::shared_ptr<internal::pool_state> state_;
};

} // namespace nutmegusher::wire

#endif
