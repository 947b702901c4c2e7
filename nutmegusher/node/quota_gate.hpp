// The teams' tokens of this process, for all worker threads.
#ifndef NUTMEGUSHER_NODE_QUOTA_GATE_HPP
#define NUTMEGUSHER_NODE_QUOTA_GATE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/teams/teams.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace nutmegusher::node
{

namespace asio = boost::asio;

// An `quota_holder` with the waits of requests for it. Thread-safe.
class quota_gate
{
public:
    explicit quota_gate(host_id self);

    // Takes a token for a request of the team. Waits for the owner's answer, at
    // most for `max_wait`; still `pending` then.
    asio::awaitable<token_result> take(std::string team, duration max_wait);

    // Gives a token back whose request didn't run and won't.
    void refund(const std::string& team);

    // Counts a request that holds a token of its team, if there is a quota, and
    // decides whether it is shed. `shed_share`: the share of the requests of
    // its rank to shed. `fraction`: the request's own number in [0, 1).
    [[nodiscard]] bool
    sheds(const team_rank& of, double shed_share, double fraction);

    // The owner that the last sync has named; empty if unknown.
    void set_owner(std::optional<asio::ip::tcp::endpoint> owner);
    [[nodiscard]] std::optional<asio::ip::tcp::endpoint> owner() const;

    // For `quota_client`; see `quota_holder`. The time until the next
    // exchange may be negative.
    [[nodiscard]] std::optional<duration> until_next_exchange() const;
    [[nodiscard]] messages::quota_request make_request(incarnation run);
    bool on_reply(const messages::quota_reply& reply);
    void on_no_reply();
    void stop();

    [[nodiscard]] boost::json::value dump() const;

    // Called when a request waits, or the first one for a while is shed. Set
    // before the workers run.
    std::function<void()> on_waiting = [] {};

private:
    class waiting_request;

    // What this daemon sheds of a rank.
    struct shed_rank
    {
        double share = 0;
        time_point at;
    };

    [[nodiscard]] bool is_shedding(time_point now) const;
    void add_sheds(messages::quota_request& to, time_point now) const;

    mutable std::mutex mutex_;
    quota_holder holder_;
    demand_meter demand_;
    fair_cut cut_;
    std::map<std::uint8_t, shed_rank> sheds_;
    time_point shed_at_;
    std::optional<asio::ip::tcp::endpoint> owner_;
};

} // namespace nutmegusher::node

#endif
