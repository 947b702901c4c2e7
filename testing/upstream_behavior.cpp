#include "testing/upstream_behavior.hpp"

#include <boost/json.hpp>

#include <functional>
#include <map>

namespace nutmegusher::test_support
{

namespace json = boost::json;

namespace
{

using setter = std::function<void(upstream_behavior&, const json::value&)>;

template <class Value>
setter set(Value upstream_behavior::*member)
{
    return [member](upstream_behavior& behavior, const json::value& value)
    {
        behavior.*member = json::value_to<Value>(value);
    };
}

void set_sub_calls(upstream_behavior& behavior, const json::value& value)
{
    behavior.sub_calls.clear();
    for (const auto& element : value.as_array())
    {
        const auto& object = element.as_object();
        sub_call call;
        call.target = json::value_to<std::string>(object.at("target"));
        if (const auto* method = object.if_contains("method"))
        {
            call.method = json::value_to<std::string>(*method);
        }
        if (const auto* count = object.if_contains("count"))
        {
            call.count = json::value_to<std::uint32_t>(*count);
        }
        behavior.sub_calls.push_back(std::move(call));
    }
}

const std::map<std::string_view, setter>& setters()
{
    using b = upstream_behavior;
    static const std::map<std::string_view, setter> table{
        {"slots", set(&b::slots)},
        {"service_ms", set(&b::service_ms)},
        {"exponential", set(&b::exponential)},
        {"slow_factor", set(&b::slow_factor)},
        {"frozen", set(&b::frozen)},
        {"state", set(&b::state)},
        {"cold_ms", set(&b::cold_ms)},
        {"cold_factor", set(&b::cold_factor)},
        {"shed_above", set(&b::shed_above)},
        {"shed_says_not_run", set(&b::shed_says_not_run)},
        {"load_lag_ms", set(&b::load_lag_ms)},
        {"load_claims_busy", set(&b::load_claims_busy)},
        {"error_share", set(&b::error_share)},
        {"cut_share", set(&b::cut_share)},
        {"late_ms", set(&b::late_ms)},
        {"answer_bytes", set(&b::answer_bytes)},
        {"sub_calls", set_sub_calls},
        {"sub_call_timeout_ms", set(&b::sub_call_timeout_ms)}};
    return table;
}

} // namespace

outcome<upstream_behavior, behavior_problem>
merge_behavior(const upstream_behavior& base, std::string_view text)
{
    boost::system::error_code error;
    const auto value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
    {
        return behavior_problem::not_an_object;
    }
    upstream_behavior merged = base;
    // Only a change that names `cold_ms` begins a cold start.
    merged.cold_ms = 0;
    for (const auto& member : value.get_object())
    {
        const auto found =
            setters().find({member.key().data(), member.key().size()});
        if (found == setters().end())
        {
            return behavior_problem::unknown_member;
        }
        try
        {
            found->second(merged, member.value());
        }
        catch (const std::exception&)
        {
            return behavior_problem::wrong_type;
        }
    }
    return merged;
}

} // namespace nutmegusher::test_support
