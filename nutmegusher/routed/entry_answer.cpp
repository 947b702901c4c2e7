#include "nutmegusher/routed/entry_answer.hpp"

#include "nutmegusher/node/given_up_request.hpp"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

namespace nutmegusher::routed::internal
{

namespace
{

using node::call_reason;
using node::refusal;

constexpr std::size_t chunk_bytes = 16384;
constexpr unsigned status_server_error = 500;
// Nothing can be routed without a document of routes; fetching one takes a
// round trip to a control host.
constexpr duration retry_after_no_routes = std::chrono::milliseconds(500);
// After this process has stopped, the caller's next connection reaches another
// one.
constexpr duration retry_after_stopping = std::chrono::milliseconds(100);

void note_end(entry_request& request, bool failed)
{
    if (!request.call.metadata.sub_call)
    {
        return;
    }
    if (failed)
    {
        request.state.errors.on_failed_call();
    }
    request.state.repeats.on_sub_call(failed);
}

// Apart from `forward_answer`, whose frame would hold the array of each answer.
//
// The rest holds a slot of the upstream, so a caller that doesn't read it must
// not do so for longer than its request may take. The memory of the answer's
// beginning stays counted: as much is on its way from the upstream.
asio::awaitable<void> forward_rest(
    entry_request& request, node::held_memory& memory, answer_rest& rest)
{
    request.exchange.limit_writing(request.call.metadata.deadline);
    std::array<std::byte, chunk_bytes> chunk;
    bool open = true;
    while (open)
    {
        const auto got = co_await rest.read_some(chunk);
        if (!got)
        {
            co_await wire::interruption_point();
            log_event(
                event::answer_broken,
                {{"request", request.call.metadata.id},
                 {"route", request.route->name}});
            co_return;
        }
        if (*got == 0)
        {
            co_await request.exchange.end_answer();
            co_return;
        }
        open =
            co_await request.exchange.write_some(std::span(chunk).first(*got));
        memory.note_progress();
    }
    co_await wire::interruption_point();
}

} // namespace

void record_given_up(const entry_request& request)
{
    const auto name = request.metrics_class();
    node::given_up_request ended;
    ended.side = node::call_side::entry;
    ended.request = request.call.metadata.id;
    ended.class_name = name.str();
    ended.phase = request.phase;
    ended.result = request.may_have_reached_upstream() ? call_outcome::unknown
                                                       : call_outcome::not_run;
    ended.sub_call = request.call.metadata.sub_call;
    ended.arrived = request.arrived;
    ended.deadline = request.call.metadata.deadline;
    node::record_given_up(request.worker.shared, ended);
}

void note_cancelled(const entry_request& request)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    const auto now = host_clock().now();
    const auto since = request.exchange.left_at();
    request.state.process.request_metrics.cancelled(
        node::call_side::entry,
        request.metrics_class(),
        request.phase,
        now - since);
    log_event(
        event::request_cancelled,
        {{"request", request.call.metadata.id},
         {"route", request.metrics_class().str()},
         {"phase", node::to_string(request.phase)},
         {"age_ms", milliseconds(now - request.arrived).count()},
         {"ended_ms", milliseconds(now - since).count()}});
}

refusal stopping(const entry_request& request)
{
    return {
        call_reason::leaving,
        request.may_have_run ? call_outcome::unknown : call_outcome::not_run,
        retry_after_stopping};
}

bool ends_before_stop(const entry_request& request)
{
    auto& process = request.state.process;
    const bool ends = process.drain.admits(
        host_clock().now(), request.call.metadata.deadline);
    if (!ends)
    {
        process.decisions.add(
            node::decision_counter::requests_outlasting_stop,
            to_string(node::call_side::entry));
    }
    return ends;
}

refusal outlasting_stop(const entry_request& request)
{
    auto details = stopping(request);
    const auto time_left =
        request.state.process.drain.time_left(host_clock().now());
    details.retry_after = std::max(details.retry_after, time_left);
    return details;
}

refusal no_routes_known()
{
    return {
        call_reason::starting, call_outcome::not_run, retry_after_no_routes};
}

asio::awaitable<void> give_up(entry_request& request, refusal details)
{
    if (request.error_answer)
    {
        co_await forward_answer(request, *std::move(request.error_answer));
        co_return;
    }
    log_event(
        event::request_refused,
        {{"request", request.call.metadata.id},
         {"route", request.metrics_class().str()},
         {"service", request.service.str()},
         {"reason", node::to_string(details.reason)},
         {"outcome", node::to_string(details.result)},
         {"tries", static_cast<std::uint64_t>(request.tried.size())},
         {"last_host", request.last_host ? request.last_host->str() : ""},
         {"version", request.view->routes().version()}});
    co_await refuse(request, details);
}

asio::awaitable<void> refuse(entry_request& request, refusal details)
{
    note_end(request, true);
    request.state.process.request_metrics.refused(
        node::call_side::entry,
        request.metrics_class(),
        details.reason,
        details.result,
        request.sent_tries);
    auto head = request.state.names.refuse(details);
    if (!request.call.metadata.id.empty())
    {
        head.fields.push_back(
            {request.state.names.request_id, request.call.metadata.id});
    }
    co_await request.exchange.answer(std::move(head), "");
}

asio::awaitable<void>
forward_answer(entry_request& request, routed_answer answer)
{
    request.answered_by_upstream = true;
    note_end(request, answer.head.status >= status_server_error);
    if (!request.call.metadata.sub_call)
    {
        const auto elapsed = host_clock().now() - request.arrived;
        request.state.shed.on_answer(
            request.call.metadata.rank, request.route->hash, elapsed);
    }
    request.state.process.request_metrics.completed(
        node::call_side::entry,
        request.metrics_class(),
        host_clock().now() - request.arrived,
        request.sent_tries + 1);
    answer.memory.await_reader(request.exchange);
    if (!answer.rest)
    {
        // The request isn't sent again. With a rest, its own rest may be on its
        // way.
        request.call.body = node::body_blocks();
        request.memory.release();
        request.phase = node::request_phase::answering;
        co_await request.exchange.answer(std::move(answer.head), answer.body);
        co_await wire::interruption_point();
        co_return;
    }
    request.phase = node::request_phase::answering;
    bool open = co_await request.exchange.begin_answer(
        std::move(answer.head), answer.length);
    const auto first_bytes = std::as_bytes(std::span(answer.body));
    open = open && co_await request.exchange.write_some(first_bytes);
    answer.body = std::string();
    if (open)
    {
        answer.memory.note_progress();
        co_await forward_rest(request, answer.memory, *answer.rest);
        co_return;
    }
    co_await wire::interruption_point();
}

} // namespace nutmegusher::routed::internal
