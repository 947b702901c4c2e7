#include "nutmegusher/node/entry_chain.hpp"

#include "nutmegusher/node/entry_call.hpp"
#include "nutmegusher/node/filter_chain.hpp"
#include "nutmegusher/node/forward_filter.hpp"
#include "nutmegusher/node/growing_body.hpp"

#include <array>
#include <cstdio>

namespace nutmegusher::node
{

namespace
{

// Retry after a refusal that concerns this daemon alone, not the upstream:
// another daemon can serve the retry.
constexpr duration retry_elsewhere_after = std::chrono::milliseconds(100);

std::string header_text(const entry_call& call, std::string_view name)
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

// Finds the request's class and validates the headers that the class requires.
struct classify_filter
{
    template <class Next>
    asio::awaitable<void> operator()(entry_call& call, Next next)
    {
        const auto problem = classify(call);
        if (problem)
        {
            co_await call.refuse(*problem);
            co_return;
        }
        co_await next();
    }

    static std::optional<refusal> classify(entry_call& call)
    {
        call.request = new_request_id(call.owner.random);
        const auto& head = call.exchange.head();
        call.classes = call.owner.shared.configuration.current();
        call.work_class = call.classes->match(head.method, head.path);
        if (call.classes->at() == revision(0))
        {
            return refusal{
                call_reason::starting,
                call_outcome::not_run,
                retry_elsewhere_after};
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
        const auto timeout = header_text(call, field::timeout);
        const auto given = parse_milliseconds(timeout);
        if (!timeout.empty() && !given)
        {
            return refusal{call_reason::bad_header};
        }
        call.deadline = call.arrived + given.value_or(call.work_class->target);
        call.customer = customer_id(header_text(call, field::customer));
        call.key = header_text(call, field::key);
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

// While it exists, the admission controller beside the upstream knows that the
// calling request waits for a sub-call; that time doesn't count as processing
// time of the upstream.
class sub_call_scope
{
public:
    explicit sub_call_scope(entry_call& call)
        : call_(call)
    {
        gate().sub_call_started(request());
    }

    ~sub_call_scope()
    {
        const auto reason = call_.refused_reason;
        const bool for_load = reason == call_reason::overload ||
                              reason == call_reason::overload_deeper ||
                              reason == call_reason::fair_share;
        gate().sub_call_ended(request(), for_load);
    }

    sub_call_scope(const sub_call_scope&) = delete;
    sub_call_scope& operator=(const sub_call_scope&) = delete;

private:
    [[nodiscard]] admission_gate& gate() const
    {
        return call_.owner.shared.admission;
    }

    [[nodiscard]] std::uint64_t request() const
    {
        return stable_hash(call_.request.str());
    }

    entry_call& call_;
};

// Attaches a sub-call to the request that it belongs to. A request of a member
// or a clerk gets new retry tokens.
struct request_filter
{
    template <class Next>
    asio::awaitable<void> operator()(entry_call& call, Next next)
    {
        if (call.origin == request_origin::own_upstream)
        {
            join_request(call);
        }
        if (!call.work_class->repeatable && call.customer.empty())
        {
            const refusal refused{call_reason::missing_customer};
            co_await call.refuse(refused);
            co_return;
        }
        if (call.origin == request_origin::own_upstream)
        {
            const sub_call_scope scope(call);
            co_await next();
            co_return;
        }
        auto& pressure = call.owner.shared.pressure;
        const auto class_hash = call.work_class->hash;
        const auto key_hash = call.key.empty()
                                  ? 0
                                  : stable_hash(call.customer.str()) ^
                                        stable_hash(call.key, class_hash);
        const auto given = pressure.begin_request(class_hash, key_hash);
        call.own_tokens = retry_tokens::mint(given);
        co_await next();
        pressure.end_request(class_hash, given, call.own_tokens.count());
    }

    static void join_request(entry_call& call)
    {
        const request_id id(header_text(call, field::request_id));
        if (id.empty())
        {
            return;
        }
        auto joined =
            call.owner.shared.ledger.begin_sub_call(id, sub_call_tokens);
        if (!joined)
        {
            return;
        }
        call.sub_call.emplace(*std::move(joined));
        const auto& context = call.sub_call->context();
        call.request = id;
        call.rank = static_cast<std::uint8_t>(context.rank);
        call.deadline = std::min(call.deadline, context.deadline);
        if (call.customer.empty())
        {
            call.customer = context.customer;
        }
    }

    // Leaves one token for a sub-call that runs in parallel.
    static constexpr std::uint32_t sub_call_tokens = tokens_per_request - 1;
};

// Buffers the body, so that the call can be retried. A body beyond the limit is
// streamed and the call isn't retried; if the call isn't repeatable, it is
// refused.
struct buffer_body_filter
{
    template <class Next>
    asio::awaitable<void> operator()(entry_call& call, Next next)
    {
        call.exchange.limit_reading(call.deadline);
        const auto& limits = call.owner.shared.configured.limits;
        const auto max_bytes = call.work_class->repeatable
                                   ? limits.buffered_body_bytes
                                   : limits.claimed_body_bytes;
        if (!co_await read(call, max_bytes))
        {
            co_return; // the caller has disconnected or was refused
        }
        if (!call.work_class->repeatable && !call.body_complete)
        {
            const refusal refused{call_reason::too_large};
            co_await call.refuse(refused);
            co_return;
        }
        co_await next();
    }

    static asio::awaitable<bool> read(entry_call& call, std::size_t max_bytes)
    {
        if (!call.memory.take(memory_of_head(call.exchange.head())))
        {
            co_await refuse(call, caller_failure::no_room);
            co_return false;
        }
        body_blocks body;
        growing_body growing(body, call.memory, max_bytes + 1);
        while (!growing.is_full())
        {
            const auto room = growing.room();
            if (room.empty())
            {
                co_await refuse(call, caller_failure::no_room);
                co_return false;
            }
            const auto received = co_await call.exchange.read_some(room);
            if (!received)
            {
                co_await refuse(call, received.error());
                co_return false;
            }
            if (*received == 0)
            {
                call.body_complete = true;
                break;
            }
            growing.commit(*received);
        }
        call.memory.finish_arriving();
        auto text = join(std::move(body), call.memory);
        if (!text)
        {
            co_await refuse(call, caller_failure::no_room);
            co_return false;
        }
        call.body = *std::move(text);
        co_return true;
    }

    // Does nothing if the caller has left.
    static asio::awaitable<void>
    refuse(entry_call& call, caller_failure failure)
    {
        std::optional<refusal> refused;
        switch (failure)
        {
        case caller_failure::disconnected:
            break;
        case caller_failure::malformed:
            refused = refusal{call_reason::bad_request};
            break;
        case caller_failure::too_large:
            refused = refusal{call_reason::too_large};
            break;
        case caller_failure::too_slow:
            refused = refusal{call_reason::deadline};
            break;
        case caller_failure::no_room:
            refused = refusal{
                call_reason::no_room,
                call_outcome::not_run,
                memory_budget::stall_time};
            break;
        case caller_failure::given_up:
            refused = refusal{
                call_reason::leaving,
                call_outcome::not_run,
                retry_elsewhere_after};
            break;
        }
        if (refused)
        {
            co_await call.refuse(*refused);
        }
    }
};

// Refuses at the entry the calls that would be refused further down the call
// path.
struct gate_filter
{
    template <class Next>
    asio::awaitable<void> operator()(entry_call& call, Next next)
    {
        if (call.origin == request_origin::caller)
        {
            const auto rejection = call.owner.shared.pressure.check(
                call.info(), call.owner.random);
            if (rejection)
            {
                const refusal refused{
                    rejection->reason == refusal_reason::fair_share
                        ? call_reason::fair_share
                        : call_reason::overload,
                    call_outcome::not_run,
                    rejection->retry_after};
                co_await call.refuse(refused);
                co_return;
            }
        }
        co_await next();
    }
};

} // namespace

asio::awaitable<void>
serve_request(worker& owner, caller_exchange& exchange, request_origin origin)
{
    entry_call call(owner, exchange, origin);
    classify_filter classify;
    request_filter request;
    buffer_body_filter body;
    gate_filter gate;
    forward_filter forward;
    co_await run_filters(call, classify, request, body, gate, forward);
}

} // namespace nutmegusher::node
