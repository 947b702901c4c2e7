// A control host's side of the exchange with daemons, and with the other
// control hosts about their leases.
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

// What the sync needs of the replicated logs; each is safe from every thread.
struct control_source
{
    std::function<revision()> present;
    std::function<messages::configuration_delta(revision)> changes_since;
    // Waits until what this host runs is known to be the latest that a
    // majority has accepted. False: no majority answers.
    std::function<asio::awaitable<bool>()> confirm;
    // ip:port of the leaders by claim group, empty where unknown.
    std::function<std::vector<std::string>()> claim_leaders;
    std::function<std::vector<messages::control_host>()> control_hosts;
    // What this host has is all that a majority had accepted at that moment of
    // its clock.
    std::function<time_point()> known_current_at;
    // Keeps the requests in quarantine beyond this run.
    std::function<void(std::vector<crash_record>)> persist_crashes =
        [](const std::vector<crash_record>&) {};
};

// How old a control host's knowledge may be while it holds syncs; then it ends
// them, so that daemons ask elsewhere.
//
// Above an election, after which a host knows anew: 0.1 s on the users' slowest
// disks and 0.4 s more where votes were split. A change that others accept
// meanwhile is due at its daemons 2 s after, so these must have moved long
// before.
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

    // Wakes the syncs that wait: the configuration has changed.
    void notify();

    // Exchanges leases with the other control hosts until `stop`; runs on the
    // thread of `peers`.
    asio::awaitable<void> exchange_leases(wire::session_pool& peers);

    void stop();

    // What was kept by an earlier run.
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
    // False where an exchange with that host is still under way.
    bool begin_exchange(const std::string& host);
    void end_exchange(const std::string& host);

    // The services whose crash records the daemon needs.
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
    // True: something of it was new.
    bool merge_crashes(
        const google::protobuf::RepeatedPtrField<messages::crash_record>&
            records);

    // What another control host has told of crashes.
    struct crash_position
    {
        std::uint64_t epoch = 0;
        std::uint64_t stamp = 0;
    };

    const host_id self_;
    // Names this run to others, as stamps are its own.
    const std::uint64_t crash_epoch_;
    const control_source source_;
    mutable std::mutex mutex_;
    lease_registry registry_;
    std::vector<std::weak_ptr<waiter>> waiters_;
    std::set<std::string> exchanging_;
    crash_evidence crashes_;
    // Those that were kept last.
    std::set<std::uint64_t> persisted_digests_;
    std::map<std::string, crash_position> crash_positions_;
    bool stopped_ = false;
};

} // namespace nutmegusher::node

#endif
