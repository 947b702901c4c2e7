// A pool of sessions to many endpoints, shared by the callers of one thread.
#ifndef NUTMEGUSHER_WIRE_SESSION_POOL_HPP
#define NUTMEGUSHER_WIRE_SESSION_POOL_HPP

#include "nutmegusher/wire/client_session.hpp"

namespace nutmegusher::wire
{

namespace internal
{
class pool_state;
} // namespace internal

// What a session is used for. A slow reader of a long transfer can fill the
// connection's flow-control window; separate sessions keep that from delaying
// short calls (head-of-line blocking).
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
    // The sessions close when their streams are finished.
    ~session_pool();

    // Returns a usable session with a free stream: an open one, or else a new
    // one. At most one connect runs for each endpoint and traffic kind; callers
    // share it, each waiting at most until `deadline`. Errors: not_connected,
    // timed_out (the connect or `deadline`), refused (all sessions that an
    // endpoint may have are full), cancelled (the caller was cancelled or the
    // pool destroyed).
    [[nodiscard]] boost::asio::awaitable<
        outcome<std::shared_ptr<client_session>, stream_failure>>
    get(boost::asio::ip::tcp::endpoint peer,
        traffic kind = traffic::short_calls,
        time_point deadline = time_point::max());

    // Like `get`, but doesn't wait: null if no open session has a free stream.
    [[nodiscard]] std::shared_ptr<client_session> find(
        const boost::asio::ip::tcp::endpoint& peer,
        traffic kind = traffic::short_calls) const;

    // Closes all sessions at once and ends the connects in progress. Later
    // calls of `get` return `cancelled`. Requires: the context runs until this
    // has returned.
    [[nodiscard]] boost::asio::awaitable<void> end();

    // Records that a peer was lost: its session went silent or broke, or it is
    // unreachable.
    void note_loss();

    // Returns true if a peer was lost within `loss_retention`. Others may have
    // been lost with it, so requests should go to peers that
    // `client_session::confirm` has found alive.
    [[nodiscard]] bool had_recent_loss() const;

    // The number of open sessions, including suspect ones.
    [[nodiscard]] std::size_t sessions() const;

    // Removes the sessions to `peer`: idle ones close now, others when their
    // streams are finished. For an upstream that has left.
    void remove_endpoint(const boost::asio::ip::tcp::endpoint& peer);

private:
    std::shared_ptr<internal::pool_state> state_;
};

} // namespace nutmegusher::wire

#endif
