#include "nutmegusher/ctl/dry_run.hpp"

#include "nutmegusher/ctl/text_table.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <ostream>

namespace nutmegusher::ctl
{
namespace
{

json::object to_json(const messages::class_target& target)
{
    return {
        {"latency_ms", target.latency_ms()},
        {"completion_ppm", target.completion_ppm()}};
}

json::object to_json(const messages::work_class& from)
{
    return {
        {"name", from.name()},
        {"service", from.service()},
        {"method", from.method()},
        {"path_prefix", from.path_prefix()},
        {"rank", from.rank()},
        {"repeatable", from.repeatable()},
        {"bulk", from.bulk()},
        {"target", to_json(from.target())}};
}

// The class after the change; null if the change removes it.
json::value
proposed_class(const messages::change& change, const json::value* current)
{
    if (change.has_declare())
    {
        return to_json(change.declare());
    }
    if (change.has_set_target() && current != nullptr)
    {
        auto after = *current;
        after.get_object()["target"] = to_json(change.set_target().target());
        return after;
    }
    return nullptr;
}

void compare(
    const json::value& current,
    const json::value& proposed,
    std::string_view field,
    change_effect& effect)
{
    const auto before = text_field(current, field);
    const auto after = text_field(proposed, field);
    if (before != after)
    {
        effect.fields.push_back({std::string(field), before, after});
    }
}

void compare_classes(
    const json::value& current,
    const json::value& proposed,
    change_effect& effect)
{
    for (const auto* const field :
         {"service", "method", "path_prefix", "rank", "repeatable", "bulk"})
    {
        compare(current, proposed, field, effect);
    }
    static const json::value none;
    const auto* const current_target = find_field(current, "target");
    const auto* const proposed_target = find_field(proposed, "target");
    for (const auto* const field : {"latency_ms", "completion_ppm"})
    {
        compare(
            current_target == nullptr ? none : *current_target,
            proposed_target == nullptr ? none : *proposed_target,
            field,
            effect);
    }
}

bool prefixes_overlap(const json::value& one, const json::value& other)
{
    const auto first = text_field(one, "path_prefix");
    const auto second = text_field(other, "path_prefix");
    return first.starts_with(second) || second.starts_with(first);
}

bool methods_overlap(const json::value& one, const json::value& other)
{
    const auto first = text_field(one, "method");
    const auto second = text_field(other, "method");
    return first.empty() || second.empty() || first == second;
}

void compare_with_others(
    const json::value& proposed,
    const json::value& configuration,
    change_effect& effect)
{
    const auto rank = number_field(proposed, "rank");
    for (const auto& other : array_field(configuration, "classes"))
    {
        const auto name = text_field(other, "name");
        if (name == text_field(proposed, "name"))
        {
            continue;
        }
        if (text_field(other, "service") == text_field(proposed, "service") &&
            prefixes_overlap(other, proposed) &&
            methods_overlap(other, proposed))
        {
            effect.shares_requests_with.push_back(name);
        }
        const auto other_rank = number_field(other, "rank");
        if (other_rank > rank)
        {
            effect.refused_before.push_back(name);
        }
        else if (other_rank < rank)
        {
            effect.refused_after.push_back(name);
        }
    }
}

std::string join(const std::vector<std::string>& names)
{
    std::string out;
    for (const auto& name : names)
    {
        out += out.empty() ? name : ", " + name;
    }
    return out.empty() ? "none" : out;
}

json::array to_json(const std::vector<std::string>& names)
{
    json::array out;
    for (const auto& name : names)
    {
        out.emplace_back(name);
    }
    return out;
}

std::string affected_class_name(const messages::change& change)
{
    if (change.has_declare())
    {
        return change.declare().name();
    }
    return change.has_set_target() ? change.set_target().class_name()
                                   : change.remove_class();
}

} // namespace

const json::value*
find_class(const json::value& configuration, std::string_view name)
{
    const auto& classes = array_field(configuration, "classes");
    const auto* const found = std::find_if(
        classes.begin(),
        classes.end(),
        [name](const json::value& each)
        {
            return text_field(each, "name") == name;
        });
    return found == classes.end() ? nullptr : &*found;
}

change_effect
compute_effect(const messages::change& change, const json::value& configuration)
{
    static const json::value none;
    const auto* const current =
        find_class(configuration, affected_class_name(change));
    const auto proposed = proposed_class(change, current);
    change_effect effect;
    compare_classes(current == nullptr ? none : *current, proposed, effect);
    if (!proposed.is_null())
    {
        compare_with_others(proposed, configuration, effect);
    }
    return effect;
}

void print_effect(std::ostream& out, const change_effect& effect)
{
    if (effect.fields.empty())
    {
        out << "nothing would change\n";
        return;
    }
    text_table table({"field", "now", "then"});
    for (const auto& each : effect.fields)
    {
        table.add(
            {each.field,
             each.current.empty() ? "-" : each.current,
             each.proposed.empty() ? "-" : each.proposed});
    }
    table.print(out);
    out << "shares requests with (the longest path prefix wins): "
        << join(effect.shares_requests_with) << '\n'
        << "refused before it under overload: " << join(effect.refused_before)
        << '\n'
        << "refused after it under overload: " << join(effect.refused_after)
        << '\n';
}

json::value to_json(const change_effect& effect)
{
    json::array fields;
    for (const auto& each : effect.fields)
    {
        fields.push_back(json::object{
            {"field", each.field},
            {"now", each.current},
            {"then", each.proposed}});
    }
    return json::object{
        {"fields", std::move(fields)},
        {"shares_requests_with", to_json(effect.shares_requests_with)},
        {"refused_before", to_json(effect.refused_before)},
        {"refused_after", to_json(effect.refused_after)}};
}

json::value to_json(const messages::change& change)
{
    json::object out{
        {"change_id", change.change_id()},
        {"based_on", change.based_on()},
        {"author", change.author()}};
    if (change.has_declare())
    {
        out["declare"] = to_json(change.declare());
    }
    else if (change.has_set_target())
    {
        out["set_target"] = json::object{
            {"class_name", change.set_target().class_name()},
            {"target", to_json(change.set_target().target())}};
    }
    else
    {
        out["remove_class"] = change.remove_class();
    }
    return out;
}

} // namespace nutmegusher::ctl
