#include "nutmegusher/node/peer_call.hpp"

#include "nutmegusher/node/growing_body.hpp"

namespace nutmegusher::node
{

namespace
{

constexpr std::uint8_t max_rank = 9;

std::string header_text(const wire::request_head& head, std::string_view name)
{
    return std::string(wire::find_header(head.fields, name).value_or(""));
}

void add(wire::response_head& head, std::string_view name, std::string value)
{
    head.fields.push_back({std::string(name), std::move(value)});
}

} // namespace

outcome<peer_metadata, call_reason> parse_peer_metadata(
    const wire::request_head& head, const configuration_view& classes)
{
    peer_metadata metadata;
    metadata.request = request_id(header_text(head, field::request_id));
    metadata.work_class = class_name(header_text(head, field::class_name));
    metadata.customer = customer_id(header_text(head, field::customer));
    metadata.key = header_text(head, field::key);
    const auto remaining =
        parse_milliseconds(header_text(head, field::timeout));
    const auto rank = parse_count(header_text(head, field::rank));
    const auto tokens = parse_count(header_text(head, field::retry_tokens));
    const auto attempt = parse_attempt(header_text(head, field::attempt));
    if (!remaining || !rank || !tokens || !attempt ||
        metadata.request.empty() || *rank > max_rank)
    {
        return call_reason::bad_header;
    }
    metadata.deadline = host_clock().now() + *remaining;
    metadata.rank = static_cast<std::uint8_t>(*rank);
    metadata.tokens = *tokens;
    metadata.attempt = *attempt;
    // A call counts as repeatable only if the entry daemon and this one agree:
    // for a moment the two may use different revisions of the configuration.
    const auto* const declared = classes.find(metadata.work_class);
    metadata.target = declared == nullptr ? duration::zero() : declared->target;
    const bool declared_repeatable =
        header_text(head, field::repeatable) == "yes";
    metadata.repeatable =
        declared_repeatable && (declared == nullptr || declared->repeatable);
    metadata.bulk = header_text(head, field::bulk) == "yes";
    if (!metadata.repeatable && !is_token(metadata.key))
    {
        return call_reason::missing_key;
    }
    return metadata;
}

asio::awaitable<bool> read_body(peer_call& call, std::size_t max_bytes)
{
    // Entries of earlier releases know no reason for that but an overload.
    const refusal no_room{
        call_reason::overload,
        call_outcome::not_run,
        memory_budget::stall_time};
    body_blocks body;
    growing_body growing(body, call.memory, max_bytes + 1);
    while (!growing.is_full() && !call.body_complete)
    {
        const auto room = growing.room();
        if (room.empty())
        {
            co_await call.refuse(no_room);
            co_return false;
        }
        const auto received = co_await call.stream->read_some(room);
        if (!received)
        {
            co_return false;
        }
        growing.commit(*received);
        call.body_complete = *received == 0;
    }
    auto text = join(std::move(body), call.memory);
    if (!text)
    {
        co_await call.refuse(no_room);
        co_return false;
    }
    call.body = *std::move(text);
    co_return true;
}

void peer_call::add_feedback(wire::response_head& head)
{
    const auto remaining = running ? running->finish().send() : metadata.tokens;
    running.reset();
    add(head, field::retry_tokens, std::to_string(remaining));
    const answer_levels levels{
        owner.shared.admission.level(),
        owner.shared.pressure.deeper_for(
            stable_hash(metadata.work_class.str()))};
    add(head, field::admission_level, format_levels(levels));
}

asio::awaitable<void> peer_call::refuse(refusal refused)
{
    if (answered)
    {
        co_return;
    }
    answered = true;
    owner.shared.request_metrics.refused(
        call_side::upstream,
        metadata.work_class,
        refused.reason,
        refused.result,
        1);
    auto head = to_head(refused);
    add_feedback(head);
    co_await stream->write_head(std::move(head), true);
}

asio::awaitable<void> peer_call::send(buffered_answer buffered)
{
    if (answered)
    {
        co_return;
    }
    answered = true;
    owner.shared.request_metrics.completed(
        call_side::upstream,
        metadata.work_class,
        host_clock().now() - arrived,
        1);
    add(buffered.head,
        field::outcome,
        std::string(to_string(call_outcome::completed)));
    add(buffered.head, "content-length", std::to_string(buffered.body.size()));
    add_feedback(buffered.head);
    const bool bodiless = buffered.body.empty();
    const auto begun =
        co_await stream->write_head(std::move(buffered.head), bodiless);
    if (begun && !bodiless)
    {
        const auto bytes = std::as_bytes(std::span(buffered.body));
        co_await stream->write(bytes, true);
    }
}

} // namespace nutmegusher::node
