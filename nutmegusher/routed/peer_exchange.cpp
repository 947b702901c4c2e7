#include "nutmegusher/routed/peer_exchange.hpp"

#include "nutmegusher/node/given_up_request.hpp"
#include "nutmegusher/node/growing_body.hpp"
#include "nutmegusher/routed/peer_fields.hpp"
#include "nutmegusher/routed/upstream_run.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace nutmegusher::routed
{

namespace
{

using node::call_reason;
using node::refusal;

constexpr std::size_t chunk_bytes = 16384;
// Most bodies of calls and answers fit; a larger array would be allocated with
// the frame of each call.
constexpr std::size_t short_chunk_bytes = 4096;
// Bounds the memory that a peer's call can use; above every body that callers
// may send.
constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;
// Far above a round trip between regions. A host that takes longer to accept is
// slow or down, and the remaining time is enough to try another one.
constexpr duration connect_timeout = std::chrono::milliseconds(250);
constexpr unsigned status_ok = 200;

constexpr std::string_view status_field = "nutmeg-status";
constexpr std::string_view sent_field = "nutmeg-sent";

wire::request_head to_peer_head(const routed_call& call)
{
    wire::request_head head = call.head;
    add_metadata(call.metadata, head.fields);
    return head;
}

std::optional<std::uint64_t> length_in(const wire::response_head& head)
{
    const auto text = wire::find_header(head.fields, "content-length");
    std::uint64_t value = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec !=
            std::errc())
    {
        return std::nullopt;
    }
    return value;
}

// The status of the answer that a peer forwards; empty unless it is that of a
// final answer.
std::optional<unsigned> status_in(const wire::response_head& head)
{
    const auto text = wire::find_header(head.fields, status_field);
    const auto status = node::parse_count(text.value_or(""));
    return status && is_final_status(*status) ? std::optional<unsigned>(*status)
                                              : std::nullopt;
}

// This process has no memory for the call. Entries of earlier releases know no
// reason for that but an overload.
failed_call no_room()
{
    const refusal details{
        call_reason::overload,
        call_outcome::not_run,
        memory_budget::stall_time};
    return {details, false};
}

failed_call not_sent()
{
    const refusal details{
        call_reason::no_upstream, call_outcome::not_run, min_retry_after};
    return {details, false};
}

// The rest of a long answer, read from a stream.
class stream_rest final : public answer_rest
{
public:
    explicit stream_rest(std::unique_ptr<wire::client_stream> stream)
        : stream_(std::move(stream))
    {
    }

    asio::awaitable<std::optional<std::size_t>>
    read_some(std::span<std::byte> into) override
    {
        const auto got = co_await stream_->read_some(into);
        if (!got)
        {
            co_return std::nullopt;
        }
        co_return *got;
    }

private:
    std::unique_ptr<wire::client_stream> stream_;
};

class peer_exchange
{
public:
    peer_exchange(
        node::worker& worker, const routed_call& call, peer_feedback& feedback)
        : worker_(worker)
        , call_(call)
        , feedback_(feedback)
    {
    }

    asio::awaitable<routed_result> run(node::endpoint to)
    {
        const auto kind = call_.metadata.bulk ? wire::traffic::long_transfers
                                              : wire::traffic::short_calls;
        const auto until = std::min(
            call_.metadata.deadline, host_clock().now() + connect_timeout);
        const auto session = co_await worker_.peers.get(to, kind, until);
        co_await wire::interruption_point();
        if (!session)
        {
            feedback_.broken = session.error() != wire::stream_failure::refused;
            note_loss();
            co_return not_sent();
        }
        const bool needs_confirmation =
            !call_.metadata.repeatable || worker_.peers.had_recent_loss();
        if (needs_confirmation && !co_await confirm_reachable(**session))
        {
            co_return not_sent();
        }
        const auto head = to_peer_head(call_);
        auto opened = (*session)->open(head, call_.body.empty());
        if (!opened)
        {
            co_return not_sent();
        }
        feedback_.progress.phase = node::request_phase::running;
        stream_ = *std::move(opened);
        stream_->expire_after(call_.metadata.time_left());
        if (!call_.metadata.bulk)
        {
            stream_->expect_answer_soon(call_.metadata.repeatable);
        }
        co_return co_await exchange();
    }

private:
    // Pattern of failure: hosts lose power together, and each of their many
    // callers notices with the next call that it sends on an existing session.
    // Unrepeatable calls on such sessions were lost without proof that they
    // hadn't run. Repeatable ones each needed a retry, and callers with few
    // calls have few retries.
    asio::awaitable<bool> confirm_reachable(wire::client_session& session)
    {
        const auto proof = co_await session.confirm();
        co_await wire::interruption_point();
        feedback_.silent =
            !proof && proof.error() == wire::stream_failure::silent;
        note_loss();
        co_return proof.has_value();
    }

    void note_loss()
    {
        if (feedback_.silent || feedback_.broken)
        {
            worker_.peers.note_loss();
        }
    }

    asio::awaitable<routed_result> exchange()
    {
        auto rest = call_.body.size();
        for (const auto part : call_.body.parts())
        {
            rest -= part.size();
            const auto bytes = std::as_bytes(std::span(part));
            const auto sent = co_await stream_->write(bytes, rest == 0);
            if (!sent)
            {
                co_return failed(sent.error());
            }
        }
        auto head = co_await stream_->read_head();
        if (!head)
        {
            co_return failed(head.error());
        }
        read_load_report(*head);
        if (const auto refused = node::refusal_of(*head))
        {
            const bool sent =
                wire::find_header(head->fields, sent_field).has_value();
            co_return failed_call{
                *refused, sent, parse_crashed_upstream(head->fields)};
        }
        co_return co_await read_body(*std::move(head));
    }

    void read_load_report(const wire::response_head& head)
    {
        if (auto load_report = parse_load_report(head.fields))
        {
            feedback_.load_report = *std::move(load_report);
        }
    }

    asio::awaitable<routed_result> read_body(wire::response_head head)
    {
        const auto status = status_in(head);
        if (!status)
        {
            co_return failed(wire::stream_failure::protocol);
        }
        routed_answer answer(worker_.shared.request_memory);
        answer.length = length_in(head);
        answer.head.status = *status;
        answer.head.fields = without_own_fields(std::move(head.fields));
        std::array<std::byte, short_chunk_bytes> chunk;
        bool has_room = true;
        while (has_room && answer.body.size() <= max_buffered_answer_bytes)
        {
            const auto got = co_await stream_->read_some(chunk);
            if (!got)
            {
                auto failure = failed(got.error());
                if (failure.details.reason == call_reason::connection_lost)
                {
                    failure.details.reason = call_reason::answer_broken;
                }
                co_return failure;
            }
            if (*got == 0)
            {
                co_return answer;
            }
            has_room = answer.memory.take(*got);
            answer.body.append(
                reinterpret_cast<const char*>(chunk.data()), *got);
        }
        answer.rest = std::make_unique<stream_rest>(std::move(stream_));
        co_return answer;
    }

    [[nodiscard]] failed_call failed(wire::stream_failure failure)
    {
        using enum wire::stream_failure;
        feedback_.silent = failure == silent;
        if (wire::certainly_not_processed(failure))
        {
            const refusal details{
                call_reason::leaving, call_outcome::not_run, min_retry_after};
            return {details, false};
        }
        feedback_.broken = failure != timed_out && failure != cancelled;
        note_loss();
        const auto reason = failure == timed_out   ? call_reason::deadline
                            : failure == cancelled ? call_reason::cancelled
                            : failure == protocol
                                ? call_reason::answer_broken
                                : call_reason::connection_lost;
        const refusal details{reason, call_outcome::unknown, duration::zero()};
        return {details, true};
    }

    node::worker& worker_;
    const routed_call& call_;
    peer_feedback& feedback_;
    std::unique_ptr<wire::client_stream> stream_;
};

// Why a call's body wasn't read.
enum class body_failure : std::uint8_t
{
    unreadable,
    no_room
};

asio::awaitable<outcome<void, body_failure>> read_whole(
    wire::server_stream& stream,
    node::held_memory& memory,
    node::body_blocks& body)
{
    node::growing_body growing(body, memory, max_body_bytes + 1);
    while (!growing.is_full())
    {
        const auto room = growing.room();
        if (room.empty())
        {
            co_return body_failure::no_room;
        }
        const auto got = co_await stream.read_some(room);
        if (!got)
        {
            co_return body_failure::unreadable;
        }
        if (*got == 0)
        {
            co_return outcome<void, body_failure>();
        }
        growing.commit(*got);
    }
    co_return body_failure::unreadable;
}

// Forwards the rest of the answer; a stream that isn't ended cleanly is reset.
asio::awaitable<void> write_rest(wire::server_stream& stream, answer_rest& rest)
{
    std::array<std::byte, chunk_bytes> chunk;
    while (true)
    {
        const auto got = co_await rest.read_some(chunk);
        if (!got)
        {
            co_return;
        }
        const auto bytes = std::span(chunk).first(*got);
        const auto sent = co_await stream.write(bytes, *got == 0);
        if (!sent || *got == 0)
        {
            co_return;
        }
    }
}

asio::awaitable<void> write_answer(
    wire::server_stream& stream,
    routed_answer answer,
    upstream_load_report load_report)
{
    wire::response_head head{status_ok, std::move(answer.head.fields)};
    const auto add = [&head](std::string_view name, std::string value)
    {
        head.fields.push_back({std::string(name), std::move(value)});
    };
    add(status_field, std::to_string(answer.head.status));
    add_load_report(load_report, head.fields);
    if (answer.rest && answer.length)
    {
        add("content-length", std::to_string(*answer.length));
    }
    const bool empty = answer.body.empty() && !answer.rest;
    const auto begun = co_await stream.write_head(std::move(head), empty);
    if (!begun || empty)
    {
        co_return;
    }
    const auto body = std::as_bytes(std::span(answer.body));
    const auto sent = co_await stream.write(body, !answer.rest);
    if (sent && answer.rest)
    {
        co_await write_rest(stream, *answer.rest);
    }
}

asio::awaitable<void> write_failure(
    wire::server_stream& stream,
    failed_call failed,
    upstream_load_report load_report)
{
    auto head = node::to_head(failed.details);
    add_load_report(load_report, head.fields);
    if (failed.sent)
    {
        head.fields.push_back({std::string(sent_field), "yes"});
    }
    if (failed.crashed)
    {
        add_crashed_upstream(*failed.crashed, head.fields);
    }
    co_await stream.write_head(std::move(head), true);
}

} // namespace

asio::awaitable<routed_result> call_peer(
    node::worker& worker,
    node::endpoint to,
    const routed_call& call,
    peer_feedback& feedback)
{
    peer_exchange exchange(worker, call, feedback);
    co_return co_await exchange.run(std::move(to));
}

namespace
{

// Levels of cause `repeats` are left out for classes that make no sub-calls:
// the classes of an upstream share the levels of all services that it calls.
std::vector<shed_level>
levels_of_called_services(routed_state& state, const call_metadata& metadata)
{
    std::vector<shed_level> all;
    for (const auto& called : state.path_levels.called())
    {
        const auto levels = state.path_levels.sub_call_levels(called);
        all.insert(all.end(), levels.begin(), levels.end());
    }
    if (!state.repeats.enabled())
    {
        return all;
    }
    const auto repeats = state.repeats.levels();
    all.insert(all.end(), repeats.begin(), repeats.end());
    if (!state.repeats.depends(metadata.work_class))
    {
        std::erase_if(
            all,
            [](const shed_level& each)
            {
                return each.cause == shed_cause::repeats;
            });
    }
    return all;
}

} // namespace

upstream_load_report
own_load_report(routed_state& state, const call_metadata& metadata)
{
    upstream_load_report load_report;
    const auto queue_state = state.slots.state();
    load_report.load = {
        queue_state.running,
        queue_state.waiting,
        queue_state.slots,
        queue_state.slot_time,
        state.errors.share(metadata.caller_data_center),
        state.reported.pace()};
    if (!metadata.bulk)
    {
        load_report.shed = levels_of_called_services(state, metadata);
    }
    if (const auto own = state.local.current())
    {
        load_report.shed.push_back({own->service, queue_state.shed_level});
    }
    load_report.is_sub_call =
        state.sub_calls.is_counted_sub_call(metadata.work_class);
    return load_report;
}

namespace
{

class_name class_of(const routed_state& state, const routed_call& call)
{
    const auto view = state.process.configuration.current();
    const auto* const route =
        view->routes().find(call.metadata.host, call.head.path);
    return class_name(route == nullptr ? "(none)" : route->name);
}

asio::awaitable<void> run_and_answer(
    node::worker& worker,
    routed_state& state,
    const routed_call& call,
    wire::server_stream& stream,
    run_progress& progress)
{
    auto result = co_await run_on_upstream(worker, state, call, progress);
    auto load_report = own_load_report(state, call.metadata);
    if (!result)
    {
        co_await write_failure(stream, result.error(), std::move(load_report));
        co_return;
    }
    progress.phase = node::request_phase::answering;
    co_await write_answer(stream, *std::move(result), std::move(load_report));
}

// The failure of a call that was interrupted because this process stops.
failed_call given_up(const run_progress& progress)
{
    const auto result =
        progress.may_have_run() ? call_outcome::unknown : call_outcome::not_run;
    return {
        {call_reason::cancelled, result, duration::zero()},
        progress.may_have_run()};
}

void record_given_up(
    const routed_state& state,
    const routed_call& call,
    const run_progress& progress,
    time_point arrived)
{
    const auto name = class_of(state, call);
    node::given_up_request ended;
    ended.side = node::call_side::upstream;
    ended.request = call.metadata.id;
    ended.class_name = name.str();
    ended.phase = progress.phase;
    ended.result =
        progress.may_have_run() ? call_outcome::unknown : call_outcome::not_run;
    ended.arrived = arrived;
    ended.deadline = call.metadata.deadline;
    node::record_given_up(state.process, ended);
}

} // namespace

bool is_routed_call(const wire::request_head& head)
{
    return has_metadata(head.fields);
}

asio::awaitable<void> serve_routed_call(
    node::worker& worker,
    routed_state& state,
    std::shared_ptr<wire::server_stream> stream)
{
    const auto arrived = host_clock().now();
    node::held_memory memory(state.process.request_memory);
    routed_call call;
    auto metadata = parse_metadata(stream->head().fields);
    const auto read = co_await read_whole(*stream, memory, call.body);
    if (metadata && !read && read.error() == body_failure::no_room)
    {
        co_await write_failure(
            *stream, no_room(), own_load_report(state, *metadata));
        co_return;
    }
    if (!metadata || !read)
    {
        wire::response_head head{400, {}};
        co_await stream->write_head(std::move(head), true);
        co_return;
    }
    call.metadata = *std::move(metadata);
    call.head = stream->head();
    call.head.fields = without_own_fields(std::move(call.head.fields));
    run_progress progress;
    auto work = run_and_answer(worker, state, call, *stream, progress);
    if (co_await stream->run_until_cancelled(std::move(work)))
    {
        co_return;
    }
    if (!stream->cancelled())
    {
        record_given_up(state, call, progress, arrived);
        co_await write_failure(
            *stream, given_up(progress), own_load_report(state, call.metadata));
        co_return;
    }
    state.process.request_metrics.cancelled(
        node::call_side::upstream,
        class_of(state, call),
        progress.phase,
        stream->time_since_cancelled());
}

} // namespace nutmegusher::routed
