#include "nutmegusher/node/entry_chain.hpp"

#include "nutmegusher/node/entry_call.hpp"
#include "nutmegusher/node/filter_chain.hpp"
#include "nutmegusher/node/forward_filter.hpp"

#include <array>
#include <cstdio>

namespace nutmegusher::node
{

namespace
{

constexpr std::size_t piece_bytes = 16384;
// A refusal of the daemon itself, not of an upstream: another daemon serves.
constexpr duration come_back_elsewhere = std::chrono::milliseconds(100);

std::string text_of(const entry_call& call, std::string_view name)
{
    const auto& fields = call.exchange.head().fields;
    return std::string(wire::find_header(fields, name).value_or(""));
}

request_id new_request_id(random_engine& engine)
{
    std::array<char, 17> text{};
    std::snprintf(
        text.data(),
        text.size(),
        "%016llx",
        static_cast<unsigned long long>(engine()));
    return request_id(std::string_view(text.data(), text.size() - 1));
}

// Finds the class, and checks what its requests must bring.
struct classify_filter
{
    template <class Next>
    asio::awaitable<void> operator()(entry_call& call, Next next)
    {
        const auto wrong = classify(call);
        if (wrong)
        {
            co_await call.refuse(*wrong);
            co_return;
        }
        co_await next();
    }

    static std::optional<refusal> classify(entry_call& call)
    {
        call.request = new_request_id(call.here.random);
        const auto& head = call.exchange.head();
        call.classes = call.here.shared.configuration.current();
        call.work_class = call.classes->match(head.method, head.path);
        if (call.classes->at() == revision(0))
        {
            return refusal{
                call_reason::starting,
                call_outcome::not_run,
                come_back_elsewhere};
        }
        if (call.work_class == nullptr)
        {
            const auto service = service_in_path(head.path);
            return refusal{
                call.classes->knows_service(service)
                    ? call_reason::no_such_class
                    : call_reason::no_such_service};
        }
        call.rank = call.work_class->rank;
        return check_headers(call);
    }

    static std::optional<refusal> check_headers(entry_call& call)
    {
        const auto timeout = text_of(call, field::timeout);
        const auto given = parse_milliseconds(timeout);
        if (!timeout.empty() && !given)
        {
            return refusal{call_reason::bad_header};
        }
        call.deadline = call.arrived + given.value_or(call.work_class->target);
        call.customer = customer_id(text_of(call, field::customer));
        call.key = text_of(call, field::key);
        if (!call.key.empty() && !is_token(call.key))
        {
            return refusal{call_reason::bad_header};
        }
        if (!call.customer.empty() && !is_token(call.customer.str()))
        {
            return refusal{call_reason::bad_header};
        }
        if (!call.work_class->repeatable && call.key.empty())
        {
            return refusal{call_reason::missing_key};
        }
        return std::nullopt;
    }
};

// Tells the admission beside the upstream that a call of it waits for a
// sub-call: that time isn't the upstream's own.
class sub_call_mark
{
public:
    explicit sub_call_mark(entry_call& call)
        : call_(call)
    {
        gate().sub_call_started(request());
    }

    ~sub_call_mark()
    {
        const auto why = call_.refused_as;
        const bool for_load = why == call_reason::overload ||
                              why == call_reason::overload_deeper ||
                              why == call_reason::fair_share;
        gate().sub_call_ended(request(), for_load);
    }

    sub_call_mark(const sub_call_mark&) = delete;
    sub_call_mark& operator=(const sub_call_mark&) = delete;

private:
    [[nodiscard]] admission_gate& gate() const
    {
        return call_.here.shared.admission;
    }

    [[nodiscard]] std::uint64_t request() const
    {
        return stable_hash(call_.request.str());
    }

    entry_call& call_;
};

// A sub-call joins the request that it is a part of; a request of a member or
// a clerk gets its retry tokens.
struct request_filter
{
    template <class Next>
    asio::awaitable<void> operator()(entry_call& call, Next next)
    {
        if (call.origin == request_origin::own_upstream)
        {
            join(call);
        }
        if (!call.work_class->repeatable && call.customer.empty())
        {
            const refusal refused{call_reason::missing_customer};
            co_await call.refuse(refused);
            co_return;
        }
        if (call.origin == request_origin::own_upstream)
        {
            const sub_call_mark mark(call);
            co_await next();
            co_return;
        }
        auto& pressure = call.here.shared.pressure;
        const auto of = call.work_class->hash;
        const auto key_hash =
            call.key.empty()
                ? 0
                : stable_hash(call.customer.str()) ^ stable_hash(call.key, of);
        const auto given = pressure.begin_request(of, key_hash);
        call.own_tokens = retry_tokens::mint(given);
        co_await next();
        pressure.end_request(of, given, call.own_tokens.count());
    }

    static void join(entry_call& call)
    {
        const request_id id(text_of(call, field::request_id));
        if (id.empty())
        {
            return;
        }
        auto joined =
            call.here.shared.ledger.begin_sub_call(id, sub_call_tokens);
        if (!joined)
        {
            return;
        }
        call.part_of.emplace(*std::move(joined));
        const auto& terms = call.part_of->context();
        call.request = id;
        call.rank = static_cast<std::uint8_t>(terms.rank);
        call.deadline = std::min(call.deadline, terms.deadline);
        if (call.customer.empty())
        {
            call.customer = terms.customer;
        }
    }

    // Leaves one for a sub-call that runs beside this one.
    static constexpr std::uint32_t sub_call_tokens = tokens_per_request - 1;
};

// Keeps the body, so that a call can be tried again; a long one streams.
struct keep_body_filter
{
    template <class Next>
    asio::awaitable<void> operator()(entry_call& call, Next next)
    {
        const auto& limits = call.here.shared.configured.limits;
        const auto most = call.work_class->repeatable
                              ? limits.buffered_body_bytes
                              : limits.claimed_body_bytes;
        if (!co_await read(call, most))
        {
            co_return; // the caller has gone, or its request is malformed
        }
        if (!call.work_class->repeatable && !call.body_complete)
        {
            const refusal refused{call_reason::too_large};
            co_await call.refuse(refused);
            co_return;
        }
        co_await next();
    }

    static asio::awaitable<bool> read(entry_call& call, std::size_t most)
    {
        std::array<std::byte, piece_bytes> piece;
        while (call.body.size() <= most)
        {
            const auto got = co_await call.exchange.read_some(piece);
            if (!got)
            {
                if (got.error() == caller_failure::malformed)
                {
                    const refusal refused{call_reason::bad_request};
                    co_await call.refuse(refused);
                }
                if (got.error() == caller_failure::given_up)
                {
                    const refusal refused{
                        call_reason::leaving,
                        call_outcome::not_run,
                        come_back_elsewhere};
                    co_await call.refuse(refused);
                }
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
};

// Refuses here what would be refused further down.
struct gate_filter
{
    template <class Next>
    asio::awaitable<void> operator()(entry_call& call, Next next)
    {
        if (call.origin == request_origin::caller)
        {
            const auto no =
                call.here.shared.pressure.check(call.facts(), call.here.random);
            if (no)
            {
                const refusal refused{
                    no->reason == refusal_reason::fair_share
                        ? call_reason::fair_share
                        : call_reason::overload,
                    call_outcome::not_run,
                    no->retry_after};
                co_await call.refuse(refused);
                co_return;
            }
        }
        co_await next();
    }
};

} // namespace

asio::awaitable<void>
serve_request(worker& here, caller_exchange& exchange, request_origin origin)
{
    entry_call call(here, exchange, origin);
    classify_filter classify;
    request_filter request;
    keep_body_filter body;
    gate_filter gate;
    forward_filter forward;
    co_await run_filters(call, classify, request, body, gate, forward);
}

} // namespace nutmegusher::node
