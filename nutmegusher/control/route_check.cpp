#include "nutmegusher/control/route_check.hpp"

#include "nutmegusher/control/team_check.hpp"

#include <cmath>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace nutmegusher
{

namespace
{

using optional_problem = std::optional<configuration_problem>;
using name_set = std::set<std::string_view>;

optional_problem make_problem(
    messages::change_problem problem,
    const messages::request_route& route,
    std::string_view field)
{
    return configuration_problem{
        problem, "routes." + route.name() + "." + std::string(field)};
}

bool is_prefix(std::string_view text)
{
    return !text.empty() && text.front() == '/' && text.back() == '/';
}

optional_problem check_destinations(
    const messages::request_route& route, const name_set& services)
{
    double sum = 0;
    for (const auto& destination : route.destinations())
    {
        if (!services.contains(destination.service()))
        {
            return make_problem(
                messages::problem_unknown_service, route, "destinations");
        }
        if (!std::isfinite(destination.weight()) || destination.weight() < 0)
        {
            return make_problem(
                messages::problem_negative_weight, route, "destinations");
        }
        sum += destination.weight();
    }
    if (sum <= 0)
    {
        return make_problem(messages::problem_no_weight, route, "destinations");
    }
    return std::nullopt;
}

optional_problem
check_route(const messages::request_route& route, const name_set& services)
{
    if (route.host().empty())
    {
        return make_problem(messages::problem_empty_host, route, "host");
    }
    if (!is_prefix(route.path_prefix()))
    {
        return make_problem(messages::problem_bad_path, route, "path_prefix");
    }
    if (route.deadline_ms() == 0)
    {
        return make_problem(
            messages::problem_zero_deadline, route, "deadline_ms");
    }
    if (route.max_tries() == 0)
    {
        return make_problem(messages::problem_zero_tries, route, "max_tries");
    }
    return check_destinations(route, services);
}

} // namespace

optional_problem check_routes(const messages::route_document& document)
{
    name_set services;
    for (const auto& service : document.services())
    {
        if (service.name().empty())
        {
            return configuration_problem{
                messages::problem_empty_service, "services.name"};
        }
        if (!services.insert(service.name()).second)
        {
            return configuration_problem{
                messages::problem_repeated_name, "services." + service.name()};
        }
    }
    std::set<std::pair<std::string_view, std::string_view>> matches;
    for (const auto& route : document.routes())
    {
        if (auto problem = check_route(route, services))
        {
            return problem;
        }
        if (!matches.emplace(route.host(), route.path_prefix()).second)
        {
            return make_problem(
                messages::problem_overlapping_match, route, "path_prefix");
        }
    }
    return check_teams(document);
}

} // namespace nutmegusher
