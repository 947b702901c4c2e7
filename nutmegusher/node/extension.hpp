// What is added to a process beside the path of its classes: another path for
// requests, other names and formats on its listeners.
#ifndef NUTMEGUSHER_NODE_EXTENSION_HPP
#define NUTMEGUSHER_NODE_EXTENSION_HPP

#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/operator_api.hpp"
#include "nutmegusher/node/own_upstream.hpp"
#include "nutmegusher/node/worker.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace nutmegusher::node
{

// What an extension may use of its process.
struct extension_context
{
    controllers& shared;
    // Announces the upstream on this host to all other daemons.
    std::function<void(const announcement&)> announce;
    // The replicated logs; empty functions where the process is no control
    // host.
    const control_callbacks& control;
};

// Its functions run on the worker that is given; each answers `false` where
// the request is none of its own, and then nothing of it was read.
class extension
{
public:
    extension() = default;
    extension(const extension&) = delete;
    extension& operator=(const extension&) = delete;
    virtual ~extension() = default;

    // Called once, before any listener is opened.
    virtual void attach(const extension_context& context) = 0;

    // A request on the listener for members and clerks.
    virtual asio::awaitable<bool>
    serve_caller(worker& current_worker, caller_exchange& exchange) = 0;

    // A request of the upstream on this host.
    virtual asio::awaitable<bool>
    serve_upstream(worker& current_worker, caller_exchange& exchange) = 0;

    // A request on the operators' listener.
    virtual asio::awaitable<bool>
    serve_operator(worker& current_worker, caller_exchange& exchange) = 0;

    // A stream of another daemon.
    virtual asio::awaitable<bool> serve_peer(
        worker& current_worker,
        std::shared_ptr<wire::server_stream> stream) = 0;

    // A graceful shutdown has begun.
    virtual void leave() = 0;

    // Calls that the own upstream works on; safe from every thread.
    [[nodiscard]] virtual std::size_t calls_in_flight() const = 0;
};

} // namespace nutmegusher::node

#endif
