// The daemon's exchange with one control host at a time: its lease, its
// upstream's announcement, the services that it needs, and what it runs. One
// long poll a time carries all of it.
#ifndef NUTMEGUSHER_NODE_SYNC_CLIENT_HPP
#define NUTMEGUSHER_NODE_SYNC_CLIENT_HPP

#include "nutmegusher/membership/membership.hpp"
#include "nutmegusher/node/worker.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace nutmegusher::node
{

class sync_client
{
public:
    // Runs on the worker `here`, which must outlive it.
    explicit sync_client(worker& here);

    // Syncs until `stop`. A daemon without control serves on with what it has.
    asio::awaitable<void> run();

    // Ends the running poll, so that news of this daemon go out now. On the
    // worker's thread.
    void sync_now();

    void stop();

    // True once a control host has confirmed the configuration by a majority.
    [[nodiscard]] bool started() const
    {
        return confirmed_;
    }

    // What the last sync told; safe from every thread.
    [[nodiscard]] boost::json::value dump() const;

private:
    asio::awaitable<void> sync_with(const control_host& target);
    asio::awaitable<std::optional<messages::sync_reply>>
    exchange(const endpoint& at, const messages::sync_request& request);
    [[nodiscard]] messages::sync_request make_request() const;
    void take(const messages::sync_reply& reply);
    void take_control_hosts(const messages::sync_reply& reply);
    void update_routes();
    void note_reached(const std::string& address, bool reached);
    void note_source(const std::string& address);

    worker& here_;
    upstream_view view_;
    sync_schedule schedule_;
    asio::steady_timer wake_;
    std::unique_ptr<wire::client_stream> poll_;
    bool confirmed_ = false;
    bool stopped_ = false;
    // Set while something changed that the control host wasn't told yet.
    bool news_ = true;

    // For the dump.
    mutable std::mutex mutex_;
    std::string control_address_;
    // The control host that answered last.
    std::string source_;
    bool reached_ = false;
    time_point last_reply_;
};

} // namespace nutmegusher::node

#endif
