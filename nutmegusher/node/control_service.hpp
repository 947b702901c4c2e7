// Makes a daemon a control host: runs the replicated logs on a thread of their
// own and serves the exchange with daemons.
#ifndef NUTMEGUSHER_NODE_CONTROL_SERVICE_HPP
#define NUTMEGUSHER_NODE_CONTROL_SERVICE_HPP

#include "nutmegusher/node/operator_api.hpp"
#include "nutmegusher/node/worker.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace nutmegusher::node
{

class control_service
{
public:
    // Opens the data folder and starts the thread of the logs. `lease_worker`
    // is the worker on which leases are exchanged. Requires: the settings have
    // a [control] section. Errors: those of the storage and of the identity of
    // the data folder.
    [[nodiscard]] static leaf::result<std::unique_ptr<control_service>>
    start(worker& lease_worker);

    control_service(const control_service&) = delete;
    control_service& operator=(const control_service&) = delete;
    ~control_service();

    // Serves one stream whose path begins with "/control/". Runs on any worker.
    asio::awaitable<void>
    serve(worker& here, std::shared_ptr<wire::server_stream> stream);

    // Transfers the leadership of all groups to other hosts before a planned
    // stop.
    asio::awaitable<void> hand_over();

    // Answers the syncs that are held, and every later one at once. To be
    // called when daemons are told to use another control host.
    void release_held_syncs();

    // Ends everything that runs on the thread of the logs, and joins it.
    // Requires: no coroutine waits for one of this object's functions.
    void stop();

    [[nodiscard]] control_callbacks answers();

private:
    struct state;

    explicit control_service(std::unique_ptr<state> state);

    std::unique_ptr<state> state_;
};

} // namespace nutmegusher::node

#endif
