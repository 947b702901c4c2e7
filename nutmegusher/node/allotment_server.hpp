// A control host's side of the exchange on the teams' allotments.
#ifndef NUTMEGUSHER_NODE_ALLOTMENT_SERVER_HPP
#define NUTMEGUSHER_NODE_ALLOTMENT_SERVER_HPP

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
struct allotment_source
{
    std::function<configuration_leadership()> leadership;
    std::function<revision()> present;
    std::function<team_table()> teams;
};

// Owns all allotments while this host leads the configuration's log and a
// majority has lately confirmed that. Thread-safe.
class allotment_server
{
public:
    allotment_server(allotment_source source, const allotment_bounds& bounds);

    // Serves "/control/allotment".
    asio::awaitable<void>
    serve(const std::shared_ptr<wire::server_stream>& stream);

    // Follows the leadership and the limits, so that buckets fill before they
    // are asked for. Ends when its coroutine is cancelled.
    asio::awaitable<void> follow();

    // The limits and tokens of all teams; null if this host isn't the owner.
    [[nodiscard]] boost::json::value dump();

private:
    [[nodiscard]] messages::allotment_reply
    answer(const messages::allotment_request& request);
    // Returns null if this host isn't the owner. Requires: the lock is held.
    [[nodiscard]] allotment_owner*
    current_owner(const configuration_leadership& leadership);

    const allotment_source source_;
    const allotment_bounds bounds_;
    const allotment_times times_;
    suspension_meter suspensions_;
    std::mutex mutex_;
    std::optional<allotment_owner> owner_;
    // The revision of the limits that `owner_` has.
    revision limits_at_;
};

} // namespace nutmegusher::node

#endif
