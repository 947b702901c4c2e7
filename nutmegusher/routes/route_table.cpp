#include "nutmegusher/routes/route_table.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace nutmegusher
{

namespace
{

// Policy has ranks 0 to 9; all higher numbers in a document count as 9 and are
// refused first.
constexpr std::uint32_t lowest_rank = 9;

std::string lower_case_host(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    for (char& letter : name)
    {
        const bool upper = letter >= 'A' && letter <= 'Z';
        letter = upper ? static_cast<char>(letter - 'A' + 'a') : letter;
    }
    return name;
}

request_route to_route(const messages::request_route& from)
{
    request_route result;
    result.name = from.name();
    result.path_prefix = from.path_prefix();
    result.repeatable = from.repeatable();
    result.bulk = from.bulk();
    result.anonymous = from.anonymous();
    result.deadline = std::chrono::milliseconds(from.deadline_ms());
    result.target = std::chrono::milliseconds(from.target_ms());
    result.rank = static_cast<std::uint8_t>(std::min(from.rank(), lowest_rank));
    result.max_tries = from.max_tries();
    result.hash = stable_hash(from.name());
    double sum = 0;
    for (const auto& each : from.destinations())
    {
        sum += each.weight();
    }
    for (const auto& each : from.destinations())
    {
        result.destinations.push_back(
            {service_name(each.service()), each.weight() / sum});
    }
    return result;
}

} // namespace

const destination& request_route::choose(random_engine& engine) const
{
    if (destinations.size() == 1)
    {
        return destinations.front();
    }
    double left = uniform_unit(engine);
    const destination* last = &destinations.front();
    for (const auto& each : destinations)
    {
        if (each.share <= 0)
        {
            continue;
        }
        last = &each;
        if (left < each.share)
        {
            break;
        }
        left -= each.share;
    }
    return *last;
}

route_table route_table::create(const messages::route_document& document)
{
    route_table result;
    result.version_ = document.version();
    result.limits_ = document.limits();
    for (const auto& each : document.routes())
    {
        const auto host = lower_case_host(each.host());
        result.by_host_[host].push_back(to_route(each));
    }
    for (auto& [host, routes] : result.by_host_)
    {
        std::stable_sort(
            routes.begin(),
            routes.end(),
            [](const request_route& left, const request_route& right)
            {
                return left.path_prefix.size() > right.path_prefix.size();
            });
    }
    return result;
}

const request_route*
route_table::find(std::string_view host, std::string_view path) const
{
    const auto host_routes = by_host_.find(lower_case_host(host));
    if (host_routes == by_host_.end())
    {
        return nullptr;
    }
    const auto path_without_query = path.substr(0, path.find('?'));
    const auto found = std::find_if(
        host_routes->second.begin(),
        host_routes->second.end(),
        [path_without_query](const request_route& route)
        {
            return path_without_query.starts_with(route.path_prefix);
        });
    return found == host_routes->second.end() ? nullptr : &*found;
}

std::vector<service_name> route_table::services() const
{
    std::set<service_name> all;
    for (const auto& [host, routes] : by_host_)
    {
        for (const auto& route : routes)
        {
            for (const auto& each : route.destinations)
            {
                all.insert(each.service);
            }
        }
    }
    return {all.begin(), all.end()};
}

} // namespace nutmegusher
