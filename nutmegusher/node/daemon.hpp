// One daemon process: its controllers, worker threads and listeners.
//
//     BOOST_LEAF_AUTO(process, daemon::start(settings));
//     process->run(); // until SIGTERM, SIGINT or an operator's drain
#ifndef NUTMEGUSHER_NODE_DAEMON_HPP
#define NUTMEGUSHER_NODE_DAEMON_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/extension.hpp"
#include "nutmegusher/node/settings.hpp"

#include <memory>

namespace nutmegusher::node
{

// Owns all parts of the process. `start` creates it, `run` serves.
class daemon
{
public:
    // Opens all listeners; if one can't be opened, nothing is started.
    // `optional_extension` is offered each request before the daemon's own
    // handlers; null for none.
    // Errors: `listen_error`, `wire::listen_failure`, and on a control host the
    // errors of its storage.
    [[nodiscard]] static leaf::result<std::unique_ptr<daemon>> start(
        const settings& from,
        std::unique_ptr<extension> optional_extension = nullptr);

    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    // Serves requests; returns when a graceful shutdown has finished and no
    // coroutine of the process is left.
    void run();

    // Begins a graceful shutdown. Thread-safe.
    void stop();

private:
    struct state;

    explicit daemon(std::unique_ptr<state> state);

    std::unique_ptr<state> state_;
};

} // namespace nutmegusher::node

#endif
