#include "nutmegusher/node/upstream_chain.hpp"

#include "nutmegusher/node/claim_filter.hpp"
#include "nutmegusher/node/filter_chain.hpp"
#include "nutmegusher/node/given_up_request.hpp"
#include "nutmegusher/node/peer_call.hpp"
#include "nutmegusher/node/upstream_filter.hpp"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace nutmegusher::node
{

namespace
{

// Records the request in the ledger, where its sub-calls find its rank,
// deadline and retry tokens.
struct ledger_filter
{
    template <class Next>
    asio::awaitable<void> operator()(peer_call& call, Next next)
    {
        request_context metadata;
        metadata.rank = call.metadata.rank;
        metadata.deadline = call.metadata.deadline;
        metadata.customer = call.metadata.customer;
        metadata.work_class = call.metadata.work_class;
        call.running.emplace(call.owner.shared.ledger.open(
            call.metadata.request,
            std::move(metadata),
            retry_tokens::received(call.metadata.tokens)));
        co_await next();
    }
};

// Reads short bodies before admission, so that a slow sender doesn't hold a
// slot.
struct body_filter
{
    template <class Next>
    asio::awaitable<void> operator()(peer_call& call, Next next)
    {
        const auto& limits = call.owner.shared.configured.limits;
        const auto max_bytes = call.metadata.repeatable
                                   ? limits.buffered_body_bytes
                                   : limits.claimed_body_bytes;
        if (!co_await read_body(call, max_bytes))
        {
            co_return;
        }
        if (!call.metadata.repeatable && !call.body_complete)
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

// Whether the call ends before this process gives up what is in flight.
bool ends_before_stop(const peer_call& call)
{
    auto& shared = call.owner.shared;
    const bool ends =
        shared.drain.admits(host_clock().now(), call.metadata.deadline);
    if (!ends)
    {
        shared.decisions.add(
            decision_counter::requests_outlasting_stop,
            to_string(call_side::upstream));
    }
    return ends;
}

// Asks the admission controller for a slot; the call is admitted, queued or
// refused.
class admission_filter
{
public:
    template <class Next>
    asio::awaitable<void> operator()(peer_call& call, Next next)
    {
        auto& gate = call.owner.shared.admission;
        const auto info = make_call_info(call, gate.next_ticket());
        const auto ticket = info.ticket;
        call.cancelled->stop = [&gate, ticket]
        {
            gate.cancel(ticket);
        };
        const auto verdict = co_await gate.enter(info);
        call.cancelled->stop = nullptr;
        if (const auto* rejection = std::get_if<refused>(&verdict))
        {
            const refusal refused{
                to_reason(rejection->reason),
                call_outcome::not_run,
                rejection->retry_after};
            co_await call.refuse(refused);
            co_return;
        }
        if (std::holds_alternative<caller_left>(verdict))
        {
            co_return;
        }
        slot held_slot(call, info);
        if (!ends_before_stop(call))
        {
            const refusal refused{
                call_reason::leaving, call_outcome::not_run, min_retry_after};
            co_await call.refuse(refused);
            co_return;
        }
        call.release_slot = [&held_slot]
        {
            held_slot.release_now();
        };
        co_await next();
        call.release_slot = [] {};
    }

private:
    // Releases the slot with the call's result when the call ends, but no later
    // than at its deadline: a call that isn't repeatable may wait longer than
    // that for its answer. Pattern of load: connections that have gone silent.
    // Without the deadline each such call would hold its slot for a minute.
    class slot
    {
    public:
        slot(peer_call& call, const call_info& info)
            : call_(call)
            , info_(info)
            , deadline_(call.owner.context)
        {
            deadline_.expires_at(info.deadline);
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
                call_.owner.shared.admission.finish(info_, result);
            }
        }

        peer_call& call_;
        call_info info_;
        asio::steady_timer deadline_;
        std::shared_ptr<slot*> alive_ = std::make_shared<slot*>(this);
        bool released_ = false;
    };

    static call_info make_call_info(const peer_call& call, ticket_id ticket)
    {
        call_info info;
        info.ticket = ticket;
        info.rank = call.metadata.rank;
        info.customer = stable_hash(call.metadata.customer.str());
        info.work_class = stable_hash(call.metadata.work_class.str());
        info.request = stable_hash(call.metadata.request.str());
        info.deadline = call.metadata.deadline;
        info.target = call.metadata.target;
        info.bulk = call.metadata.bulk;
        info.repeatable = call.metadata.repeatable;
        return info;
    }
};

void record_given_up(const peer_call& call)
{
    given_up_request ended;
    ended.side = call_side::upstream;
    ended.request = call.metadata.request.str();
    ended.class_name = call.metadata.work_class.str();
    ended.phase = call.result == call_result::never_started
                      ? request_phase::queued
                      : request_phase::running;
    ended.arrived = call.arrived;
    ended.deadline = call.metadata.deadline;
    node::record_given_up(call.owner.shared, ended);
}

} // namespace

asio::awaitable<void>
serve_peer_call(worker& owner, std::shared_ptr<wire::server_stream> stream)
{
    peer_call call(owner, std::move(stream));
    std::weak_ptr<cancellation> weak = call.cancelled;
    call.stream->on_cancelled(
        [weak, &call]
        {
            // Only the call holds it.
            const auto shared = weak.lock();
            if (!shared)
            {
                return;
            }
            if (!call.stream->cancelled())
            {
                record_given_up(call);
            }
            shared->requested = true;
            if (shared->stop)
            {
                shared->stop();
            }
        });
    const auto view = owner.shared.configuration.current();
    auto metadata = parse_peer_metadata(call.stream->head(), *view);
    if (!metadata)
    {
        const refusal refused{metadata.error()};
        co_await call.refuse(refused);
        co_return;
    }
    call.metadata = *std::move(metadata);
    ledger_filter ledger;
    body_filter body;
    admission_filter admission;
    claim_filter claim;
    upstream_filter upstream;
    co_await run_filters(call, ledger, body, admission, claim, upstream);
}

} // namespace nutmegusher::node
