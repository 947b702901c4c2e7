// Interface for adding a second request path to a daemon, with other names and
// formats on the daemon's listeners, beside its own path for classes of work.
#ifndef NUTMEGUSHER_NODE_EXTENSION_HPP
#define NUTMEGUSHER_NODE_EXTENSION_HPP

#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/operator_api.hpp"
#include "nutmegusher/node/own_upstream.hpp"
#include "nutmegusher/node/worker.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <span>

namespace nutmegusher::node
{

// What the process offers to an extension.
struct extension_context
{
    controllers& shared;
    // Announces the upstream on this host to all other daemons.
    std::function<void(const announcement&)> announce;
    // Stores that an upstream has left this host; see
    // `withdrawal_client::store`.
    std::function<asio::awaitable<bool>(messages::upstream_withdrawal)>
        store_withdrawal;
    // Access to the replicated logs; the functions are empty if the process
    // isn't a control host.
    const control_callbacks& control;
};

// Each `serve_` function runs on the thread of the given worker. It returns
// `false` if the request isn't one of the extension's; it must not have read
// any of the request's body then.
class extension
{
public:
    extension() = default;
    extension(const extension&) = delete;
    extension& operator=(const extension&) = delete;
    virtual ~extension() = default;

    // Called once, before any listener is opened.
    virtual void attach(const extension_context& context) = 0;

    // Called once, when control hosts have said which upstreams have left this
    // host; never if the process has no control hosts.
    virtual void restore_withdrawals(
        std::span<const messages::upstream_withdrawal> withdrawals) = 0;

    // Serves a request on the listener for members and clerks.
    virtual asio::awaitable<bool>
    serve_caller(worker& current_worker, caller_exchange& exchange) = 0;

    // Serves a request sent by the upstream on this host.
    virtual asio::awaitable<bool>
    serve_upstream(worker& current_worker, caller_exchange& exchange) = 0;

    // Serves a request on the operators' listener.
    virtual asio::awaitable<bool>
    serve_operator(worker& current_worker, caller_exchange& exchange) = 0;

    // Serves a stream opened by another daemon.
    virtual asio::awaitable<bool> serve_peer(
        worker& current_worker,
        std::shared_ptr<wire::server_stream> stream) = 0;

    // Called when the upstream on this host is to take no more calls, during a
    // graceful shutdown.
    virtual void leave() = 0;

    // Number of calls that the upstream on this host is serving. Thread-safe.
    [[nodiscard]] virtual std::size_t calls_in_flight() const = 0;

    // For the state dump. Thread-safe.
    [[nodiscard]] virtual boost::json::value dump() const = 0;
};

} // namespace nutmegusher::node

#endif
