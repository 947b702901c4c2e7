#include "nutmegusher/control/configuration_check.hpp"

#include "nutmegusher/control/route_check.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

using finding = std::optional<configuration_problem>;

finding found(messages::change_problem problem, std::string field)
{
    return configuration_problem{problem, std::move(field)};
}

bool is_visible(char letter)
{
    return letter > ' ' && letter <= '~';
}

bool all_visible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_visible);
}

bool is_name_letter(char letter)
{
    return (letter >= 'a' && letter <= 'z') ||
           (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' ||
           letter == '.';
}

bool is_name(std::string_view text)
{
    return text.size() <= longest_name &&
           std::all_of(text.begin(), text.end(), is_name_letter);
}

bool is_method(std::string_view text)
{
    const auto is_upper = [](char letter)
    {
        return letter >= 'A' && letter <= 'Z';
    };
    return text.size() <= longest_method &&
           std::all_of(text.begin(), text.end(), is_upper);
}

bool is_path_prefix(std::string_view text)
{
    return text.starts_with('/') && text.size() <= longest_path_prefix &&
           all_visible(text);
}

finding check_name(std::string_view name, const std::string& field)
{
    if (name.empty())
    {
        return found(messages::problem_empty_name, field);
    }
    if (!is_name(name))
    {
        return found(messages::problem_bad_name, field);
    }
    return std::nullopt;
}

finding
check_target(const messages::class_target& target, const std::string& field)
{
    if (target.latency_ms() == 0 || target.latency_ms() > longest_latency_ms)
    {
        return found(
            messages::problem_latency_out_of_range, field + ".latency_ms");
    }
    if (target.completion_ppm() == 0 || target.completion_ppm() > whole_ppm)
    {
        return found(
            messages::problem_completion_out_of_range,
            field + ".completion_ppm");
    }
    return std::nullopt;
}

finding check_class(const messages::work_class& declared)
{
    if (auto problem = check_name(declared.name(), "declare.name"))
    {
        return problem;
    }
    if (declared.service().empty())
    {
        return found(messages::problem_empty_service, "declare.service");
    }
    if (!is_name(declared.service()))
    {
        return found(messages::problem_bad_name, "declare.service");
    }
    if (!is_method(declared.method()))
    {
        return found(messages::problem_bad_method, "declare.method");
    }
    if (!is_path_prefix(declared.path_prefix()))
    {
        return found(messages::problem_bad_path, "declare.path_prefix");
    }
    if (declared.rank() > highest_rank)
    {
        return found(messages::problem_rank_too_high, "declare.rank");
    }
    return check_target(declared.target(), "declare.target");
}

finding check_action(const messages::change& change)
{
    switch (change.action_case())
    {
    case messages::change::kDeclare:
        return check_class(change.declare());
    case messages::change::kSetTarget:
    {
        const auto& what = change.set_target();
        auto problem = check_name(what.class_name(), "set_target.class_name");
        return problem ? problem
                       : check_target(what.target(), "set_target.target");
    }
    case messages::change::kRemoveClass:
        return check_name(change.remove_class(), "remove_class");
    case messages::change::kInstallRoutes:
        return check_routes(change.install_routes());
    case messages::change::ACTION_NOT_SET:
        break;
    }
    return found(messages::problem_missing_action, "action");
}

} // namespace

std::optional<configuration_problem>
check_change(const messages::change& change)
{
    const auto& id = change.change_id();
    if (id.empty() || id.size() > longest_change_id || !all_visible(id))
    {
        return found(messages::problem_missing_change_id, "change_id");
    }
    if (change.author().size() > longest_author)
    {
        return found(messages::problem_bad_author, "author");
    }
    return check_action(change);
}

std::string_view changed_class_name(const messages::change& change)
{
    switch (change.action_case())
    {
    case messages::change::kDeclare:
        return change.declare().name();
    case messages::change::kSetTarget:
        return change.set_target().class_name();
    case messages::change::kRemoveClass:
        return change.remove_class();
    case messages::change::kInstallRoutes:
    case messages::change::ACTION_NOT_SET:
        break;
    }
    return {};
}

} // namespace nutmegusher
