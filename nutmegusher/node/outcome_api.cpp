#include "nutmegusher/node/outcome_api.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace nutmegusher::node
{

namespace
{

constexpr duration outcome_timeout = std::chrono::seconds(2);

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_invalid = 422;
constexpr unsigned status_unavailable = 503;

outcome_answer error_answer(unsigned status, std::string_view problem)
{
    return {
        status, json::object{{"error", json::object{{"problem", problem}}}}};
}

std::string percent_decoded(std::string_view text)
{
    constexpr int base = 16;
    constexpr std::size_t digits = 2;
    std::string out;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        if (text[index] == '%' && index + digits < text.size())
        {
            const std::string hex(text.substr(index + 1, digits));
            out += static_cast<char>(std::strtol(hex.c_str(), nullptr, base));
            index += digits;
            continue;
        }
        out += text[index];
    }
    return out;
}

// Parses the query "a=1&b=2" that follows '?' in `path`.
std::map<std::string, std::string> parse_query(std::string_view path)
{
    std::map<std::string, std::string> values;
    const auto start = path.find('?');
    std::string_view rest =
        start == std::string_view::npos ? "" : path.substr(start + 1);
    while (!rest.empty())
    {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
        {
            values[percent_decoded(pair.substr(0, equals))] =
                percent_decoded(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return values;
}

// A missing record doesn't prove that the call didn't run: an attempt may still
// be in flight.
std::string_view state_text(messages::claim_verdict verdict)
{
    switch (verdict)
    {
    case messages::claim_in_progress:
        return "unknown";
    case messages::claim_already_finished:
        return "completed";
    default:
        return "no-record";
    }
}

bool is_printable(std::string_view text)
{
    return std::all_of(
        text.begin(),
        text.end(),
        [](char c)
        {
            return (c >= ' ' && c <= '~') || c == '\n';
        });
}

// Asks the control hosts one after the other until one has read the key's log.
asio::awaitable<std::optional<messages::claim_result>>
find_claim(worker& owner, const messages::claim_key& key)
{
    const auto body = key.SerializeAsString();
    const auto until = host_clock().now() + outcome_timeout;
    for (const auto& host : owner.shared.claims.control_hosts())
    {
        const auto remaining = until - host_clock().now();
        const auto answer = co_await wire::call(
            owner.peers, host, "/control/find-claim", body, remaining);
        messages::claim_result result;
        if (answer && result.ParseFromString(*answer) &&
            result.verdict() != messages::claim_unavailable)
        {
            co_return result;
        }
    }
    co_return std::nullopt;
}

json::object holder_json(const messages::claim_result& result)
{
    return {
        {"entry_host", result.holder().entry_host()},
        {"entry_incarnation", result.holder().entry_incarnation()},
        {"sequence", result.holder().sequence()},
        {"executor_host", result.executor().host()},
        {"executor_incarnation", result.executor().incarnation()},
        {"execution", result.executor().execution()}};
}

leaf::result<std::string>
read_text(const json::object& from, std::string_view name)
{
    const auto* const found = from.if_contains(name);
    if (found == nullptr)
    {
        return leaf::new_error(
            json_error{json_problem::missing_field, std::string(name)});
    }
    const auto* const text = found->if_string();
    if (text == nullptr)
    {
        return leaf::new_error(
            json_error{json_problem::wrong_type, std::string(name)});
    }
    return std::string(*text);
}

leaf::result<std::uint64_t>
read_number(const json::object& from, std::string_view name)
{
    const auto* const found = from.if_contains(name);
    if (found == nullptr)
    {
        return leaf::new_error(
            json_error{json_problem::missing_field, std::string(name)});
    }
    json::error_code problem;
    const auto value = found->to_number<std::uint64_t>(problem);
    if (problem)
    {
        return leaf::new_error(
            json_error{json_problem::wrong_type, std::string(name)});
    }
    return value;
}

leaf::result<void>
read_holder(const json::object& from, messages::claim_command& to)
{
    auto& by = *to.mutable_by();
    BOOST_LEAF_ASSIGN(*by.mutable_entry_host(), read_text(from, "entry_host"));
    BOOST_LEAF_AUTO(entry, read_number(from, "entry_incarnation"));
    BOOST_LEAF_AUTO(sequence, read_number(from, "sequence"));
    by.set_entry_incarnation(entry);
    by.set_sequence(sequence);
    auto& executor = *to.mutable_executor();
    BOOST_LEAF_ASSIGN(
        *executor.mutable_host(), read_text(from, "executor_host"));
    BOOST_LEAF_AUTO(incarnation, read_number(from, "executor_incarnation"));
    BOOST_LEAF_AUTO(execution, read_number(from, "execution"));
    executor.set_incarnation(incarnation);
    executor.set_execution(execution);
    return {};
}

// Reads either "status", the HTTP status of the outcome, or "never_ran": true,
// which frees the key. Exactly one must be present.
leaf::result<void>
read_resolution(const json::object& from, messages::claim_command& to)
{
    constexpr std::uint64_t first_status = 200;
    constexpr std::uint64_t last_status = 599;
    auto& resolve = *to.mutable_resolve();
    const auto* const never_ran = from.if_contains("never_ran");
    if (never_ran != nullptr && *never_ran == json::value(true) &&
        !from.contains("status"))
    {
        return {};
    }
    if (never_ran != nullptr)
    {
        return leaf::new_error(
            json_error{json_problem::out_of_range, "never_ran"});
    }
    BOOST_LEAF_AUTO(status, read_number(from, "status"));
    if (status < first_status || status > last_status)
    {
        return leaf::new_error(
            json_error{json_problem::out_of_range, "status"});
    }
    resolve.mutable_answer()->set_status(static_cast<std::uint32_t>(status));
    resolve.mutable_answer()->set_body_dropped(true);
    return {};
}

} // namespace

json::value outcome_json(const messages::claim_result& result)
{
    json::object object{{"outcome", state_text(result.verdict())}};
    if (result.verdict() == messages::claim_already_finished)
    {
        const auto& answer = result.answer();
        object["status"] = answer.status();
        object["body_bytes"] = answer.body_size();
        if (is_printable(answer.body()))
        {
            object["body"] = answer.body();
        }
    }
    else if (result.verdict() == messages::claim_in_progress)
    {
        object["holder"] = holder_json(result);
    }
    return object;
}

leaf::result<messages::claim_command> parse_settlement(std::string_view text)
{
    json::error_code failed;
    const auto value =
        json::parse(json::string_view(text.data(), text.size()), failed);
    if (failed)
    {
        return leaf::new_error(json_error{json_problem::not_json, ""});
    }
    const auto* const object = value.if_object();
    if (object == nullptr)
    {
        return leaf::new_error(json_error{json_problem::not_an_object, ""});
    }
    messages::claim_command command;
    auto& key = *command.mutable_key();
    BOOST_LEAF_ASSIGN(*key.mutable_customer(), read_text(*object, "customer"));
    BOOST_LEAF_ASSIGN(*key.mutable_class_name(), read_text(*object, "class"));
    BOOST_LEAF_ASSIGN(
        *key.mutable_idempotency_key(), read_text(*object, "key"));
    const auto* const holder = object->if_contains("holder");
    if (holder == nullptr || !holder->is_object())
    {
        return leaf::new_error(
            json_error{json_problem::missing_field, "holder"});
    }
    BOOST_LEAF_CHECK(read_holder(holder->get_object(), command));
    BOOST_LEAF_CHECK(read_resolution(*object, command));
    return command;
}

asio::awaitable<outcome_answer>
look_up_outcome(worker& owner, std::string_view target)
{
    auto query = parse_query(target);
    messages::claim_key key;
    key.set_customer(query["customer"]);
    key.set_class_name(query["class"]);
    key.set_idempotency_key(query["key"]);
    if (key.customer().empty() || key.class_name().empty() ||
        key.idempotency_key().empty())
    {
        co_return error_answer(
            status_invalid, "customer-class-and-key-are-needed");
    }
    const auto result = co_await find_claim(owner, key);
    if (!result)
    {
        co_return error_answer(status_unavailable, "claims-unavailable");
    }
    co_return outcome_answer(status_ok, outcome_json(*result));
}

asio::awaitable<outcome_answer> settle_outcome(worker& owner, std::string body)
{
    json_error problem;
    messages::claim_command command;
    const bool parsed = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_ASSIGN(command, parse_settlement(body));
            return true;
        },
        [&](const json_error& error)
        {
            problem = error;
            return false;
        },
        []
        {
            return false;
        });
    if (!parsed)
    {
        co_return outcome_answer(status_invalid, to_json(problem));
    }
    command.set_proposed_at_ms(wall_milliseconds());
    const auto result = co_await propose_claim(
        owner.peers, owner.shared.claims, std::move(command), outcome_timeout);
    if (!result)
    {
        co_return error_answer(status_unavailable, "claims-unavailable");
    }
    if (result->verdict() != messages::claim_granted)
    {
        co_return error_answer(status_conflict, "not-the-holder");
    }
    co_return outcome_answer(status_ok, json::object{{"settled", true}});
}

} // namespace nutmegusher::node
