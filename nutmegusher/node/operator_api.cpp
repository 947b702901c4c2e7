#include "nutmegusher/node/operator_api.hpp"

#include "nutmegusher/node/body_reader.hpp"
#include "nutmegusher/node/json_messages.hpp"
#include "nutmegusher/node/outcome_api.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <optional>
#include <utility>

namespace nutmegusher::node
{

namespace
{

constexpr std::size_t max_body_bytes = 1024 * 1024;
// Time limit for proposing one change; long enough to elect a new leader.
constexpr duration change_timeout = std::chrono::seconds(4);
constexpr duration retry_delay = std::chrono::milliseconds(50);

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

// Answers a request whose body couldn't be read.
asio::awaitable<void>
answer_unread(caller_exchange& exchange, caller_failure failure)
{
    auto head = to_unread_head(failure);
    if (!head)
    {
        co_return;
    }
    head->fields.push_back({"content-type", "application/json"});
    const auto answer = error_answer(head->status, to_string(failure));
    const auto text = json::serialize(answer.body) + "\n";
    co_await exchange.answer(*std::move(head), text);
}

// Tries each control host in turn, repeatedly, until one returns a verdict on
// the change or the timeout expires.
asio::awaitable<messages::change_result>
propose_change(worker& current_worker, const messages::change& change)
{
    const auto body = change.SerializeAsString();
    const auto deadline = host_clock().now() + change_timeout;
    asio::steady_timer retry_timer(co_await asio::this_coro::executor);
    messages::change_result result;
    while (host_clock().now() < deadline)
    {
        for (const auto& host : current_worker.shared.claims.control_hosts())
        {
            const auto remaining = deadline - host_clock().now();
            const auto answer = co_await wire::call(
                current_worker.peers,
                host,
                "/control/propose",
                body,
                remaining);
            if (answer && result.ParseFromString(*answer) &&
                result.verdict() != messages::change_unavailable &&
                result.verdict() != messages::change_verdict_none)
            {
                co_return result;
            }
        }
        retry_timer.expires_after(retry_delay);
        co_await retry_timer.async_wait(asio::use_awaitable);
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

asio::awaitable<operator_answer>
answer_change(worker& current_worker, std::string body)
{
    json_error parse_error;
    messages::change change;
    const bool parsed = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_ASSIGN(change, parse_change(body));
            return true;
        },
        [&](const json_error& error)
        {
            parse_error = error;
            return false;
        },
        []
        {
            return false;
        });
    if (!parsed)
    {
        co_return operator_answer{422, to_json(parse_error)};
    }
    const auto result = co_await propose_change(current_worker, change);
    co_return operator_answer{status_of(result.verdict()), to_json(result)};
}

json::value
quarantined(const worker& current_worker, const operator_callbacks& callbacks)
{
    const auto now = host_clock().now();
    const auto records = callbacks.control.quarantined
                             ? callbacks.control.quarantined()
                             : current_worker.shared.crashes.quarantined();
    json::array all;
    for (const auto& each : records)
    {
        const std::chrono::duration<double> age =
            now - each.ends.back().crashed_at;
        all.push_back(json::object{
            {"digest", digest_text(each.digest)},
            {"service", each.service},
            {"ends", each.ends.size()},
            {"last_end_s_ago", age.count()}});
    }
    return all;
}

json::value dump(worker& current_worker, const operator_callbacks& callbacks)
{
    const auto& shared = current_worker.shared;
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
        {"classes", shared.request_metrics.dump()},
        {"quarantine", quarantined(current_worker, callbacks)},
        {"crash_records", shared.crashes.size()},
        {"quotas", shared.quotas.dump()},
        {"decisions", shared.decisions.dump()},
        {"request_memory", shared.request_memory.dump()},
        {"control_memory", shared.control_memory.dump()},
        {"sync", callbacks.sync()}};
    if (const auto own = shared.upstream.record())
    {
        object["upstream"] = json::object{
            {"service", own->service()},
            {"state", static_cast<int>(own->state())},
            {"version", own->version()}};
    }
    if (callbacks.extension)
    {
        object["extension"] = callbacks.extension();
    }
    if (callbacks.control.state)
    {
        object["control"] = callbacks.control.state();
    }
    return object;
}

operator_answer release(
    worker& current_worker,
    const operator_callbacks& callbacks,
    const std::string& body)
{
    boost::system::error_code failed;
    const auto read = json::parse(body, failed);
    const auto* const object = read.if_object();
    const auto* const text =
        object == nullptr ? nullptr : object->if_contains("digest");
    const auto digest = text != nullptr && text->is_string()
                            ? parse_digest(text->as_string())
                            : std::nullopt;
    if (failed || !digest)
    {
        return error_answer(422, "bad-digest");
    }
    const bool known = callbacks.control.release
                           ? callbacks.control.release(*digest)
                           : current_worker.shared.crashes.release(*digest);
    return known ? operator_answer{200, json::object{{"released", true}}}
                 : error_answer(404, "no-such-digest");
}

operator_answer answer_if(const std::function<json::value()>& source)
{
    return source ? operator_answer{200, source()}
                  : error_answer(404, "not-a-control-host");
}

asio::awaitable<operator_answer> answer_post(
    worker& current_worker,
    const operator_callbacks& callbacks,
    std::string_view path,
    std::string body)
{
    if (path == "/v1/changes")
    {
        co_return co_await answer_change(current_worker, std::move(body));
    }
    if (path == "/v1/outcome")
    {
        auto [status, value] =
            co_await settle_outcome(current_worker, std::move(body));
        co_return operator_answer{status, std::move(value)};
    }
    if (path == "/v1/quarantine/release")
    {
        co_return release(current_worker, callbacks, body);
    }
    if (path == "/v1/drain")
    {
        callbacks.drain();
        co_return operator_answer{202, json::object{{"stopping", true}}};
    }
    if (path == "/v1/control/replace")
    {
        if (!callbacks.control.replace)
        {
            co_return error_answer(404, "not-a-control-host");
        }
        auto [status, value] =
            co_await callbacks.control.replace(std::move(body));
        co_return operator_answer{status, std::move(value)};
    }
    co_return error_answer(404, "no-such-resource");
}

asio::awaitable<operator_answer> answer_get(
    worker& current_worker,
    const operator_callbacks& callbacks,
    std::string_view target)
{
    const auto path = target.substr(0, target.find('?'));
    if (path == "/v1/configuration")
    {
        const auto view = current_worker.shared.configuration.current();
        co_return operator_answer{200, to_json(view->message())};
    }
    if (path == "/v1/upstreams")
    {
        co_return operator_answer{200, current_worker.shared.routes.dump()};
    }
    if (path == "/v1/dump")
    {
        co_return operator_answer{200, dump(current_worker, callbacks)};
    }
    if (path == "/v1/quarantine")
    {
        co_return operator_answer{200, quarantined(current_worker, callbacks)};
    }
    if (path == "/v1/history")
    {
        co_return answer_if(callbacks.control.history);
    }
    if (path == "/v1/rollout")
    {
        co_return answer_if(callbacks.control.rollout);
    }
    if (path == "/v1/teams")
    {
        co_return answer_if(callbacks.control.quotas);
    }
    if (path == "/v1/control")
    {
        co_return answer_if(callbacks.control.state);
    }
    if (path == "/v1/outcome")
    {
        auto [status, value] = co_await look_up_outcome(current_worker, target);
        co_return operator_answer{status, std::move(value)};
    }
    co_return error_answer(404, "no-such-resource");
}

bool is_metrics_request(const wire::request_head& head)
{
    return head.method == "GET" && head.path == "/metrics";
}

asio::awaitable<void>
answer_metrics(worker& current_worker, caller_exchange& exchange)
{
    const auto& shared = current_worker.shared;
    const auto text =
        shared.request_metrics.exposition() + shared.decisions.exposition() +
        shared.request_memory.exposition() + shared.control_memory.exposition();
    wire::response_head text_head{
        200, {{"content-type", "text/plain; version=0.0.4"}}};
    co_await exchange.answer(std::move(text_head), text);
}

} // namespace

asio::awaitable<void>
serve_metrics(worker& current_worker, caller_exchange& exchange)
{
    if (is_metrics_request(exchange.head()))
    {
        co_await answer_metrics(current_worker, exchange);
        co_return;
    }
    co_await exchange.answer({404, {}}, "");
}

asio::awaitable<void> serve_operator(
    worker& current_worker,
    const operator_callbacks& callbacks,
    caller_exchange& exchange)
{
    const auto& head = exchange.head();
    held_memory memory(current_worker.shared.control_memory, exchange);
    auto body = co_await read_text_body(exchange, max_body_bytes, memory);
    if (!body)
    {
        co_await answer_unread(exchange, body.error());
        co_return;
    }
    if (is_metrics_request(head))
    {
        co_await answer_metrics(current_worker, exchange);
        co_return;
    }
    auto answer = error_answer(405, "method-not-allowed");
    if (head.method == "POST")
    {
        answer = co_await answer_post(
            current_worker, callbacks, head.path, *std::move(body));
    }
    else if (head.method == "GET")
    {
        answer = co_await answer_get(current_worker, callbacks, head.path);
    }
    const auto text = json::serialize(answer.body) + "\n";
    wire::response_head json_head{
        answer.status, {{"content-type", "application/json"}}};
    co_await exchange.answer(std::move(json_head), text);
}

} // namespace nutmegusher::node
