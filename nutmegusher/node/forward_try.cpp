#include "nutmegusher/node/forward_try.hpp"

#include "nutmegusher/node/given_up_request.hpp"

#include <array>
#include <charconv>

namespace nutmegusher::node
{

namespace
{

constexpr std::size_t chunk_bytes = 16384;
// Far above a round trip between regions. A host that takes longer to accept is
// slow or down, and the time left allows a try at another host.
constexpr duration connect_timeout = std::chrono::milliseconds(250);

bool is_internal_or_hop_by_hop(std::string_view name)
{
    return name.starts_with("nutmeg-") || name == field::key ||
           name == "host" || name == "connection" ||
           name == "transfer-encoding" || name == "keep-alive" ||
           name == "expect" || name == "upgrade" || name == "te" ||
           name == "proxy-connection";
}

// The fields sent to the caller: all but those for daemons only and the content
// length, which is passed separately.
wire::headers fields_for_caller(const wire::headers& from)
{
    wire::headers fields;
    for (const auto& item : from)
    {
        const bool internal = item.name == field::retry_tokens ||
                              item.name == field::admission_level;
        if (!internal && item.name != "content-length")
        {
            fields.push_back(item);
        }
    }
    return fields;
}

std::optional<std::uint64_t> content_length(const wire::response_head& head)
{
    const auto text = wire::find_header(head.fields, "content-length");
    if (!text)
    {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto [rest, code] =
        std::from_chars(text->data(), text->data() + text->size(), value);
    return code == std::errc() ? std::optional(value) : std::nullopt;
}

try_failure to_failure(call_reason reason)
{
    switch (reason)
    {
    case call_reason::leaving:
        return try_failure::leaving;
    case call_reason::no_upstream:
        return try_failure::not_connected;
    case call_reason::deadline:
        return try_failure::deadline;
    case call_reason::upstream_failed:
        return try_failure::upstream_failed;
    case call_reason::overload_deeper:
        return try_failure::overload_deeper;
    case call_reason::answer_broken:
        return try_failure::answer_broken;
    case call_reason::connection_lost:
        return try_failure::connection_lost;
    default:
        return try_failure::overload;
    }
}

} // namespace

forward_try::forward_try(entry_call& call, route to)
    : call_(call)
    , to_(std::move(to))
    , started_(host_clock().now())
{
    attempt_.set_entry_host(call.owner.attempt_name);
    attempt_.set_entry_incarnation(call.owner.shared.run.value());
    attempt_.set_sequence(call.owner.attempts.next(wall_milliseconds()));
}

forward_try::~forward_try()
{
    report(try_end::neutral);
}

void forward_try::report(try_end how)
{
    if (reported_)
    {
        return;
    }
    reported_ = true;
    call_.owner.shared.routes.end(
        call_.work_class->service,
        to_.handle,
        call_.work_class->bulk,
        how,
        host_clock().now() - started_);
}

wire::request_head forward_try::make_head(std::uint32_t tokens) const
{
    const auto& from = call_.exchange.head();
    wire::request_head head{from.method, from.path, {}};
    for (const auto& item : from.fields)
    {
        if (!is_internal_or_hop_by_hop(item.name))
        {
            head.fields.push_back(item);
        }
    }
    const auto add = [&head](std::string_view name, std::string value)
    {
        head.fields.push_back({std::string(name), std::move(value)});
    };
    const auto yes_or_no = [](bool value)
    {
        return std::string(value ? "yes" : "no");
    };
    add(field::request_id, call_.request.str());
    add(field::class_name, call_.work_class->id.str());
    add(field::rank, std::to_string(call_.rank));
    add(field::repeatable, yes_or_no(call_.work_class->repeatable));
    add(field::bulk, yes_or_no(call_.work_class->bulk));
    add(field::timeout, to_milliseconds(call_.time_left()));
    add(field::attempt, to_text(attempt_));
    add(field::retry_tokens, std::to_string(tokens));
    if (!call_.customer.empty())
    {
        add(field::customer, call_.customer.str());
    }
    if (!call_.key.empty())
    {
        add(field::key, call_.key);
    }
    return head;
}

asio::awaitable<try_result> forward_try::run()
{
    const auto kind = call_.work_class->bulk ? wire::traffic::long_transfers
                                             : wire::traffic::short_calls;
    const auto connect_until =
        std::min(call_.deadline, host_clock().now() + connect_timeout);
    const auto session =
        co_await call_.owner.peers.get(to_.address, kind, connect_until);
    if (!session)
    {
        co_return not_sent(session.error());
    }
    auto& tokens = call_.tokens();
    const auto split = split_tokens(tokens.count());
    const bool bodiless = call_.body_complete && call_.body.empty();
    auto opened = (*session)->open(make_head(split.sent), bodiless);
    if (!opened)
    {
        co_return not_sent(opened.error());
    }
    outstanding_.emplace(tokens.take(split.sent).send());
    stream_ = *std::move(opened);
    stream_->expire_after(call_.time_left());
    if (call_.body_complete)
    {
        // The callbacks may run after this try: the caller can disconnect
        // between two tries.
        std::weak_ptr<bool> caller_gone = call_.caller_gone;
        std::weak_ptr<forward_try*> weak = alive_;
        const auto end = [caller_gone, weak]
        {
            if (const auto flag = caller_gone.lock())
            {
                *flag = true;
            }
            if (const auto self = weak.lock())
            {
                (*self)->stream_->cancel();
            }
        };
        call_.exchange.on_disconnect(end);
        call_.exchange.on_give_up(
            [end, weak]
            {
                if (const auto self = weak.lock())
                {
                    (*self)->record_given_up();
                }
                end();
            });
    }
    start_slow_try_timer();
    if (!bodiless)
    {
        const auto sent = co_await send_body();
        if (!sent)
        {
            co_return failed(sent.error());
        }
    }
    co_return co_await read_answer();
}

void forward_try::record_given_up() const
{
    given_up_request ended;
    ended.side = call_side::entry;
    ended.request = call_.request.str();
    ended.class_name = call_.work_class->id.str();
    ended.phase = request_phase::running;
    ended.sub_call = call_.origin == request_origin::own_upstream;
    ended.arrived = call_.arrived;
    ended.deadline = call_.deadline;
    node::record_given_up(call_.owner.shared, ended);
}

// Pattern of load: one of several upstreams is slow. Without the timer, every
// call routed to it waits there until its deadline.
void forward_try::start_slow_try_timer()
{
    const auto& shared = call_.owner.shared;
    const auto& work_class = *call_.work_class;
    const auto limit = shared.routes.try_timeout(
        work_class.service, to_.handle, work_class.bulk);
    const bool can_switch = work_class.repeatable && call_.body_complete &&
                            call_.tokens().count() > 0;
    if (!limit || !can_switch || *limit >= call_.time_left())
    {
        return;
    }
    slow_try_timer_ = std::make_unique<asio::steady_timer>(call_.owner.context);
    slow_try_timer_->expires_after(*limit);
    std::weak_ptr<forward_try*> weak = alive_;
    slow_try_timer_->async_wait(
        [weak](boost::system::error_code stopped)
        {
            const auto self = weak.lock();
            if (!stopped && self && (*self)->slow_try_timer_)
            {
                (*self)->switch_if_faster();
            }
        });
}

void forward_try::switch_if_faster()
{
    const std::array tried{to_.handle};
    const auto& service = call_.work_class->service;
    if (call_.owner.shared.routes.should_try_elsewhere(
            service, call_.info(), tried))
    {
        switched_ = true;
        stream_->cancel();
    }
}

asio::awaitable<outcome<void, wire::stream_failure>> forward_try::send_body()
{
    const auto buffered = std::as_bytes(std::span(call_.body));
    auto sent = co_await stream_->write(buffered, call_.body_complete);
    if (call_.body_complete || !sent)
    {
        co_return sent;
    }
    std::array<std::byte, chunk_bytes> chunk;
    while (sent)
    {
        const auto received = co_await call_.exchange.read_some(chunk);
        if (!received)
        {
            *call_.caller_gone = true;
            stream_->cancel();
            co_return wire::stream_failure::cancelled;
        }
        const auto bytes = std::span(chunk).first(*received);
        sent = co_await stream_->write(bytes, *received == 0);
        if (*received == 0)
        {
            break;
        }
    }
    co_return sent;
}

asio::awaitable<try_result> forward_try::read_answer()
{
    auto head = co_await stream_->read_head();
    slow_try_timer_.reset();
    if (!head)
    {
        co_return failed(head.error());
    }
    apply_feedback(*head);
    if (const auto refused = refusal_of(*head))
    {
        co_return refused_by_peer(*refused);
    }
    if (!wire::find_header(head->fields, field::outcome))
    {
        co_return failed(wire::stream_failure::protocol);
    }
    try_answer answer;
    answer.head = *std::move(head);
    const auto max_bytes =
        call_.owner.shared.configured.limits.buffered_body_bytes;
    std::array<std::byte, chunk_bytes> chunk;
    while (answer.first_bytes.size() <= max_bytes)
    {
        const auto received = co_await stream_->read_some(chunk);
        if (!received)
        {
            auto failure = failed(received.error());
            failure.how = try_failure::answer_broken;
            co_return failure;
        }
        if (*received == 0)
        {
            answer.complete = true;
            report(try_end::answer);
            co_return answer;
        }
        answer.first_bytes.append(
            reinterpret_cast<const char*>(chunk.data()), *received);
    }
    co_return answer;
}

asio::awaitable<bool> forward_try::forward_answer(try_answer answer)
{
    const auto length = content_length(answer.head);
    wire::response_head head{
        answer.head.status, fields_for_caller(answer.head.fields)};
    head.fields.push_back(
        {std::string(field::tries), std::to_string(call_.tries)});
    head.fields.push_back(
        {std::string(field::request_id), call_.request.str()});
    if (answer.complete)
    {
        co_return co_await call_.exchange.answer(
            std::move(head), answer.first_bytes);
    }
    bool open = co_await call_.exchange.begin_answer(std::move(head), length);
    const auto first_bytes = std::as_bytes(std::span(answer.first_bytes));
    open = open && co_await call_.exchange.write_some(first_bytes);
    std::array<std::byte, chunk_bytes> chunk;
    while (open)
    {
        const auto received = co_await stream_->read_some(chunk);
        if (!received)
        {
            failed(received.error());
            log_event(
                event::answer_broken,
                {{"class", call_.work_class->id.str()},
                 {"request", call_.request.str()}});
            co_return false;
        }
        if (*received == 0)
        {
            report(try_end::answer);
            co_return co_await call_.exchange.end_answer();
        }
        const auto bytes = std::span(chunk).first(*received);
        open = co_await call_.exchange.write_some(bytes);
    }
    stream_->cancel();
    co_return false;
}

void forward_try::apply_feedback(const wire::response_head& head)
{
    const auto returned_tokens =
        wire::find_header(head.fields, field::retry_tokens);
    if (returned_tokens && outstanding_)
    {
        call_.tokens().put(
            outstanding_->reclaim(parse_count(*returned_tokens).value_or(0)));
    }
    const auto text = wire::find_header(head.fields, field::admission_level);
    if (!text)
    {
        return;
    }
    const auto levels = parse_levels(*text);
    if (!levels)
    {
        return;
    }
    auto& shared = call_.owner.shared;
    const auto path_level = shared.routes.on_levels(
        call_.work_class->service, to_.handle, *levels, call_.work_class->bulk);
    if (call_.sub_call)
    {
        const auto root = call_.sub_call->context().work_class.str();
        shared.pressure.on_sub_call_level(stable_hash(root), path_level);
    }
    else if (call_.origin == request_origin::caller)
    {
        shared.pressure.on_level(call_.info(), path_level);
    }
}

try_failed forward_try::refused_by_peer(const refusal& refused)
{
    const auto how = to_failure(refused.reason);
    const bool unhealthy = how == try_failure::not_connected ||
                           how == try_failure::upstream_failed;
    const bool late =
        how == try_failure::deadline && refused.result == call_outcome::unknown;
    report(
        unhealthy                     ? try_end::failure
        : late                        ? try_end::silence
        : how == try_failure::leaving ? try_end::leaving
                                      : try_end::neutral);
    return {how, refused.result == call_outcome::not_run, refused};
}

try_failed forward_try::not_sent(wire::stream_failure failure)
{
    const bool full = failure == wire::stream_failure::refused;
    report(full ? try_end::neutral : try_end::failure);
    log_event(
        event::connection_failed,
        {{"to", to_.host.str()}, {"why", wire::to_string(failure)}});
    const refusal caller_refusal{
        call_reason::no_upstream, call_outcome::not_run, min_retry_after};
    return {try_failure::not_connected, true, caller_refusal};
}

try_failed forward_try::failed(wire::stream_failure failure)
{
    using enum wire::stream_failure;
    if (failure == silent)
    {
        log_event(event::connection_silent, {{"to", to_.host.str()}});
    }
    const bool not_run = certainly_not_processed(failure);
    const auto result = not_run ? call_outcome::not_run : call_outcome::unknown;
    if (switched_)
    {
        report(try_end::silence);
        const refusal caller_refusal{
            call_reason::connection_lost,
            call_outcome::unknown,
            min_retry_after};
        return {try_failure::connection_lost, false, caller_refusal};
    }
    if (failure == timed_out)
    {
        report(try_end::silence);
        return {
            try_failure::deadline, not_run, {call_reason::deadline, result}};
    }
    report(
        failure == silent      ? try_end::silence
        : failure == cancelled ? try_end::neutral
        : not_run              ? try_end::neutral
                               : try_end::failure);
    const auto how = not_run               ? try_failure::leaving
                     : failure == protocol ? try_failure::answer_broken
                                           : try_failure::connection_lost;
    const refusal caller_refusal{
        not_run ? call_reason::leaving : call_reason::connection_lost,
        result,
        min_retry_after};
    return {how, not_run, caller_refusal};
}

} // namespace nutmegusher::node
