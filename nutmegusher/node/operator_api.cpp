#include "nutmegusher/node/operator_api.hpp"

#include "nutmegusher/node/json_messages.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>

namespace nutmegusher::node
{

namespace
{

constexpr std::size_t piece_bytes = 16384;
constexpr std::size_t most_body_bytes = 1024 * 1024;
// For one change: a new leader is elected within it.
constexpr duration change_limit = std::chrono::seconds(4);
constexpr duration change_pause = std::chrono::milliseconds(50);
constexpr duration outcome_limit = std::chrono::seconds(2);

struct operator_answer
{
    unsigned status = 200;
    json::value body;
};

operator_answer error_answer(unsigned status, std::string_view problem)
{
    return {
        status, json::object{{"error", json::object{{"problem", problem}}}}};
}

asio::awaitable<std::optional<std::string>> read_all(caller_exchange& exchange)
{
    std::string text;
    std::array<std::byte, piece_bytes> piece;
    while (text.size() <= most_body_bytes)
    {
        const auto got = co_await exchange.read_some(piece);
        if (!got)
        {
            co_return std::nullopt;
        }
        if (*got == 0)
        {
            co_return text;
        }
        text.append(reinterpret_cast<const char*>(piece.data()), *got);
    }
    co_return std::nullopt;
}

// One try at each control host, until one judges the change.
asio::awaitable<messages::change_result>
propose_change(worker& here, const messages::change& change)
{
    const auto body = change.SerializeAsString();
    const auto until = host_clock().now() + change_limit;
    asio::steady_timer pause(co_await asio::this_coro::executor);
    messages::change_result result;
    while (host_clock().now() < until)
    {
        for (const auto& host : here.shared.claims.control_hosts())
        {
            const auto left = until - host_clock().now();
            const auto answer = co_await wire::call(
                here.peers, host, "/control/propose", body, left);
            if (answer && result.ParseFromString(*answer) &&
                result.verdict() != messages::change_unavailable &&
                result.verdict() != messages::change_verdict_none)
            {
                co_return result;
            }
        }
        pause.expires_after(change_pause);
        co_await pause.async_wait(asio::use_awaitable);
    }
    result.Clear();
    result.set_verdict(messages::change_unavailable);
    co_return result;
}

unsigned status_of(messages::change_verdict verdict)
{
    switch (verdict)
    {
    case messages::change_accepted:
        return 200;
    case messages::change_conflict:
    case messages::change_id_reused:
        return 409;
    case messages::change_invalid:
        return 422;
    default:
        return 503;
    }
}

asio::awaitable<operator_answer> answer_change(worker& here, std::string body)
{
    json_error wrong;
    messages::change change;
    const bool parsed = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_ASSIGN(change, parse_change(body));
            return true;
        },
        [&](const json_error& error)
        {
            wrong = error;
            return false;
        },
        []
        {
            return false;
        });
    if (!parsed)
    {
        co_return operator_answer{422, to_json(wrong)};
    }
    const auto result = co_await propose_change(here, change);
    co_return operator_answer{status_of(result.verdict()), to_json(result)};
}

// "a=1&b=2" behind '?', with %XX decoded.
std::map<std::string, std::string> parse_query(std::string_view path)
{
    std::map<std::string, std::string> values;
    const auto start = path.find('?');
    std::string_view rest =
        start == std::string_view::npos ? "" : path.substr(start + 1);
    const auto decoded = [](std::string_view text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            if (text[i] == '%' && i + 2 < text.size())
            {
                const std::string hex(text.substr(i + 1, 2));
                out += static_cast<char>(std::strtol(hex.c_str(), nullptr, 16));
                i += 2;
            }
            else
            {
                out += text[i];
            }
        }
        return out;
    };
    while (!rest.empty())
    {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
        {
            values[decoded(pair.substr(0, equals))] =
                decoded(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return values;
}

std::string_view state_text(messages::claim_verdict verdict)
{
    switch (verdict)
    {
    case messages::claim_in_progress:
        return "unknown";
    case messages::claim_already_finished:
        return "completed";
    default:
        return "not-run";
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

// Asks one control host after the other, until one has read the key's log.
asio::awaitable<std::optional<messages::claim_result>>
find_claim(worker& here, const messages::claim_key& key)
{
    const auto body = key.SerializeAsString();
    const auto until = host_clock().now() + outcome_limit;
    for (const auto& host : here.shared.claims.control_hosts())
    {
        const auto left = until - host_clock().now();
        const auto answer = co_await wire::call(
            here.peers, host, "/control/find-claim", body, left);
        messages::claim_result result;
        if (answer && result.ParseFromString(*answer) &&
            result.verdict() != messages::claim_unavailable)
        {
            co_return result;
        }
    }
    co_return std::nullopt;
}

asio::awaitable<operator_answer>
answer_outcome(worker& here, std::string_view path)
{
    auto query = parse_query(path);
    messages::claim_key key;
    key.set_customer(query["customer"]);
    key.set_class_name(query["class"]);
    key.set_idempotency_key(query["key"]);
    if (key.customer().empty() || key.class_name().empty() ||
        key.idempotency_key().empty())
    {
        co_return error_answer(422, "customer-class-and-key-are-needed");
    }
    const auto result = co_await find_claim(here, key);
    if (!result)
    {
        co_return error_answer(503, "claims-unavailable");
    }
    json::object object{{"outcome", state_text(result->verdict())}};
    if (result->verdict() == messages::claim_already_finished)
    {
        const auto& answer = result->answer();
        object["status"] = answer.status();
        object["body_bytes"] = answer.body_size();
        if (is_printable(answer.body()))
        {
            object["body"] = answer.body();
        }
    }
    co_return operator_answer{200, std::move(object)};
}

json::value dump(worker& here, const operator_sources& sources)
{
    const auto& shared = here.shared;
    const auto admission = shared.admission.state();
    const auto lane = [](const lane_state& state)
    {
        return json::object{
            {"limit", state.limit},
            {"in_flight", state.in_flight},
            {"waiting", state.waiting}};
    };
    json::object object{
        {"host", shared.configured.host.id.str()},
        {"data_center", shared.configured.host.data_center.str()},
        {"region", shared.configured.host.region.str()},
        {"incarnation", shared.run.value()},
        {"stopping", shared.stopping.load()},
        {"configuration", to_json(shared.configuration.current()->message())},
        {"admission",
         json::object{
             {"short", lane(admission.short_lane)},
             {"bulk", lane(admission.bulk_lane)},
             {"leaving", admission.leaving},
             {"level", format_level(shared.admission.level())}}},
        {"requests_running", shared.ledger.size()},
        {"routes", shared.routes.dump()},
        {"classes", shared.measured.dump()},
        {"sync", sources.sync()}};
    if (const auto own = shared.upstream.record())
    {
        object["upstream"] = json::object{
            {"service", own->service()},
            {"state", static_cast<int>(own->state())},
            {"version", own->version()}};
    }
    if (sources.control.state)
    {
        object["control"] = sources.control.state();
    }
    return object;
}

operator_answer answer_if(const std::function<json::value()>& source)
{
    return source ? operator_answer{200, source()}
                  : error_answer(404, "not-a-control-host");
}

asio::awaitable<operator_answer> answer_post(
    worker& here,
    const operator_sources& sources,
    std::string_view path,
    std::string body)
{
    if (path == "/v1/changes")
    {
        co_return co_await answer_change(here, std::move(body));
    }
    if (path == "/v1/drain")
    {
        sources.drain();
        co_return operator_answer{202, json::object{{"stopping", true}}};
    }
    if (path == "/v1/control/replace")
    {
        if (!sources.control.replace)
        {
            co_return error_answer(404, "not-a-control-host");
        }
        auto [status, value] =
            co_await sources.control.replace(std::move(body));
        co_return operator_answer{status, std::move(value)};
    }
    co_return error_answer(404, "no-such-resource");
}

asio::awaitable<operator_answer> answer_get(
    worker& here, const operator_sources& sources, std::string_view target)
{
    const auto path = target.substr(0, target.find('?'));
    if (path == "/v1/configuration")
    {
        const auto view = here.shared.configuration.current();
        co_return operator_answer{200, to_json(view->message())};
    }
    if (path == "/v1/upstreams")
    {
        co_return operator_answer{200, here.shared.routes.dump()};
    }
    if (path == "/v1/dump")
    {
        co_return operator_answer{200, dump(here, sources)};
    }
    if (path == "/v1/history")
    {
        co_return answer_if(sources.control.history);
    }
    if (path == "/v1/rollout")
    {
        co_return answer_if(sources.control.rollout);
    }
    if (path == "/v1/control")
    {
        co_return answer_if(sources.control.state);
    }
    if (path == "/v1/outcome")
    {
        co_return co_await answer_outcome(here, target);
    }
    co_return error_answer(404, "no-such-resource");
}

} // namespace

asio::awaitable<void> serve_operator(
    worker& here, const operator_sources& sources, caller_exchange& exchange)
{
    const auto& head = exchange.head();
    auto body = co_await read_all(exchange);
    if (!body)
    {
        co_return;
    }
    if (head.method == "GET" && head.path == "/metrics")
    {
        const auto text = here.shared.measured.exposition();
        wire::response_head plain{
            200, {{"content-type", "text/plain; version=0.0.4"}}};
        co_await exchange.answer(std::move(plain), text);
        co_return;
    }
    auto answer = error_answer(405, "method-not-allowed");
    if (head.method == "POST")
    {
        answer =
            co_await answer_post(here, sources, head.path, *std::move(body));
    }
    else if (head.method == "GET")
    {
        answer = co_await answer_get(here, sources, head.path);
    }
    const auto text = json::serialize(answer.body) + "\n";
    wire::response_head typed{
        answer.status, {{"content-type", "application/json"}}};
    co_await exchange.answer(std::move(typed), text);
}

} // namespace nutmegusher::node
