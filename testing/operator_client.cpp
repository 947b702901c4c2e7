#include "testing/operator_client.hpp"

#include "testing/process.hpp"

#include <boost/json.hpp>

namespace nutmegusher::test_support
{

namespace json = boost::json;

namespace
{

change_outcome to_outcome(unsigned status)
{
    constexpr unsigned ok = 200;
    constexpr unsigned conflict = 409;
    constexpr unsigned unavailable = 503;
    switch (status)
    {
    case ok:
        return change_outcome::accepted;
    case conflict:
        return change_outcome::conflict;
    case unavailable:
        return change_outcome::unavailable;
    default:
        return change_outcome::invalid;
    }
}

std::uint64_t number_in(const json::object& object, std::string_view name)
{
    const auto* found = object.if_contains(name);
    return found == nullptr ? 0 : found->to_number<std::uint64_t>();
}

} // namespace

std::string declaration(
    std::string_view change_id,
    std::uint64_t based_on,
    const declared_class& declared)
{
    const json::object target{
        {"latency_ms", declared.latency_ms},
        {"completion_ppm", declared.completion_ppm}};
    const json::object declare{
        {"name", declared.name},
        {"service", declared.service},
        {"method", declared.method},
        {"path_prefix", declared.path_prefix},
        {"rank", declared.rank},
        {"repeatable", declared.repeatable},
        {"bulk", declared.bulk},
        {"target", target}};
    const json::object change{
        {"change_id", change_id},
        {"based_on", based_on},
        {"author", "test"},
        {"declare", declare}};
    return json::serialize(change);
}

std::string target_change(
    std::string_view change_id,
    std::uint64_t based_on,
    std::string_view class_name,
    std::uint32_t latency_ms)
{
    constexpr std::uint32_t completion_ppm = 999'000;
    const json::object target{
        {"latency_ms", latency_ms}, {"completion_ppm", completion_ppm}};
    const json::object set{{"class_name", class_name}, {"target", target}};
    const json::object change{
        {"change_id", change_id},
        {"based_on", based_on},
        {"author", "test"},
        {"set_target", set}};
    return json::serialize(change);
}

change_answer send_change(
    const std::string& operators_address,
    const std::string& change,
    std::chrono::milliseconds timeout)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/changes";
    request.headers = {{"content-type", "application/json"}};
    request.body = change;
    const auto answer = send_request(operators_address, request, timeout);
    if (!answer)
    {
        return {};
    }
    change_answer result;
    result.outcome = to_outcome(answer->status);
    boost::system::error_code error;
    const auto body = json::parse(answer->body, error);
    if (!error && body.is_object())
    {
        result.revision = number_in(body.get_object(), "revision");
    }
    return result;
}

change_answer settle_change(
    const std::vector<std::string>& operators_addresses,
    const std::string& change,
    std::chrono::milliseconds limit)
{
    change_answer answer;
    std::size_t next = 0;
    const auto settled = [&]
    {
        answer = send_change(
            operators_addresses[next % operators_addresses.size()], change);
        ++next;
        return answer.outcome != change_outcome::no_answer &&
               answer.outcome != change_outcome::unavailable;
    };
    if (!wait_until(settled, limit))
    {
        answer.outcome = change_outcome::no_answer;
    }
    return answer;
}

std::optional<configuration_in_force> configuration_of(
    const std::string& operators_address, std::chrono::milliseconds timeout)
{
    http_request request;
    request.target = "/v1/configuration";
    const auto answer = send_request(operators_address, request, timeout);
    if (!answer)
    {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto body = json::parse(answer->body, error);
    if (error || !body.is_object())
    {
        return std::nullopt;
    }
    configuration_in_force result;
    const auto& object = body.get_object();
    result.revision = number_in(object, "revision");
    if (const auto* classes = object.if_contains("classes"))
    {
        for (const auto& item : classes->as_array())
        {
            const auto& entry = item.as_object();
            const auto name = json::value_to<std::string>(entry.at("name"));
            const auto& target = entry.at("target").as_object();
            result.targets[name] =
                static_cast<std::uint32_t>(number_in(target, "latency_ms"));
        }
    }
    return result;
}

} // namespace nutmegusher::test_support
