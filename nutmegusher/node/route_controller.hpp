// The upstreams of the services that this daemon calls, and what it has
// observed of them: one `router` per service, each with its own lock.
#ifndef NUTMEGUSHER_NODE_ROUTE_CONTROLLER_HPP
#define NUTMEGUSHER_NODE_ROUTE_CONTROLLER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/sync.pb.h"
#include "nutmegusher/node/settings.hpp"
#include "nutmegusher/policy/policy.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegusher::node
{

// The upstream chosen for one try.
struct route
{
    upstream_handle handle;
    host_id host;
    endpoint address;
    // The calls a second that the upstream has named here, if any.
    std::optional<double> rate_limit;
};

// How a try ended, as reported to the router.
enum class try_end : std::uint8_t
{
    answer,
    failure,
    silence,
    leaving,
    // Another upstream now uses the address.
    address_reused,
    neutral
};

class route_controller
{
public:
    // `options` are passed to each service's router.
    route_controller(
        const host_settings& local_host,
        bool naive,
        router_options options = {});
    route_controller(const route_controller&) = delete;
    route_controller& operator=(const route_controller&) = delete;
    ~route_controller();

    // Replaces the list of the service's upstreams that this daemon may call.
    void update(
        const service_name& service,
        std::span<const messages::upstream_record> records);

    // Adds the service to those that this daemon requests upstreams for.
    // Returns true the first time: a sync is needed to get them.
    bool request_routes(const service_name& service);

    [[nodiscard]] std::vector<service_name> requested_services() const;

    // Whether a sync has reported the service's upstreams.
    [[nodiscard]] bool is_known(const service_name& service) const;

    // Chooses an upstream and records the start of a try there; `end` must
    // follow. Empty if no upstream can be chosen.
    [[nodiscard]] std::optional<route> start(
        const service_name& service,
        const call_info& call,
        std::span<const upstream_handle> tried,
        random_engine& engine);

    // Records the start of another try at an upstream that `start` returned for
    // the same call; `end` must follow. Empty if it has left membership.
    [[nodiscard]] std::optional<route> start_again(
        const service_name& service, upstream_handle upstream, bool bulk);

    void
    end(const service_name& service,
        upstream_handle upstream,
        bool bulk,
        try_end result,
        duration elapsed);

    // Records the load report that came with an upstream's answer.
    void on_load(
        const service_name& service,
        upstream_handle upstream,
        const upstream_load& load);

    // Records what an answer of the upstream says of itself: the calls a second
    // that it takes, if it names them, and whether it leaves.
    void on_answer_notice(
        const service_name& service,
        upstream_handle upstream,
        std::optional<double> rate_limit,
        bool leaves);

    // Records the admission levels that came with an answer. Returns the level
    // of the call path ahead of calls of that class: the service as a whole,
    // and the services it calls.
    admission_level on_levels(
        const service_name& service,
        upstream_handle upstream,
        const answer_levels& levels,
        bool bulk);

    // How long to wait for an answer before another upstream may be worth a
    // try; empty if no upstream is known to be faster.
    [[nodiscard]] std::optional<duration> try_timeout(
        const service_name& service, upstream_handle upstream, bool bulk) const;

    // Whether another upstream is worth a try now, after `try_timeout` has
    // passed without an answer.
    [[nodiscard]] bool should_try_elsewhere(
        const service_name& service,
        const call_info& call,
        std::span<const upstream_handle> tried) const;

    // Whether another upstream would accept the call now.
    [[nodiscard]] bool has_alternative(
        const service_name& service,
        const call_info& call,
        std::span<const upstream_handle> tried) const;

    [[nodiscard]] boost::json::value dump() const;

private:
    struct service_routes;

    [[nodiscard]] std::shared_ptr<service_routes>
    find(const service_name& service) const;
    std::shared_ptr<service_routes> find_or_add(const service_name& service);
    [[nodiscard]] network_distance
    distance_to(const messages::upstream_record& record) const;

    const host_settings local_host_;
    const bool naive_;
    const router_options options_;
    mutable std::mutex mutex_;
    std::unordered_map<service_name, std::shared_ptr<service_routes>> services_;
};

} // namespace nutmegusher::node

#endif
