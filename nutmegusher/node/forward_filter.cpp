#include "nutmegusher/node/forward_filter.hpp"

#include "nutmegusher/node/forward_try.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegusher::node
{

namespace
{

// A first call waits this long for the upstreams of its service to become
// known; a sync with a control host takes a round trip.
constexpr duration first_routes_limit = std::chrono::seconds(1);
constexpr duration first_routes_step = std::chrono::milliseconds(2);
// A service without any upstream: one may announce itself at any moment, and
// takes about a second to be known everywhere.
constexpr duration come_back_without_upstream = std::chrono::seconds(1);
// The fence's answer decides between "not run" and "unknown"; a caller that
// was given up on isn't held back for longer than a commit needs.
constexpr duration fence_limit = std::chrono::milliseconds(250);
// The baseline of measurements: so many tries at each hop, whatever failed.
constexpr std::uint32_t naive_tries = 3;

// The tries of one call, until one brings an answer or none can.
class forwarding
{
public:
    explicit forwarding(entry_call& call)
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
                co_await give_up(last_.value_or(too_late()));
                co_return;
            }
            auto to = call_.here.shared.routes.start(
                call_.work_class->service,
                call_.facts(),
                tried_,
                call_.here.random);
            if (!to)
            {
                co_await give_up(last_.value_or(nowhere()));
                co_return;
            }
            if (co_await try_at(*std::move(to)))
            {
                co_return;
            }
        }
    }

private:
    asio::awaitable<void> wait_for_routes()
    {
        auto& routes = call_.here.shared.routes;
        const auto& service = call_.work_class->service;
        if (routes.known(service))
        {
            co_return;
        }
        if (routes.want(service))
        {
            call_.here.shared.sync_soon();
        }
        const auto until = host_clock().now() +
                           std::min(first_routes_limit, call_.time_left());
        asio::steady_timer pause(co_await asio::this_coro::executor);
        while (!routes.known(service) && host_clock().now() < until)
        {
            pause.expires_after(first_routes_step);
            co_await pause.async_wait(asio::use_awaitable);
        }
    }

    // True: the call has its final answer.
    asio::awaitable<bool> try_at(route to)
    {
        tried_.push_back(to.handle);
        ++call_.tries;
        forward_try one(call_, std::move(to));
        auto result = co_await one.run();
        if (result)
        {
            call_.answered = true;
            auto answer = *std::move(result);
            if (co_await one.pass_on(std::move(answer)))
            {
                call_.count_completed();
            }
            co_return true;
        }
        auto failed = result.error();
        if (!call_.work_class->repeatable && !failed.certainly_not_run &&
            failed.told.reason != call_reason::in_progress)
        {
            if (co_await settle_by_fence(one.attempt(), failed))
            {
                co_return true;
            }
        }
        may_have_run_ = may_have_run_ || !failed.certainly_not_run;
        last_ = failed.told;
        co_return !co_await may_try_again(failed);
    }

    // Asks the claim log what became of the attempt. True: its first answer
    // was passed on.
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
            call_.here.peers,
            call_.here.shared.claims,
            std::move(command),
            fence_limit);
        if (!result)
        {
            failed.told.result = call_outcome::unknown;
            co_return false;
        }
        const auto told = outcome_of_fence(*result);
        failed.told.result = told.outcome;
        failed.certainly_not_run = told.outcome == call_outcome::not_run;
        if (told.outcome != call_outcome::completed || !told.answer)
        {
            co_return false;
        }
        co_await pass_stored(*told.answer);
        co_return true;
    }

    asio::awaitable<void> pass_stored(const messages::stored_answer& stored)
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

    // False: the call was given up on and answered.
    asio::awaitable<bool> may_try_again(const try_failed& failed)
    {
        const auto decided = decide(failed);
        const bool replayable = call_.body_complete && !*call_.caller_gone;
        if (std::holds_alternative<no_retry>(decided) || !replayable)
        {
            co_await give_up(failed.told);
            co_return false;
        }
        if (!call_.here.shared.configured.measurement.naive)
        {
            call_.tokens().spend();
        }
        if (const auto* later = std::get_if<retry_after>(&decided))
        {
            tried_.clear();
            asio::steady_timer pause(co_await asio::this_coro::executor);
            pause.expires_after(later->pause);
            co_await pause.async_wait(asio::use_awaitable);
        }
        co_return true;
    }

    retry_decision decide(const try_failed& failed)
    {
        const bool may_repeat =
            call_.work_class->repeatable || failed.certainly_not_run;
        if (call_.here.shared.configured.measurement.naive)
        {
            tried_.clear();
            return may_repeat && call_.tries < naive_tries
                       ? retry_decision(retry_at_once())
                       : retry_decision(no_retry());
        }
        failed_try facts;
        facts.how = failed.how;
        facts.repeatable = call_.work_class->repeatable;
        facts.certainly_not_run = failed.certainly_not_run;
        facts.tokens = call_.tokens().count();
        facts.time_left = call_.time_left();
        facts.has_alternative = call_.here.shared.routes.has_alternative(
            call_.work_class->service, call_.facts(), tried_);
        facts.tries = call_.tries;
        return decide_retry(facts, call_.here.random);
    }

    asio::awaitable<void> give_up(refusal told)
    {
        if (may_have_run_)
        {
            told.result = call_outcome::unknown;
        }
        if (told.come_back <= duration::zero() && status_of(told.reason) >= 500)
        {
            // A fault without a known end: about the time that a call takes.
            told.come_back = jittered(
                std::max(min_retry_after, call_.work_class->target / 2),
                call_.here.random);
        }
        co_await call_.refuse(told);
    }

    [[nodiscard]] static refusal too_late()
    {
        return {call_reason::deadline, call_outcome::not_run};
    }

    [[nodiscard]] static refusal nowhere()
    {
        return {
            call_reason::no_upstream,
            call_outcome::not_run,
            come_back_without_upstream};
    }

    entry_call& call_;
    std::vector<upstream_handle> tried_;
    std::optional<refusal> last_;
    // One of the tries wasn't proved not to have run: only a repeatable call
    // is tried again after that, and its caller isn't told "not run".
    bool may_have_run_ = false;
};

} // namespace

asio::awaitable<void> forward_filter::run(entry_call& call)
{
    forwarding tries(call);
    co_await tries.run();
}

} // namespace nutmegusher::node
