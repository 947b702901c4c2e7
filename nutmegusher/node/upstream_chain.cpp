#include "nutmegusher/node/upstream_chain.hpp"

#include "nutmegusher/node/claim_filter.hpp"
#include "nutmegusher/node/filter_chain.hpp"
#include "nutmegusher/node/peer_call.hpp"
#include "nutmegusher/node/upstream_filter.hpp"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace nutmegusher::node
{

namespace
{

// Records the request, so that its sub-calls find rank, deadline and tokens.
struct ledger_filter
{
    template <class Next>
    asio::awaitable<void> operator()(peer_call& call, Next next)
    {
        request_context terms;
        terms.rank = call.terms.rank;
        terms.deadline = call.terms.deadline;
        terms.customer = call.terms.customer;
        terms.work_class = call.terms.work_class;
        call.running.emplace(call.here.shared.ledger.open(
            call.terms.request,
            std::move(terms),
            retry_tokens::received(call.terms.tokens)));
        co_await next();
    }
};

// Short bodies are read before admission, so that a slow sender holds no slot.
struct body_filter
{
    template <class Next>
    asio::awaitable<void> operator()(peer_call& call, Next next)
    {
        const auto& limits = call.here.shared.configured.limits;
        const auto most = call.terms.repeatable ? limits.buffered_body_bytes
                                                : limits.claimed_body_bytes;
        if (!co_await read_body(call, most))
        {
            co_return;
        }
        if (!call.terms.repeatable && !call.body_complete)
        {
            const refusal refused{call_reason::too_large};
            co_await call.refuse(refused);
            co_return;
        }
        co_await next();
    }
};

call_reason to_reason(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::overload:
        return call_reason::overload;
    case refusal_reason::fair_share:
        return call_reason::fair_share;
    case refusal_reason::deadline:
        return call_reason::deadline;
    case refusal_reason::leaving:
        break;
    }
    return call_reason::leaving;
}

// Lets the call in, lets it wait, or turns it away.
class admission_filter
{
public:
    template <class Next>
    asio::awaitable<void> operator()(peer_call& call, Next next)
    {
        auto& gate = call.here.shared.admission;
        const auto facts = facts_of(call, gate.next_ticket());
        const auto ticket = facts.ticket;
        call.cancelled->stop = [&gate, ticket]
        {
            gate.cancel(ticket);
        };
        const auto verdict = co_await gate.enter(facts);
        call.cancelled->stop = nullptr;
        if (const auto* no = std::get_if<refused>(&verdict))
        {
            const refusal refused{
                to_reason(no->reason), call_outcome::not_run, no->retry_after};
            co_await call.refuse(refused);
            co_return;
        }
        if (std::holds_alternative<gone>(verdict))
        {
            co_return;
        }
        slot held(call, facts);
        call.release_slot = [&held]
        {
            held.release_now();
        };
        co_await next();
        call.release_slot = [] {};
    }

private:
    // Gives the slot back with the call's result when the call ends, and at the
    // deadline of one whose answer is waited for longer (it may not be
    // repeated). Load pattern: connections that have gone silent. Without it
    // each such call would hold its slot for a minute.
    class slot
    {
    public:
        slot(peer_call& call, const call_info& facts)
            : call_(call)
            , facts_(facts)
            , deadline_(call.here.context)
        {
            deadline_.expires_at(facts.deadline);
            std::weak_ptr<slot*> weak = alive_;
            deadline_.async_wait(
                [weak](boost::system::error_code)
                {
                    if (const auto self = weak.lock())
                    {
                        (*self)->release(call_result::timed_out);
                    }
                });
        }

        ~slot()
        {
            release(call_.result);
        }

        slot(const slot&) = delete;
        slot& operator=(const slot&) = delete;

        void release_now()
        {
            release(call_.result);
        }

    private:
        void release(call_result result)
        {
            if (!std::exchange(released_, true))
            {
                call_.here.shared.admission.finish(facts_, result);
            }
        }

        peer_call& call_;
        call_info facts_;
        asio::steady_timer deadline_;
        std::shared_ptr<slot*> alive_ = std::make_shared<slot*>(this);
        bool released_ = false;
    };

    static call_info facts_of(const peer_call& call, ticket_id ticket)
    {
        call_info facts;
        facts.ticket = ticket;
        facts.rank = call.terms.rank;
        facts.customer = stable_hash(call.terms.customer.str());
        facts.work_class = stable_hash(call.terms.work_class.str());
        facts.request = stable_hash(call.terms.request.str());
        facts.deadline = call.terms.deadline;
        facts.target = call.terms.target;
        facts.bulk = call.terms.bulk;
        facts.repeatable = call.terms.repeatable;
        return facts;
    }
};

} // namespace

asio::awaitable<void>
serve_peer_call(worker& here, std::shared_ptr<wire::server_stream> stream)
{
    peer_call call(here, std::move(stream));
    std::weak_ptr<cancellation> weak = call.cancelled;
    call.stream->on_cancelled(
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
    const auto view = here.shared.configuration.current();
    auto terms = parse_terms(call.stream->head(), *view);
    if (!terms)
    {
        const refusal refused{terms.error()};
        co_await call.refuse(refused);
        co_return;
    }
    call.terms = *std::move(terms);
    ledger_filter ledger;
    body_filter body;
    admission_filter admission;
    claim_filter claim;
    upstream_filter upstream;
    co_await run_filters(call, ledger, body, admission, claim, upstream);
}

} // namespace nutmegusher::node
