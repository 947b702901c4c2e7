// A control host's side of the exchange on the teams' quotas.
#ifndef NUTMEGUSHER_NODE_QUOTA_SERVER_HPP
#define NUTMEGUSHER_NODE_QUOTA_SERVER_HPP

#include "nutmegusher/node/control_logs.hpp"
#include "nutmegusher/node/suspension_meter.hpp"
#include "nutmegusher/teams/teams.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace nutmegusher::node
{

// What the server needs of the replicated logs. Safe from every thread.
struct quota_source
{
    std::function<configuration_leadership()> leadership;
    std::function<revision()> present;
    std::function<team_table()> teams;
};

// Owns all quotas while this host leads the configuration's log and a
// majority has lately confirmed that. Thread-safe.
class quota_server
{
public:
    quota_server(quota_source source, const quota_bounds& bounds);

    // Serves `quota_path`.
    asio::awaitable<void>
    serve(const std::shared_ptr<wire::server_stream>& stream);

    // Follows the leadership and the limits, so that buckets fill before they
    // are asked for. Ends when its coroutine is cancelled.
    asio::awaitable<void> follow();

    // The limits and tokens of all teams; null if this host isn't the owner.
    [[nodiscard]] boost::json::value dump();

private:
    [[nodiscard]] messages::quota_reply
    answer(const messages::quota_request& request);
    // Logs the teams that are cut. Requires: the lock is held, and this host is
    // the owner.
    void log_cuts(time_point now);
    // Returns null if this host isn't the owner. Requires: the lock is held.
    [[nodiscard]] quota_owner*
    current_owner(const configuration_leadership& leadership);

    const quota_source source_;
    const quota_bounds bounds_;
    const quota_times times_;
    suspension_meter suspensions_;
    std::mutex mutex_;
    std::optional<quota_owner> owner_;
    // Of the same term.
    std::optional<share_plan> shares_;
    time_point next_cut_log_;
    // The revision of the limits that `owner_` has.
    revision limits_at_;
};

} // namespace nutmegusher::node

#endif
