#include "nutmegusher/node/peer_call.hpp"

#include <array>

namespace nutmegusher::node
{

namespace
{

constexpr std::size_t piece_bytes = 16384;
constexpr std::uint8_t worst_rank = 9;

std::string text_of(const wire::request_head& head, std::string_view name)
{
    return std::string(wire::find_header(head.fields, name).value_or(""));
}

void add(wire::response_head& head, std::string_view name, std::string value)
{
    head.fields.push_back({std::string(name), std::move(value)});
}

} // namespace

outcome<peer_terms, call_reason>
parse_terms(const wire::request_head& head, const configuration_view& classes)
{
    peer_terms terms;
    terms.request = request_id(text_of(head, field::request_id));
    terms.work_class = class_name(text_of(head, field::class_name));
    terms.customer = customer_id(text_of(head, field::customer));
    terms.key = text_of(head, field::key);
    const auto left = parse_milliseconds(text_of(head, field::timeout));
    const auto rank = parse_count(text_of(head, field::rank));
    const auto tokens = parse_count(text_of(head, field::retry_tokens));
    const auto attempt = parse_attempt(text_of(head, field::attempt));
    if (!left || !rank || !tokens || !attempt || terms.request.empty() ||
        *rank > worst_rank)
    {
        return call_reason::bad_header;
    }
    terms.deadline = host_clock().now() + *left;
    terms.rank = static_cast<std::uint8_t>(*rank);
    terms.tokens = *tokens;
    terms.attempt = *attempt;
    // The stricter of what the entry daemon knows and what is known here: the
    // two may run different revisions for a moment.
    const auto* const declared = classes.find(terms.work_class);
    terms.target = declared == nullptr ? duration::zero() : declared->target;
    const bool said = text_of(head, field::repeatable) == "yes";
    terms.repeatable = said && (declared == nullptr || declared->repeatable);
    terms.bulk = text_of(head, field::bulk) == "yes";
    if (!terms.repeatable && !is_token(terms.key))
    {
        return call_reason::missing_key;
    }
    return terms;
}

asio::awaitable<bool> read_body(peer_call& call, std::size_t most)
{
    std::array<std::byte, piece_bytes> piece;
    while (call.body.size() <= most)
    {
        const auto got = co_await call.stream->read_some(piece);
        if (!got)
        {
            co_return false;
        }
        if (*got == 0)
        {
            call.body_complete = true;
            co_return true;
        }
        call.body.append(reinterpret_cast<const char*>(piece.data()), *got);
    }
    co_return true;
}

void peer_call::complete_head(wire::response_head& head)
{
    const auto left = running ? running->finish().send() : terms.tokens;
    running.reset();
    add(head, field::retry_tokens, std::to_string(left));
    const answer_levels levels{
        here.shared.admission.level(),
        here.shared.pressure.deeper_for(stable_hash(terms.work_class.str()))};
    add(head, field::admission_level, format_levels(levels));
}

asio::awaitable<void> peer_call::refuse(refusal refused)
{
    if (answered)
    {
        co_return;
    }
    answered = true;
    here.shared.measured.refused(
        call_side::upstream,
        terms.work_class,
        refused.reason,
        refused.result,
        1);
    auto head = to_head(refused);
    complete_head(head);
    co_await stream->write_head(std::move(head), true);
}

asio::awaitable<void> peer_call::send(whole_answer whole)
{
    if (answered)
    {
        co_return;
    }
    answered = true;
    here.shared.measured.completed(
        call_side::upstream, terms.work_class, host_clock().now() - arrived, 1);
    add(whole.head,
        field::outcome,
        std::string(to_string(call_outcome::completed)));
    add(whole.head, "content-length", std::to_string(whole.body.size()));
    complete_head(whole.head);
    const bool bodiless = whole.body.empty();
    const auto begun =
        co_await stream->write_head(std::move(whole.head), bodiless);
    if (begun && !bodiless)
    {
        const auto bytes = std::as_bytes(std::span(whole.body));
        co_await stream->write(bytes, true);
    }
}

} // namespace nutmegusher::node
