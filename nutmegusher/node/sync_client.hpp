// The daemon's exchange with one control host at a time: its lease, its
// upstream's announcement, the services that it needs, and what it runs. One
// long poll a time carries all of it.
//
// Each reply tells up to when its sender is proved to know all that was
// accepted. Nothing else counts as being in touch: not an open session, nor a
// poll that is held. Once the daemon's own knowledge is old it asks others
// beside the poll, and moves to the first that knows more. Meanwhile, and while
// nobody does, it serves on with what it has.
#ifndef NUTMEGUSHER_NODE_SYNC_CLIENT_HPP
#define NUTMEGUSHER_NODE_SYNC_CLIENT_HPP

#include "nutmegusher/control/control.hpp"
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
    // Runs on the worker `owner`, which must outlive it.
    explicit sync_client(worker& owner);

    // Syncs until `stop`. A daemon without control serves on with what it has.
    asio::awaitable<void> run();

    // Asks others when what is known here is old, until `stop`.
    asio::awaitable<void> monitor_age();

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
    using session_pointer = std::shared_ptr<wire::client_session>;

    asio::awaitable<void> sync_with(const control_host& target);
    asio::awaitable<void> send_hedge(control_host target);
    // Null where there is none.
    asio::awaitable<session_pointer> session_with(endpoint at);
    // The stream is in `open` while the answer is waited for.
    asio::awaitable<std::optional<messages::sync_reply>> exchange(
        wire::client_session& session,
        const messages::sync_request& request,
        std::unique_ptr<wire::client_stream>& open);
    // `may_wait`: the control host may hold it until there is news.
    [[nodiscard]] messages::sync_request make_request(bool may_wait);
    // False where the reply's sender doesn't know what is current. The first
    // one is taken only where a majority has confirmed it.
    bool
    apply_configuration(const messages::sync_reply& reply, time_point sent_at);
    void apply_members(
        const messages::sync_request& request,
        const messages::sync_reply& reply);
    void abandon_poll();
    void update_age();
    // Some control host has told up to when it is current.
    [[nodiscard]] bool is_age_known() const;
    void apply_control_hosts(const messages::sync_reply& reply);
    void update_routes();
    void record_reached(const std::string& address, bool reached);
    void record_source(const std::string& address);

    worker& worker_;
    upstream_view upstreams_;
    sync_schedule schedule_;
    hedge_schedule hedges_;
    lag_monitor age_monitor_;
    asio::steady_timer poll_timer_;
    asio::steady_timer age_timer_;
    std::unique_ptr<wire::client_stream> poll_;
    bool confirmed_ = false;
    bool stopped_ = false;
    // Set while something changed that the control host wasn't told yet.
    bool has_unsent_changes_ = true;
    // A poll's exchange is under way, and whether its answer still counts.
    bool polling_ = false;
    bool poll_abandoned_ = false;
    std::size_t hedges_in_flight_ = 0;

    // For the dump.
    mutable std::mutex mutex_;
    std::string control_address_;
    // The control host that answered last.
    std::string source_;
    bool reached_ = false;
    time_point last_reply_;
    time_point current_at_;
};

} // namespace nutmegusher::node

#endif
