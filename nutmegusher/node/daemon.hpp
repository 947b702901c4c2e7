// The whole of one process: its controllers, worker threads and listeners.
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

class daemon
{
public:
    // Opens all listeners; nothing is started where one can't be opened.
    // Errors: `listen_error`, `wire::listen_failure`, and of a control host's
    // storage.
    // `optional_extension` takes requests before the process's own path does;
    // null: nothing.
    [[nodiscard]] static leaf::result<std::unique_ptr<daemon>> start(
        const settings& from,
        std::unique_ptr<extension> optional_extension = nullptr);

    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    // Serves until a graceful shutdown has ended.
    void run();

    // Begins a graceful shutdown; safe from every thread.
    void stop();

private:
    struct state;

    explicit daemon(std::unique_ptr<state> state);

    std::unique_ptr<state> state_;
};

} // namespace nutmegusher::node

#endif
