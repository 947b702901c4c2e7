#include "nutmegusher/node/forward_filter.hpp"

#include "nutmegusher/node/forward_try.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegusher::node
{

namespace
{

// How long the first call to a service waits until the service's upstreams are
// known. A sync with a control host takes one round trip.
constexpr duration first_routes_timeout = std::chrono::seconds(1);
constexpr duration first_routes_poll_interval = std::chrono::milliseconds(2);
// Retry after a refusal because the service has no upstream. One may announce
// itself at any moment, and is known to all daemons about a second later.
constexpr duration retry_without_upstream_after = std::chrono::seconds(1);
// The claim log's reply to the fence decides between "not run" and "unknown".
// The caller's refusal isn't delayed for longer than a commit needs.
constexpr duration fence_timeout = std::chrono::milliseconds(250);
// The benchmarks' baseline: tries per hop, regardless of the kind of failure.
constexpr std::uint32_t max_naive_tries = 3;

// Tries upstreams one after the other until one answers or no further try is
// allowed.
class try_sequence
{
public:
    explicit try_sequence(entry_call& call)
        : call_(call)
    {
    }

    asio::awaitable<void> run()
    {
        co_await wait_for_routes();
        while (true)
        {
            if (call_.time_left() <= duration::zero())
            {
                co_await give_up(last_refusal_.value_or(deadline_refusal()));
                co_return;
            }
            if (!ends_before_stop())
            {
                co_await give_up(outlasting_stop());
                co_return;
            }
            auto to = call_.owner.shared.routes.start(
                call_.work_class->service,
                call_.info(),
                tried_,
                call_.owner.random);
            if (!to)
            {
                co_await give_up(last_refusal_.value_or(no_upstream_refusal()));
                co_return;
            }
            if (co_await try_upstream(*std::move(to)))
            {
                co_return;
            }
        }
    }

private:
    asio::awaitable<void> wait_for_routes()
    {
        auto& routes = call_.owner.shared.routes;
        const auto& service = call_.work_class->service;
        if (routes.is_known(service))
        {
            co_return;
        }
        if (routes.request_routes(service))
        {
            call_.owner.shared.request_sync();
        }
        const auto until = host_clock().now() +
                           std::min(first_routes_timeout, call_.time_left());
        asio::steady_timer pause(co_await asio::this_coro::executor);
        while (!routes.is_known(service) && host_clock().now() < until)
        {
            pause.expires_after(first_routes_poll_interval);
            co_await pause.async_wait(asio::use_awaitable);
        }
    }

    // Returns true if the caller has been sent a final answer.
    asio::awaitable<bool> try_upstream(route to)
    {
        tried_.push_back(to.handle);
        ++call_.tries;
        forward_try current_try(call_, std::move(to));
        auto result = co_await current_try.run();
        if (result)
        {
            call_.answered = true;
            auto answer = *std::move(result);
            if (co_await current_try.forward_answer(std::move(answer)))
            {
                call_.count_completed();
            }
            co_return true;
        }
        auto failed = result.error();
        if (!call_.work_class->repeatable && !failed.certainly_not_run &&
            failed.caller_refusal.reason != call_reason::in_progress)
        {
            if (co_await settle_by_fence(current_try.attempt(), failed))
            {
                co_return true;
            }
        }
        may_have_run_ = may_have_run_ || !failed.certainly_not_run;
        last_refusal_ = failed.caller_refusal;
        co_return !co_await prepare_retry(failed);
    }

    // Fences the attempt in the claim log, which tells whether it ran. Returns
    // true if the attempt had completed and its stored answer was sent to the
    // caller.
    asio::awaitable<bool>
    settle_by_fence(const messages::attempt& attempt, try_failed& failed)
    {
        messages::claim_command command;
        command.mutable_key()->set_customer(call_.customer.str());
        command.mutable_key()->set_class_name(call_.work_class->id.str());
        command.mutable_key()->set_idempotency_key(call_.key);
        *command.mutable_by() = attempt;
        command.mutable_fence();
        command.set_proposed_at_ms(wall_milliseconds());
        const auto result = co_await propose_claim(
            call_.owner.peers,
            call_.owner.shared.claims,
            std::move(command),
            fence_timeout);
        if (!result)
        {
            failed.caller_refusal.result = call_outcome::unknown;
            co_return false;
        }
        const auto reported = outcome_of_fence(*result);
        failed.caller_refusal.result = reported.outcome;
        failed.certainly_not_run = reported.outcome == call_outcome::not_run;
        if (reported.outcome != call_outcome::completed || !reported.answer)
        {
            co_return false;
        }
        co_await send_stored(*reported.answer);
        co_return true;
    }

    asio::awaitable<void> send_stored(const messages::stored_answer& stored)
    {
        wire::response_head head;
        head.status = stored.status();
        for (const auto& item : stored.headers())
        {
            head.fields.push_back({item.name(), item.value()});
        }
        head.fields.push_back(
            {std::string(field::outcome),
             std::string(to_string(call_outcome::completed))});
        head.fields.push_back(
            {std::string(field::tries), std::to_string(call_.tries)});
        head.fields.push_back(
            {std::string(field::request_id), call_.request.str()});
        call_.answered = true;
        if (co_await call_.exchange.answer(std::move(head), stored.body()))
        {
            call_.count_completed();
        }
    }

    // Decides on a retry and waits for its backoff. Returns false if there is
    // no retry; the caller has then been answered.
    asio::awaitable<bool> prepare_retry(const try_failed& failed)
    {
        const auto decided = decide(failed);
        const bool replayable = call_.body_complete && !*call_.caller_gone;
        if (std::holds_alternative<no_retry>(decided) || !replayable)
        {
            co_await give_up(failed.caller_refusal);
            co_return false;
        }
        if (!call_.owner.shared.configured.measurement.naive)
        {
            call_.tokens().spend();
        }
        if (const auto* delayed = std::get_if<retry_after>(&decided))
        {
            tried_.clear();
            asio::steady_timer pause(co_await asio::this_coro::executor);
            pause.expires_after(delayed->pause);
            co_await pause.async_wait(asio::use_awaitable);
        }
        co_return true;
    }

    retry_decision decide(const try_failed& failed)
    {
        const bool may_repeat =
            call_.work_class->repeatable || failed.certainly_not_run;
        if (call_.owner.shared.configured.measurement.naive)
        {
            tried_.clear();
            return may_repeat && call_.tries < max_naive_tries
                       ? retry_decision(retry_at_once())
                       : retry_decision(no_retry());
        }
        failed_try info;
        info.how = failed.how;
        info.repeatable = call_.work_class->repeatable;
        info.certainly_not_run = failed.certainly_not_run;
        info.tokens = call_.tokens().count();
        info.time_left = call_.time_left();
        info.has_alternative = call_.owner.shared.routes.has_alternative(
            call_.work_class->service, call_.info(), tried_);
        info.tries = call_.tries;
        return decide_retry(info, call_.owner.random);
    }

    asio::awaitable<void> give_up(refusal reported)
    {
        if (may_have_run_)
        {
            reported.result = call_outcome::unknown;
        }
        if (reported.retry_after <= duration::zero() &&
            status_of(reported.reason) >= 500)
        {
            // No retry time is known: use about the duration of a call.
            reported.retry_after = jittered(
                std::max(min_retry_after, call_.work_class->target / 2),
                call_.owner.random);
        }
        co_await call_.refuse(reported);
    }

    // Whether the call ends before this process gives up what is in flight.
    [[nodiscard]] bool ends_before_stop() const
    {
        auto& shared = call_.owner.shared;
        const bool ends =
            shared.drain.admits(host_clock().now(), call_.deadline);
        if (!ends)
        {
            shared.decisions.add(
                decision_counter::requests_outlasting_stop,
                to_string(call_side::entry));
        }
        return ends;
    }

    [[nodiscard]] refusal outlasting_stop() const
    {
        if (may_have_run_)
        {
            return *last_refusal_;
        }
        const auto time_left =
            call_.owner.shared.drain.time_left(host_clock().now());
        return {
            call_reason::leaving,
            call_outcome::not_run,
            std::max(min_retry_after, time_left)};
    }

    [[nodiscard]] static refusal deadline_refusal()
    {
        return {call_reason::deadline, call_outcome::not_run};
    }

    [[nodiscard]] static refusal no_upstream_refusal()
    {
        return {
            call_reason::no_upstream,
            call_outcome::not_run,
            retry_without_upstream_after};
    }

    entry_call& call_;
    std::vector<upstream_handle> tried_;
    std::optional<refusal> last_refusal_;
    // At least one try may have run. After that only a repeatable call is
    // retried, and the caller is never told "not run".
    bool may_have_run_ = false;
};

} // namespace

asio::awaitable<void> forward_filter::run(entry_call& call)
{
    try_sequence tries(call);
    co_await tries.run();
}

} // namespace nutmegusher::node
