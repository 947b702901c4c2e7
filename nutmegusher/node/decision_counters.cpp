#include "nutmegusher/node/decision_counters.hpp"

#include <boost/json/object.hpp>

#include <array>
#include <functional>

namespace nutmegusher::node
{

namespace
{

namespace json = boost::json;

constexpr std::string_view prefix = "nutmegusher_";
constexpr std::string_view other_labels = "other";

struct counter_name
{
    std::string_view name;
    std::string_view label;
};

// In the order of `decision_counter`.
constexpr std::array names{
    counter_name{"upstream_reports_rejected", "reason"},
    counter_name{"load_fields_malformed", "service"},
    counter_name{"repeats_allowed", "service"},
    counter_name{"repeats_denied", "service"},
    counter_name{"team_requests_shed", "team"},
    counter_name{"returns_promised", "rank"},
    counter_name{"returns_kept", "rank"},
    counter_name{"returns_not_promised", "rank"},
    counter_name{"connections_ended", "listener"},
    counter_name{"connections_refused", "listener"},
    counter_name{"requests_outlasting_stop", "side"},
    counter_name{"requests_given_up", "side"},
};

const counter_name& name_of(decision_counter counter)
{
    return names.at(static_cast<std::size_t>(counter));
}

std::string escaped(std::string_view value)
{
    std::string text;
    for (const char each : value)
    {
        if (each == '"' || each == '\\')
        {
            text += '\\';
        }
        text += each == '\n' ? ' ' : each;
    }
    return text;
}

} // namespace

void decision_counters::add(
    decision_counter counter, std::string_view label, std::uint64_t number)
{
    const std::scoped_lock lock(mutex_);
    auto& by_label = values_[counter];
    auto found = by_label.find(label);
    if (found == by_label.end())
    {
        const bool has_room = by_label.size() < max_labels;
        found =
            by_label.try_emplace(std::string(has_room ? label : other_labels))
                .first;
    }
    found->second += number;
}

std::string decision_counters::exposition() const
{
    std::string out;
    const std::scoped_lock lock(mutex_);
    for (const auto& [counter, by_label] : values_)
    {
        const auto& name = name_of(counter);
        const auto full_name =
            std::string(prefix) + std::string(name.name) + "_total";
        out += "# TYPE " + full_name + " counter\n";
        for (const auto& [label, value] : by_label)
        {
            out += full_name + "{" + std::string(name.label) + "=\"" +
                   escaped(label) + "\"} " + std::to_string(value) + "\n";
        }
    }
    return out;
}

json::value decision_counters::dump() const
{
    json::object all;
    const std::scoped_lock lock(mutex_);
    for (const auto& [counter, by_label] : values_)
    {
        json::object one;
        for (const auto& [label, value] : by_label)
        {
            one[label] = value;
        }
        all[name_of(counter).name] = std::move(one);
    }
    return all;
}

} // namespace nutmegusher::node
