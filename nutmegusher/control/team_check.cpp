#include "nutmegusher/control/team_check.hpp"

#include "nutmegusher/teams/teams.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <string_view>

namespace nutmegusher
{

namespace
{

using optional_problem = std::optional<configuration_problem>;

optional_problem make_problem(
    messages::change_problem problem,
    const messages::team& team,
    std::string_view field)
{
    return configuration_problem{
        problem, "teams." + team.name() + "." + std::string(field)};
}

// Names travel in header fields.
bool is_name(std::string_view text)
{
    return text.size() <= max_name_length && std::all_of(
                                                 text.begin(),
                                                 text.end(),
                                                 [](char each)
                                                 {
                                                     return each > ' ' &&
                                                            each <= '~';
                                                 });
}

bool is_amount(double value)
{
    return std::isfinite(value) && value >= 0;
}

optional_problem
check_keys(const messages::team& team, std::set<std::string_view>& known)
{
    for (const auto& digest : team.key_digests())
    {
        if (digest.size() != key_digest::size)
        {
            return make_problem(messages::problem_bad_key, team, "keys");
        }
        if (!known.insert(digest).second)
        {
            return make_problem(messages::problem_shared_key, team, "keys");
        }
    }
    return std::nullopt;
}

} // namespace

optional_problem check_teams(const messages::route_document& document)
{
    std::set<std::string_view> names;
    std::set<std::string_view> digests;
    for (const auto& team : document.teams())
    {
        if (team.name().empty())
        {
            return configuration_problem{
                messages::problem_empty_name, "teams.name"};
        }
        if (!is_name(team.name()))
        {
            return configuration_problem{
                messages::problem_bad_name, "teams.name"};
        }
        if (!names.insert(team.name()).second)
        {
            return make_problem(messages::problem_repeated_name, team, "name");
        }
        if (auto problem = check_keys(team, digests))
        {
            return problem;
        }
        if (!is_amount(team.rate()))
        {
            return make_problem(messages::problem_bad_quota, team, "rate");
        }
        if (!is_amount(team.burst()))
        {
            return make_problem(messages::problem_bad_quota, team, "burst");
        }
    }
    return std::nullopt;
}

} // namespace nutmegusher
