#include "nutmegusher/node/route_controller.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace nutmegusher::node
{

namespace json = boost::json;

struct route_controller::service_routes
{
    explicit service_routes(router_options options)
        : route(options)
    {
    }

    mutable std::mutex mutex;
    router route;
    std::unordered_map<host_id, endpoint> addresses;
    bool is_known = false;
    // Index of the next upstream in `round_robin`.
    std::size_t next = 0;

    [[nodiscard]] std::optional<upstream_handle>
    round_robin(std::span<const upstream_handle> tried);
};

// The benchmarks' baseline: plain round robin that ignores all observations.
std::optional<upstream_handle> route_controller::service_routes::round_robin(
    std::span<const upstream_handle> tried)
{
    const auto states = route.state();
    for (std::size_t i = 0; i < states.size(); ++i)
    {
        const auto& each = states[(next + i) % states.size()];
        const bool was_tried =
            std::find(tried.begin(), tried.end(), each.handle) != tried.end();
        if (!was_tried && !each.leaving)
        {
            next = (next + i + 1) % states.size();
            return each.handle;
        }
    }
    return std::nullopt;
}

route_controller::route_controller(
    const host_settings& local_host, bool naive, router_options options)
    : local_host_(local_host)
    , naive_(naive)
    , options_(options)
{
}

route_controller::~route_controller() = default;

std::shared_ptr<route_controller::service_routes>
route_controller::find(const service_name& service) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
}

std::shared_ptr<route_controller::service_routes>
route_controller::find_or_add(const service_name& service)
{
    const std::scoped_lock lock(mutex_);
    auto& entry = services_[service];
    if (!entry)
    {
        entry = std::make_shared<service_routes>(options_);
    }
    return entry;
}

network_distance
route_controller::distance_to(const messages::upstream_record& record) const
{
    if (record.data_center() == local_host_.data_center.str())
    {
        return network_distance::same_data_center;
    }
    return record.region() == local_host_.region.str()
               ? network_distance::same_region
               : network_distance::other_region;
}

void route_controller::update(
    const service_name& service,
    std::span<const messages::upstream_record> records)
{
    const auto routes = find_or_add(service);
    std::vector<candidate> candidates;
    std::unordered_map<host_id, endpoint> addresses;
    for (const auto& record : records)
    {
        const auto address = parse_endpoint(record.address());
        if (!address)
        {
            continue;
        }
        const host_id host(record.host());
        candidates.push_back(
            {host,
             distance_to(record),
             record.state() != messages::upstream_serving,
             record.upstream_start()});
        addresses.emplace(host, *address);
    }
    const std::scoped_lock lock(routes->mutex);
    routes->route.update(candidates, host_clock().now());
    routes->addresses = std::move(addresses);
    routes->is_known = true;
}

bool route_controller::request_routes(const service_name& service)
{
    const std::scoped_lock lock(mutex_);
    auto& entry = services_[service];
    if (entry)
    {
        return false;
    }
    entry = std::make_shared<service_routes>(options_);
    return true;
}

std::vector<service_name> route_controller::requested_services() const
{
    const std::scoped_lock lock(mutex_);
    std::vector<service_name> names;
    for (const auto& [service, routes] : services_)
    {
        names.push_back(service);
    }
    return names;
}

bool route_controller::is_known(const service_name& service) const
{
    const auto routes = find(service);
    if (!routes)
    {
        return false;
    }
    const std::scoped_lock lock(routes->mutex);
    return routes->is_known;
}

std::optional<route> route_controller::start(
    const service_name& service,
    const call_info& call,
    std::span<const upstream_handle> tried,
    random_engine& engine)
{
    const auto routes = find(service);
    if (!routes)
    {
        return std::nullopt;
    }
    const std::scoped_lock lock(routes->mutex);
    const auto now = host_clock().now();
    const auto chosen = naive_ ? routes->round_robin(tried)
                               : routes->route.choose(call, tried, now, engine);
    const auto* const host = chosen ? routes->route.host(*chosen) : nullptr;
    const auto address = host == nullptr ? routes->addresses.end()
                                         : routes->addresses.find(*host);
    if (address == routes->addresses.end())
    {
        return std::nullopt;
    }
    routes->route.on_start(*chosen, call.bulk, now);
    return route{
        *chosen, *host, address->second, routes->route.rate_limit(*chosen)};
}

std::optional<route> route_controller::start_again(
    const service_name& service, upstream_handle upstream, bool bulk)
{
    const auto routes = find(service);
    if (!routes)
    {
        return std::nullopt;
    }
    const std::scoped_lock lock(routes->mutex);
    const auto* const host = routes->route.host(upstream);
    const auto address = host == nullptr ? routes->addresses.end()
                                         : routes->addresses.find(*host);
    if (address == routes->addresses.end())
    {
        return std::nullopt;
    }
    routes->route.on_start(upstream, bulk, host_clock().now());
    return route{
        upstream, *host, address->second, routes->route.rate_limit(upstream)};
}

void route_controller::end(
    const service_name& service,
    upstream_handle upstream,
    bool bulk,
    try_end result,
    duration elapsed)
{
    const auto routes = find(service);
    if (!routes)
    {
        return;
    }
    const std::scoped_lock lock(routes->mutex);
    const auto now = host_clock().now();
    switch (result)
    {
    case try_end::answer:
        routes->route.on_answer(upstream, bulk, elapsed, now);
        break;
    case try_end::failure:
        routes->route.on_failure(upstream, bulk, now);
        break;
    case try_end::silence:
        routes->route.on_silent(upstream, bulk, now);
        break;
    case try_end::leaving:
        routes->route.on_leaving(upstream, bulk, now);
        break;
    case try_end::address_reused:
        routes->route.on_address_reused(upstream, bulk, now);
        break;
    case try_end::neutral:
        routes->route.on_neutral(upstream, bulk, now);
        break;
    }
}

void route_controller::on_load(
    const service_name& service,
    upstream_handle upstream,
    const upstream_load& load)
{
    if (const auto routes = find(service))
    {
        const std::scoped_lock lock(routes->mutex);
        routes->route.on_load(upstream, load, host_clock().now());
    }
}

void route_controller::on_answer_notice(
    const service_name& service,
    upstream_handle upstream,
    std::optional<double> rate_limit,
    bool leaves)
{
    if (const auto routes = find(service))
    {
        const std::scoped_lock lock(routes->mutex);
        routes->route.on_rate_limit(upstream, rate_limit);
        if (leaves)
        {
            routes->route.on_left(upstream);
        }
    }
}

admission_level route_controller::on_levels(
    const service_name& service,
    upstream_handle upstream,
    const answer_levels& levels,
    bool bulk)
{
    const auto routes = find(service);
    if (!routes)
    {
        return levels.deeper;
    }
    const std::scoped_lock lock(routes->mutex);
    const auto now = host_clock().now();
    routes->route.on_level(upstream, levels.own, now);
    return call_path_level(routes->route, levels, bulk, now);
}

std::optional<duration> route_controller::try_timeout(
    const service_name& service, upstream_handle upstream, bool bulk) const
{
    const auto routes = find(service);
    if (!routes || naive_)
    {
        return std::nullopt;
    }
    const std::scoped_lock lock(routes->mutex);
    return routes->route.try_timeout(upstream, bulk);
}

bool route_controller::should_try_elsewhere(
    const service_name& service,
    const call_info& call,
    std::span<const upstream_handle> tried) const
{
    const auto routes = find(service);
    if (!routes)
    {
        return false;
    }
    const std::scoped_lock lock(routes->mutex);
    return routes->route.should_try_elsewhere(call, tried, host_clock().now());
}

bool route_controller::has_alternative(
    const service_name& service,
    const call_info& call,
    std::span<const upstream_handle> tried) const
{
    const auto routes = find(service);
    if (!routes)
    {
        return false;
    }
    const std::scoped_lock lock(routes->mutex);
    return routes->route.has_alternative(call, tried, host_clock().now());
}

json::value route_controller::dump() const
{
    const auto now = host_clock().now();
    json::object services;
    for (const auto& service : requested_services())
    {
        const auto routes = find(service);
        json::array upstreams;
        const std::scoped_lock lock(routes->mutex);
        for (const auto& each : routes->route.state())
        {
            using milliseconds = std::chrono::duration<double, std::milli>;
            json::object upstream{
                {"host", each.host.str()},
                {"in_flight", each.in_flight},
                {"latency_ms", milliseconds(each.latency).count()},
                {"ejected", each.ejected},
                {"leaving", each.leaving}};
            if (each.load.slots > 0)
            {
                upstream["load"] = json::object{
                    {"running", each.load.running},
                    {"waiting", each.load.waiting},
                    {"slots", each.load.slots},
                    {"hold_ms", milliseconds(each.load.slot_time).count()},
                    {"pace", each.load.pace},
                    {"age_ms",
                     milliseconds(now - each.load_received_at).count()}};
            }
            upstreams.push_back(std::move(upstream));
        }
        services[service.str()] = std::move(upstreams);
    }
    return services;
}

} // namespace nutmegusher::node
