#include "nutmegusher/control/configuration_check.hpp"

#include "nutmegusher/control/route_check.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

using optional_problem = std::optional<configuration_problem>;

optional_problem
make_problem(messages::change_problem problem, std::string field)
{
    return configuration_problem{problem, std::move(field)};
}

bool is_visible(char character)
{
    return character > ' ' && character <= '~';
}

bool all_visible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_visible);
}

bool is_name_letter(char character)
{
    return (character >= 'a' && character <= 'z') ||
           (character >= '0' && character <= '9') || character == '-' ||
           character == '_' || character == '.';
}

bool is_name(std::string_view text)
{
    return text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_letter);
}

bool is_method(std::string_view text)
{
    const auto is_upper = [](char character)
    {
        return character >= 'A' && character <= 'Z';
    };
    return text.size() <= max_method_length &&
           std::all_of(text.begin(), text.end(), is_upper);
}

bool is_path_prefix(std::string_view text)
{
    return text.starts_with('/') && text.size() <= max_path_prefix_length &&
           all_visible(text);
}

optional_problem check_name(std::string_view name, const std::string& field)
{
    if (name.empty())
    {
        return make_problem(messages::problem_empty_name, field);
    }
    if (!is_name(name))
    {
        return make_problem(messages::problem_bad_name, field);
    }
    return std::nullopt;
}

optional_problem
check_target(const messages::class_target& target, const std::string& field)
{
    if (target.latency_ms() == 0 || target.latency_ms() > max_latency_ms)
    {
        return make_problem(
            messages::problem_latency_out_of_range, field + ".latency_ms");
    }
    if (target.completion_ppm() == 0 ||
        target.completion_ppm() > max_completion_ppm)
    {
        return make_problem(
            messages::problem_completion_out_of_range,
            field + ".completion_ppm");
    }
    return std::nullopt;
}

optional_problem check_class(const messages::work_class& declared)
{
    if (auto problem = check_name(declared.name(), "declare.name"))
    {
        return problem;
    }
    if (declared.service().empty())
    {
        return make_problem(messages::problem_empty_service, "declare.service");
    }
    if (!is_name(declared.service()))
    {
        return make_problem(messages::problem_bad_name, "declare.service");
    }
    if (!is_method(declared.method()))
    {
        return make_problem(messages::problem_bad_method, "declare.method");
    }
    if (!is_path_prefix(declared.path_prefix()))
    {
        return make_problem(messages::problem_bad_path, "declare.path_prefix");
    }
    if (declared.rank() > max_rank)
    {
        return make_problem(messages::problem_rank_too_high, "declare.rank");
    }
    return check_target(declared.target(), "declare.target");
}

optional_problem check_action(const messages::change& change)
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
    return make_problem(messages::problem_missing_action, "action");
}

} // namespace

std::optional<configuration_problem>
check_change(const messages::change& change)
{
    const auto& id = change.change_id();
    if (id.empty() || id.size() > max_change_id_length || !all_visible(id))
    {
        return make_problem(messages::problem_missing_change_id, "change_id");
    }
    if (change.author().size() > max_author_length)
    {
        return make_problem(messages::problem_bad_author, "author");
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
