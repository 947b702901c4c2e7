#include "nutmegusher/routed/peer_exchange.hpp"

#include "nutmegusher/routed/upstream_side.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <sstream>
#include <utility>

namespace nutmegusher::routed
{

namespace
{

using node::call_reason;
using node::refusal;

constexpr std::size_t piece_bytes = 16384;
// Bounds what a peer may have a daemon keep; above every body that callers may
// send.
constexpr std::size_t most_body_bytes = 64 * 1024 * 1024;
// Far above a round trip between regions; a host that takes longer to accept
// is slow or gone, and another one can be tried in the time that is left.
constexpr duration connect_limit = std::chrono::milliseconds(250);
constexpr unsigned status_ok = 200;

// Own fields of a routed call between daemons.
constexpr std::string_view terms_field = "nutmeg-routed";
constexpr std::string_view host_field = "nutmeg-host";
constexpr std::string_view id_field = "nutmeg-call";
constexpr std::string_view caller_field = "nutmeg-caller";
constexpr std::string_view from_field = "nutmeg-from";
constexpr std::string_view status_field = "nutmeg-status";
constexpr std::string_view sent_field = "nutmeg-sent";
constexpr std::string_view load_field = "nutmeg-load";
constexpr std::string_view shed_field = "nutmeg-shed";
constexpr std::string_view sub_call_field = "nutmeg-sub-call";
constexpr std::string_view own_prefix = "nutmeg-";
// Levels and shares travel in thousandths.
constexpr double level_scale = 1000;

constexpr unsigned repeatable_bit = 1;
constexpr unsigned bulk_bit = 2;
constexpr unsigned sub_call_bit = 4;

// "rank flags milliseconds-left target-milliseconds class", for example
// "2 1 4980 1500 1234567890".
std::string format_terms(const call_terms& terms)
{
    const unsigned flags = (terms.repeatable ? repeatable_bit : 0) |
                           (terms.bulk ? bulk_bit : 0) |
                           (terms.sub_call ? sub_call_bit : 0);
    std::string text = std::to_string(terms.rank);
    text += ' ' + std::to_string(flags);
    text += ' ' + node::to_milliseconds(terms.time_left());
    text += ' ' + node::to_milliseconds(terms.target);
    text += ' ' + std::to_string(terms.work_class);
    return text;
}

std::optional<call_terms> parse_terms(const wire::request_head& head)
{
    const auto text = wire::find_header(head.fields, terms_field);
    const auto id = wire::find_header(head.fields, id_field);
    if (!text || !id)
    {
        return std::nullopt;
    }
    std::istringstream in{std::string(*text)};
    unsigned rank = 0;
    unsigned flags = 0;
    std::uint64_t left = 0;
    std::uint64_t target = 0;
    call_terms terms;
    if (!(in >> rank >> flags >> left >> target >> terms.work_class) ||
        rank >= rank_count)
    {
        return std::nullopt;
    }
    terms.id = *id;
    terms.host = wire::find_header(head.fields, host_field).value_or("");
    terms.caller_service =
        service_name(wire::find_header(head.fields, caller_field).value_or(""));
    terms.caller_data_center = data_center_name(
        wire::find_header(head.fields, from_field).value_or(""));
    terms.rank = static_cast<std::uint8_t>(rank);
    terms.repeatable = (flags & repeatable_bit) != 0;
    terms.bulk = (flags & bulk_bit) != 0;
    terms.sub_call = (flags & sub_call_bit) != 0;
    terms.target = std::chrono::milliseconds(target);
    terms.deadline = host_clock().now() + std::chrono::milliseconds(left);
    return terms;
}

// "running waiting slots hold-in-microseconds errors", the last in thousandths,
// for example "31 4 31 22000 0".
std::string format_load(const upstream_load& load)
{
    using std::chrono::microseconds;
    const auto hold = std::chrono::duration_cast<microseconds>(load.hold);
    return std::to_string(load.running) + ' ' + std::to_string(load.waiting) +
           ' ' + std::to_string(load.slots) + ' ' +
           std::to_string(hold.count()) + ' ' +
           std::to_string(std::lround(load.errors * level_scale));
}

std::optional<upstream_load> parse_load(std::string_view text)
{
    std::istringstream in{std::string(text)};
    upstream_load load;
    std::uint64_t hold = 0;
    std::uint64_t errors = 0;
    if (!(in >> load.running >> load.waiting >> load.slots >> hold >> errors))
    {
        return std::nullopt;
    }
    load.errors = static_cast<double>(errors) / level_scale;
    load.hold = std::chrono::microseconds(hold);
    return load;
}

// "balances=400 statements=0".
std::string format_shed(std::span<const shed_level> levels)
{
    std::string text;
    for (const auto& each : levels)
    {
        text += text.empty() ? "" : " ";
        text += each.service.str() + '=';
        text += std::to_string(static_cast<int>(each.level * level_scale));
    }
    return text;
}

std::vector<shed_level> parse_shed(std::string_view text)
{
    std::vector<shed_level> levels;
    std::istringstream in{std::string(text)};
    std::string item;
    while (in >> item)
    {
        const auto equals = item.rfind('=');
        const auto value =
            equals == std::string::npos
                ? std::nullopt
                : node::parse_count(std::string_view(item).substr(equals + 1));
        if (value)
        {
            const auto name = std::string_view(item).substr(0, equals);
            levels.push_back({service_name(name), *value / level_scale});
        }
    }
    return levels;
}

wire::request_head to_peer_head(const routed_call& call)
{
    wire::request_head head = call.head;
    const auto add = [&head](std::string_view name, std::string value)
    {
        head.fields.push_back({std::string(name), std::move(value)});
    };
    add(terms_field, format_terms(call.terms));
    add(id_field, call.terms.id);
    add(host_field, call.terms.host);
    add(caller_field, call.terms.caller_service.str());
    add(from_field, call.terms.caller_data_center.str());
    return head;
}

wire::headers without_prefix(const wire::headers& fields)
{
    wire::headers kept;
    for (const auto& item : fields)
    {
        if (!item.name.starts_with(own_prefix))
        {
            kept.push_back(item);
        }
    }
    return kept;
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

failed_call not_sent()
{
    const refusal told{
        call_reason::no_upstream, call_outcome::not_run, shortest_return};
    return {told, false};
}

// The rest of a long answer that comes over a stream.
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
        node::worker& here,
        const routed_call& call,
        cancel_flag cancelled,
        peer_feedback& feedback)
        : here_(here)
        , call_(call)
        , cancelled_(std::move(cancelled))
        , feedback_(feedback)
    {
    }

    asio::awaitable<routed_result> run(node::endpoint to)
    {
        const auto kind = call_.terms.bulk ? wire::traffic::long_transfers
                                           : wire::traffic::short_calls;
        const auto until =
            std::min(call_.terms.deadline, host_clock().now() + connect_limit);
        const auto session = co_await here_.peers.get(to, kind, until);
        if (!session)
        {
            feedback_.broken = session.error() != wire::stream_failure::refused;
            co_return not_sent();
        }
        const auto head = to_peer_head(call_);
        auto opened = (*session)->open(head, call_.body.empty());
        if (!opened)
        {
            co_return not_sent();
        }
        stream_ = *std::move(opened);
        stream_->expire_after(call_.terms.time_left());
        auto* const stream = stream_.get();
        cancelled_->stop = [stream]
        {
            stream->cancel();
        };
        auto result = co_await exchange();
        cancelled_->stop = nullptr;
        co_return result;
    }

private:
    asio::awaitable<routed_result> exchange()
    {
        if (!call_.body.empty())
        {
            const auto body = std::as_bytes(std::span(call_.body));
            const auto sent = co_await stream_->write(body, true);
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
        take_word(*head);
        if (const auto refused = node::refusal_of(*head))
        {
            const bool sent =
                wire::find_header(head->fields, sent_field).has_value();
            co_return failed_call{*refused, sent};
        }
        co_return co_await read_body(*std::move(head));
    }

    void take_word(const wire::response_head& head)
    {
        const auto text = wire::find_header(head.fields, load_field);
        const auto load = parse_load(text.value_or(""));
        if (!load)
        {
            return;
        }
        upstream_word word;
        word.load = *load;
        const auto shed = wire::find_header(head.fields, shed_field);
        word.shed = parse_shed(shed.value_or(""));
        word.is_sub_call =
            wire::find_header(head.fields, sub_call_field).has_value();
        feedback_.word = std::move(word);
    }

    asio::awaitable<routed_result> read_body(wire::response_head head)
    {
        const auto status = wire::find_header(head.fields, status_field);
        const auto code = node::parse_count(status.value_or(""));
        if (!code)
        {
            co_return failed(wire::stream_failure::protocol);
        }
        routed_answer answer;
        answer.length = length_in(head);
        answer.head.status = *code;
        answer.head.fields = without_prefix(head.fields);
        std::array<std::byte, piece_bytes> piece;
        while (answer.body.size() <= kept_answer_bytes)
        {
            const auto got = co_await stream_->read_some(piece);
            if (!got)
            {
                auto how = failed(got.error());
                if (how.told.reason == call_reason::connection_lost)
                {
                    how.told.reason = call_reason::answer_broken;
                }
                co_return how;
            }
            if (*got == 0)
            {
                co_return answer;
            }
            answer.body.append(
                reinterpret_cast<const char*>(piece.data()), *got);
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
            const refusal told{
                call_reason::leaving, call_outcome::not_run, shortest_return};
            return {told, false};
        }
        feedback_.broken = failure != timed_out && failure != cancelled;
        const auto reason = failure == timed_out   ? call_reason::deadline
                            : failure == cancelled ? call_reason::cancelled
                            : failure == protocol
                                ? call_reason::answer_broken
                                : call_reason::connection_lost;
        const refusal told{reason, call_outcome::unknown, duration::zero()};
        return {told, true};
    }

    node::worker& here_;
    const routed_call& call_;
    cancel_flag cancelled_;
    peer_feedback& feedback_;
    std::unique_ptr<wire::client_stream> stream_;
};

asio::awaitable<std::optional<std::string>>
read_whole(wire::server_stream& stream)
{
    std::string body;
    std::array<std::byte, piece_bytes> piece;
    while (body.size() <= most_body_bytes)
    {
        const auto got = co_await stream.read_some(piece);
        if (!got)
        {
            co_return std::nullopt;
        }
        if (*got == 0)
        {
            co_return body;
        }
        body.append(reinterpret_cast<const char*>(piece.data()), *got);
    }
    co_return std::nullopt;
}

// Passes the rest on; a stream that isn't ended is reset.
asio::awaitable<void> write_rest(wire::server_stream& stream, answer_rest& rest)
{
    std::array<std::byte, piece_bytes> piece;
    while (true)
    {
        const auto got = co_await rest.read_some(piece);
        if (!got)
        {
            co_return;
        }
        const auto bytes = std::span(piece).first(*got);
        const auto sent = co_await stream.write(bytes, *got == 0);
        if (!sent || *got == 0)
        {
            co_return;
        }
    }
}

void add_word(wire::response_head& head, const upstream_word& word)
{
    const auto add = [&head](std::string_view name, std::string value)
    {
        head.fields.push_back({std::string(name), std::move(value)});
    };
    add(load_field, format_load(word.load));
    add(shed_field, format_shed(word.shed));
    if (word.is_sub_call)
    {
        add(sub_call_field, "yes");
    }
}

asio::awaitable<void> write_answer(
    wire::server_stream& stream, routed_answer answer, upstream_word word)
{
    wire::response_head head{status_ok, std::move(answer.head.fields)};
    const auto add = [&head](std::string_view name, std::string value)
    {
        head.fields.push_back({std::string(name), std::move(value)});
    };
    add(status_field, std::to_string(answer.head.status));
    add_word(head, word);
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
    wire::server_stream& stream, failed_call failed, upstream_word word)
{
    auto head = node::to_head(failed.told);
    add_word(head, word);
    if (failed.sent)
    {
        head.fields.push_back({std::string(sent_field), "yes"});
    }
    co_await stream.write_head(std::move(head), true);
}

} // namespace

asio::awaitable<routed_result> call_peer(
    node::worker& here,
    node::endpoint to,
    const routed_call& call,
    cancel_flag cancelled,
    peer_feedback& feedback)
{
    peer_exchange one(here, call, std::move(cancelled), feedback);
    co_return co_await one.run(std::move(to));
}

upstream_word own_word(const routed_state& state, const call_terms& terms)
{
    upstream_word word;
    const auto present = state.slots.state();
    word.load = {
        present.running,
        present.waiting,
        present.slots,
        present.hold,
        state.errors.share(terms.caller_data_center)};
    for (const auto& called : state.ahead.called())
    {
        const auto below =
            terms.bulk ? std::vector<shed_level>() : state.ahead.below(called);
        word.shed.insert(word.shed.end(), below.begin(), below.end());
    }
    if (const auto own = state.local.current())
    {
        word.shed.push_back({own->service, present.shed_level});
    }
    word.is_sub_call = state.sub_calls.is_counted(terms.work_class);
    return word;
}

bool is_routed_call(const wire::request_head& head)
{
    return wire::find_header(head.fields, terms_field).has_value();
}

asio::awaitable<void> serve_routed_call(
    node::worker& here,
    routed_state& state,
    std::shared_ptr<wire::server_stream> stream)
{
    const auto cancelled = std::make_shared<node::cancellation>();
    std::weak_ptr<node::cancellation> weak = cancelled;
    stream->on_cancelled(
        [weak]
        {
            const auto shared = weak.lock();
            if (!shared)
            {
                return;
            }
            shared->requested = true;
            if (shared->stop)
            {
                shared->stop();
            }
        });
    routed_call call;
    auto terms = parse_terms(stream->head());
    auto body = co_await read_whole(*stream);
    if (!terms || !body)
    {
        wire::response_head head{400, {}};
        co_await stream->write_head(std::move(head), true);
        co_return;
    }
    call.terms = *std::move(terms);
    call.body = *std::move(body);
    call.head = stream->head();
    call.head.fields = without_prefix(stream->head().fields);
    auto result = co_await run_on_upstream(here, state, call, cancelled);
    auto word = own_word(state, call.terms);
    if (result)
    {
        co_await write_answer(*stream, *std::move(result), std::move(word));
        co_return;
    }
    co_await write_failure(*stream, result.error(), std::move(word));
}

} // namespace nutmegusher::routed
