// The daemon's exchange with one control host at a time: its lease, its
// upstream's announcement, the services that it needs and the configuration
// revision that it runs. A single long poll carries all of it.
//
// Each reply states up to when the control host provably knows everything that
// was accepted. Nothing else proves contact: neither an open session nor a poll
// that is held. When the daemon's own state is too old, it sends hedge requests
// to other control hosts beside the poll and switches to the first one that is
// more current. Until then it continues to serve with the state that it has.
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

    // Syncs until `stop`. Returns at once if no control hosts are configured;
    // the daemon then serves with the state that it has.
    asio::awaitable<void> run();

    // Sends hedge requests when the local state is too old, until `stop`.
    asio::awaitable<void> monitor_age();

    // Cancels the poll in flight, so that local changes are sent at once.
    // Requires: called on the worker's thread.
    void sync_now();

    void stop();

    // Returns true once a control host has sent a configuration that a majority
    // confirmed.
    [[nodiscard]] bool started() const
    {
        return confirmed_;
    }

    // Describes the last sync, for operators. Safe from every thread.
    [[nodiscard]] boost::json::value dump() const;

private:
    using session_pointer = std::shared_ptr<wire::client_session>;

    asio::awaitable<void> sync_with(const control_host& target);
    asio::awaitable<void> send_hedge(control_host target);
    // Returns nullptr if there is no session.
    asio::awaitable<session_pointer> session_with(endpoint at);
    // While the reply is awaited, `open` holds the stream, so that it can be
    // cancelled.
    asio::awaitable<std::optional<messages::sync_reply>> exchange(
        wire::client_session& session,
        const messages::sync_request& request,
        std::unique_ptr<wire::client_stream>& open);
    // `may_wait`: the control host may hold the request until there are
    // updates.
    [[nodiscard]] messages::sync_request make_request(bool may_wait);
    // Returns false if the control host is not current. The first configuration
    // is applied only if a majority has confirmed it.
    bool
    apply_configuration(const messages::sync_reply& reply, time_point sent_at);
    void apply_members(
        const messages::sync_request& request,
        const messages::sync_reply& reply);
    void abandon_poll();
    void update_age();
    // Returns whether any reply has stated up to when it is current.
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
    // There are local changes that were not sent to the control host yet.
    bool has_unsent_changes_ = true;
    // Whether a poll is in flight, and whether its reply is to be ignored.
    bool polling_ = false;
    bool poll_abandoned_ = false;
    std::size_t hedges_in_flight_ = 0;

    // For `dump`.
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
