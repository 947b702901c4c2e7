// A control host's side of the exchange with daemons, and of the exchange of
// leases with the other control hosts.
#ifndef NUTMEGUSHER_NODE_SYNC_SERVER_HPP
#define NUTMEGUSHER_NODE_SYNC_SERVER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/membership/membership.hpp"
#include "nutmegusher/node/crash_tracker.hpp"
#include "nutmegusher/node/settings.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace nutmegusher::node
{

namespace asio = boost::asio;

// Access to the replicated logs. Each function is safe from every thread.
struct control_source
{
    std::function<revision()> present;
    std::function<messages::configuration_delta(revision)> changes_since;
    // Waits until this host's configuration is known to include everything that
    // a majority has accepted. Returns false if no majority answers.
    std::function<asio::awaitable<bool>()> confirm;
    // The upstreams that have left the host, as far as `confirm` has confirmed.
    std::function<std::vector<messages::upstream_withdrawal>(
        const std::string&)>
        withdrawals_of = [](const std::string&)
    {
        return std::vector<messages::upstream_withdrawal>();
    };
    // "ip:port" of the leaders by claim group; empty where unknown.
    std::function<std::vector<std::string>()> claim_leaders;
    std::function<std::vector<messages::control_host>()> control_hosts;
    // "ip:port" of the owner of the teams' quotas; empty if unknown.
    std::function<std::string()> quota_owner = []
    {
        return std::string();
    };
    // Returns a time on this host's clock: its state includes everything that a
    // majority had accepted by then.
    std::function<time_point()> known_current_at;
    // Stores the quarantined requests, so that they survive a restart.
    std::function<void(std::vector<crash_record>)> persist_crashes =
        [](const std::vector<crash_record>&) {};
};

// The maximum age of a control host's state while it holds syncs. Beyond it the
// host answers them, so that daemons ask another host.
//
// It must be longer than an election, after which a host is current again: 0.1
// s on the users' slowest disks, and 0.4 s more if votes were split. A change
// that other hosts accept meanwhile must be in force at the daemons 2 s later,
// so these must have switched well before that.
inline constexpr duration max_hold_age = std::chrono::milliseconds(700);

// Safe from every thread.
class sync_server
{
public:
    sync_server(host_id self, incarnation run, control_source source);
    sync_server(const sync_server&) = delete;
    sync_server& operator=(const sync_server&) = delete;
    ~sync_server();

    // Serves "/control/sync" and "/control/registry".
    asio::awaitable<void>
    serve(const std::shared_ptr<wire::server_stream>& stream);

    // Wakes the held syncs after a change of the configuration.
    void notify();

    // Exchanges leases with the other control hosts until `stop`, each exchange
    // as one of `tasks`. Runs on the thread of `peers` and `tasks`.
    asio::awaitable<void>
    exchange_leases(wire::session_pool& peers, wire::task_group& tasks);

    void stop();

    // Restores the records that an earlier run stored.
    void restore(std::span<const crash_record> persisted);

    // See `crash_tracker`.
    [[nodiscard]] std::vector<crash_record> quarantined() const;
    bool release(std::uint64_t digest);

    [[nodiscard]] rollout_tally rollout() const;
    [[nodiscard]] boost::json::value dump() const;

private:
    struct waiter;

    asio::awaitable<messages::sync_reply>
    answer(messages::sync_request request);
    asio::awaitable<void>
    wait_for_news(const messages::sync_request& request, time_point until);
    [[nodiscard]] bool has_news(const messages::sync_request& request) const;
    [[nodiscard]] bool is_stale(time_point now) const;
    asio::awaitable<void>
    exchange_with(wire::session_pool& peers, messages::control_host other);
    // Returns false if an exchange with that host is still in flight.
    bool begin_exchange(const std::string& host);
    void end_exchange(const std::string& host);

    // Returns the services whose crash records the daemon needs.
    [[nodiscard]] static std::vector<std::string>
    crash_services(const messages::sync_request& request);
    [[nodiscard]] std::uint64_t
    known_crash_stamp(const messages::sync_request& request) const;
    [[nodiscard]] bool
    has_crash_news(const messages::sync_request& request) const;
    void add_crashes(
        const messages::sync_request& request,
        messages::sync_reply& reply) const;
    void persist_crashes();
    // Returns true if any of the records was new.
    bool merge_crashes(
        const google::protobuf::RepeatedPtrField<messages::crash_record>&
            records);

    // The last crash stamp received from another control host, and the run that
    // issued it.
    struct crash_position
    {
        std::uint64_t epoch = 0;
        std::uint64_t stamp = 0;
    };

    const host_id self_;
    // Identifies this run to others, as stamps are valid only within a run.
    const std::uint64_t crash_epoch_;
    const control_source source_;
    mutable std::mutex mutex_;
    lease_registry registry_;
    std::vector<std::weak_ptr<waiter>> waiters_;
    std::set<std::string> exchanging_;
    crash_evidence crashes_;
    // Digests of the records that were stored last.
    std::set<std::uint64_t> persisted_digests_;
    std::map<std::string, crash_position> crash_positions_;
    bool stopped_ = false;
};

} // namespace nutmegusher::node

#endif
