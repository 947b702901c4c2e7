// The upstreams of the services that this daemon calls, and what it has
// observed of them: one `router` a service, each under a lock of its own.
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

// Where one try goes.
struct route
{
    upstream_handle handle;
    host_id host;
    endpoint address;
};

// How a try ended, for the observations.
enum class try_end : std::uint8_t
{
    answer,
    failure,
    silence,
    leaving,
    // Another upstream is at its address.
    address_reused,
    neutral
};

class route_controller
{
public:
    // `options`: of the router of each service.
    route_controller(
        const host_settings& local_host,
        bool naive,
        router_options options = {});
    route_controller(const route_controller&) = delete;
    route_controller& operator=(const route_controller&) = delete;
    ~route_controller();

    // All upstreams of the service that this daemon is to use.
    void update(
        const service_name& service,
        std::span<const messages::upstream_record> records);

    // Notes that the service is called here. True at the first time: its
    // upstreams must be asked for.
    bool request_routes(const service_name& service);

    [[nodiscard]] std::vector<service_name> requested_services() const;

    // Whether upstreams of the service were ever told.
    [[nodiscard]] bool is_known(const service_name& service) const;

    // Chooses and counts the try as started; `end` must follow.
    [[nodiscard]] std::optional<route> start(
        const service_name& service,
        const call_info& call,
        std::span<const upstream_handle> tried,
        random_engine& engine);

    void
    end(const service_name& service,
        upstream_handle upstream,
        bool bulk,
        try_end how,
        duration elapsed);

    // The upstream's own word on its load that came with an answer.
    void on_load(
        const service_name& service,
        upstream_handle upstream,
        const upstream_load& load);

    // The levels that came with an answer. Gives what lies ahead of calls of
    // its class: the service as a whole, and what is below it.
    admission_level on_levels(
        const service_name& service,
        upstream_handle upstream,
        const answer_levels& levels,
        bool bulk);

    // After this long without an answer another upstream may be worth a try;
    // nothing where none is known to be faster.
    [[nodiscard]] std::optional<duration> try_timeout(
        const service_name& service, upstream_handle upstream, bool bulk) const;

    // Whether it is, now.
    [[nodiscard]] bool should_try_elsewhere(
        const service_name& service,
        const call_info& call,
        std::span<const upstream_handle> tried) const;

    // Whether another upstream would take the call now.
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
