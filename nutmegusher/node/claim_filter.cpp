#include "nutmegusher/node/claim_filter.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegusher::node
{

namespace
{

// Of larger answer bodies only the digest is stored.
constexpr std::size_t max_stored_bytes = 16384;
// The pause before a proposal without a reply is resent.
constexpr duration resend_delay = std::chrono::milliseconds(20);
// The timeout of one proposal; long enough for a change of leader.
constexpr duration propose_timeout = std::chrono::seconds(1);

messages::stored_answer to_stored(const buffered_answer& buffered)
{
    messages::stored_answer stored;
    stored.set_status(buffered.head.status);
    for (const auto& item : buffered.head.fields)
    {
        auto& header = *stored.add_headers();
        header.set_name(item.name);
        header.set_value(item.value);
    }
    stored.set_body_size(buffered.body.size());
    stored.set_body_digest(stable_hash(buffered.body));
    if (buffered.body.size() <= max_stored_bytes)
    {
        stored.set_body(buffered.body);
    }
    else
    {
        stored.set_body_dropped(true);
    }
    return stored;
}

call_reason to_reason(outcome_reason reason)
{
    switch (reason)
    {
    case outcome_reason::deadline:
        return call_reason::deadline;
    case outcome_reason::cancelled:
    case outcome_reason::fenced:
    case outcome_reason::attempt_expired:
        return call_reason::cancelled;
    case outcome_reason::in_progress:
        return call_reason::in_progress;
    case outcome_reason::key_reused:
        return call_reason::key_reused;
    case outcome_reason::claims_unavailable:
        return call_reason::claims_unavailable;
    case outcome_reason::upstream_refused:
        return call_reason::overload;
    case outcome_reason::none:
    case outcome_reason::connection_lost:
        break;
    }
    return call_reason::connection_lost;
}

// How long the caller should wait before it asks again: half of the time left
// until the deadline (about the class's target latency), at least 100 ms. Zero
// for a reused key, where a retry can't succeed.
duration retry_after_of(const peer_call& call, outcome_reason reason)
{
    if (reason == outcome_reason::key_reused)
    {
        return duration::zero();
    }
    return std::max<duration>(
        std::chrono::milliseconds(100), call.time_left() / 2);
}

execution_request make_execution_request(const peer_call& call)
{
    execution_request request;
    request.key.set_customer(call.metadata.customer.str());
    request.key.set_class_name(call.metadata.work_class.str());
    request.key.set_idempotency_key(call.metadata.key);
    request.by = call.metadata.attempt;
    request.executor.set_host(call.owner.shared.configured.host.id.str());
    request.executor.set_incarnation(call.owner.shared.run.value());
    const auto& head = call.stream->head();
    request_digest digest(head.method, head.path);
    digest.update(call.body);
    request.request_digest = digest.value();
    request.deadline = call.metadata.deadline;
    return request;
}

// Executes the steps that the call's `execution_guard` asks for, until it asks
// for none.
class claimed_execution
{
public:
    claimed_execution(
        peer_call& call, std::function<asio::awaitable<void>()> run)
        : call_(call)
        , run_(std::move(run))
        , guard_(make_execution_request(call))
    {
    }

    asio::awaitable<void> perform()
    {
        auto step = guard_.begin(host_clock().now(), wall_milliseconds());
        while (true)
        {
            if (step.report)
            {
                co_await send_outcome(*step.report);
            }
            if (step.start_call)
            {
                step = co_await start();
            }
            else if (step.propose)
            {
                auto command = std::move(*step.propose);
                step = co_await propose(std::move(command));
            }
            else
            {
                co_return;
            }
        }
    }

private:
    asio::awaitable<guard_step> propose(messages::claim_command command)
    {
        const auto action = command.action_case();
        if (call_.cancelled->requested &&
            action == messages::claim_command::kStart)
        {
            co_return guard_.cancel(
                wall_milliseconds(), outcome_reason::cancelled);
        }
        // Waiting for the claim log isn't processing time of the upstream; like
        // a sub-call it is excluded from it.
        auto& gate = call_.owner.shared.admission;
        const auto request = stable_hash(call_.metadata.request.str());
        gate.sub_call_started(request);
        const auto result = co_await propose_claim(
            call_.owner.peers,
            call_.owner.shared.claims,
            std::move(command),
            propose_timeout);
        gate.sub_call_ended(request, false);
        if (result)
        {
            co_return guard_.claim_replied(
                host_clock().now(), wall_milliseconds(), action, *result);
        }
        log_event(
            event::claim_unreachable,
            {{"class", call_.metadata.work_class.str()},
             {"request", call_.metadata.request.str()}});
        asio::steady_timer pause(co_await asio::this_coro::executor);
        pause.expires_after(resend_delay);
        co_await pause.async_wait(asio::use_awaitable);
        co_return guard_.claim_reply_lost(
            host_clock().now(), wall_milliseconds());
    }

    asio::awaitable<guard_step> start()
    {
        co_await run_();
        // Frees the slot first: recording the outcome doesn't use the upstream.
        call_.release_slot();
        if (call_.answer && !refused_without_effect())
        {
            co_return guard_.call_completed(
                wall_milliseconds(), to_stored(*call_.answer));
        }
        const bool never_sent =
            call_.failure == upstream_failure::not_connected;
        if (never_sent || call_.answer)
        {
            co_return guard_.call_refused(wall_milliseconds());
        }
        co_return guard_.call_incomplete();
    }

    [[nodiscard]] bool refused_without_effect() const
    {
        const auto& head = call_.answer->head;
        return head.status == 503 &&
               wire::find_header(head.fields, field::not_run) == "true";
    }

    asio::awaitable<void> send_outcome(const reported_outcome& reported)
    {
        if (reported.outcome == call_outcome::completed)
        {
            auto buffered = reported.answer ? from_stored(*reported.answer)
                                            : std::move(*call_.answer);
            co_await call_.send(std::move(buffered));
            co_return;
        }
        const refusal refused{
            to_reason(reported.reason),
            reported.outcome,
            retry_after_of(call_, reported.reason)};
        co_await call_.refuse(refused);
    }

    static buffered_answer from_stored(const messages::stored_answer& stored)
    {
        buffered_answer buffered;
        buffered.head.status = stored.status();
        for (const auto& item : stored.headers())
        {
            buffered.head.fields.push_back({item.name(), item.value()});
        }
        buffered.head.fields.push_back({"nutmeg-repeated-answer", "true"});
        if (stored.body_dropped())
        {
            buffered.head.fields.push_back({"nutmeg-body-dropped", "true"});
        }
        buffered.body = stored.body();
        return buffered;
    }

    peer_call& call_;
    std::function<asio::awaitable<void>()> run_;
    execution_guard guard_;
};

} // namespace

asio::awaitable<void> claim_filter::run_claimed(
    peer_call& call, std::function<asio::awaitable<void>()> run)
{
    claimed_execution execution(call, std::move(run));
    co_await execution.perform();
}

} // namespace nutmegusher::node
