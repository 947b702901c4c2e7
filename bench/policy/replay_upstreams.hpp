// Part of replay.hpp: an upstream and the admission of the daemon beside it.
#ifndef NUTMEGUSHER_BENCH_POLICY_REPLAY_UPSTREAMS_HPP
#define NUTMEGUSHER_BENCH_POLICY_REPLAY_UPSTREAMS_HPP

#include "bench/policy/replay.hpp"

namespace nutmegusher::bench
{

template <class Decisions>
void replay<Decisions>::arrive(serial call, serial ticket)
{
    hop_call* const one = find(call, ticket);
    if (one == nullptr)
    {
        return;
    }
    const std::size_t at = one->upstream;
    call_of_ticket_[ticket] = call;
    one->stage = call_stage::waiting;
    const arrival_result verdict =
        hosts_[at].admission.arrive(call_info_of(*one), events_.now());
    // Applying an outcome calls the admission again, which invalidates the
    // span.
    const std::vector<queue_outcome> others(
        verdict.outcomes.begin(), verdict.outcomes.end());
    if (std::holds_alternative<admitted>(verdict.verdict))
    {
        apply_outcome(at, {ticket_id(ticket), admitted{}});
    }
    else if (const auto* refusal = std::get_if<refused>(&verdict.verdict))
    {
        apply_outcome(at, {ticket_id(ticket), *refusal});
    }
    apply(at, others);
}

template <class Decisions>
void replay<Decisions>::apply(
    std::size_t at, std::span<const queue_outcome> outcomes)
{
    const std::vector<queue_outcome> all(outcomes.begin(), outcomes.end());
    for (const queue_outcome& one : all)
    {
        apply_outcome(at, one);
    }
    schedule_wake(at);
}

template <class Decisions>
void replay<Decisions>::apply_outcome(std::size_t at, const queue_outcome& one)
{
    const auto ticket = call_of_ticket_.find(one.ticket.value());
    if (ticket == call_of_ticket_.end())
    {
        return;
    }
    hop_call& call = calls_.at(ticket->second);
    if (const auto* refusal = std::get_if<refused>(&one.verdict))
    {
        reply(
            call,
            {.how = try_failure::overload,
             .certainly_not_run = true,
             .retry_after = refusal->retry_after});
        return;
    }
    dispatch(at, call);
}

template <class Decisions>
void replay<Decisions>::dispatch(std::size_t at, hop_call& call)
{
    host& here = hosts_[at];
    const trace_service& service = load_.services[here.service];
    if (here.busy < service.slots)
    {
        ++here.busy;
        begin_work(call);
        return;
    }
    if (service.slots + here.backlog.size() < service.connections)
    {
        call.stage = call_stage::in_backlog;
        here.backlog.push_back(call.id);
        return;
    }
    const serial ticket = call.ticket;
    reply(call, {.how = try_failure::overload, .certainly_not_run = true});
    finish_call(at, ticket, call_result::shed_by_upstream);
}

template <class Decisions>
duration replay<Decisions>::work_time(const hop_call& call)
{
    const host& here = hosts_[call.upstream];
    // Half of the mean is constant and half is exponentially distributed, as
    // in a service that reads and computes.
    std::exponential_distribution<double> tail(1.0);
    double factor = 0.5 + 0.5 * tail(engine_);
    const duration now = events_.elapsed();
    for (const trace_slowdown& slow : load_.slowdowns)
    {
        const bool here_now =
            slow.service == here.service && slow.from <= now && now < slow.to;
        if (here_now && slow.upstream.value_or(here.index) == here.index)
        {
            factor *= slow.factor;
        }
    }
    const duration mean = class_of(call).hops[call.depth].work;
    return std::chrono::duration_cast<duration>(mean * factor);
}

template <class Decisions>
void replay<Decisions>::begin_work(hop_call& call)
{
    call.stage = call_stage::working;
    const bool last = call.depth + 1 == class_of(call).hops.size();
    if (last)
    {
        client_request& request_state =
            requests_.at(clients_.at(call.client).request);
        ++request_state.runs;
        const bool duplicate =
            request_state.runs > 1 && !class_of(call).repeatable;
        report_.duplicates += duplicate ? 1 : 0;
    }
    const duration work = last ? work_time(call) : work_time(call) / 2;
    events_.after(
        work,
        [this, id = call.id, ticket = call.ticket, last]
        {
            if (last)
            {
                work_done(id, ticket);
            }
            else
            {
                first_half_done(id, ticket);
            }
        });
}

template <class Decisions>
void replay<Decisions>::first_half_done(serial call, serial ticket)
{
    hop_call* const one = find(call, ticket);
    if (one == nullptr)
    {
        return;
    }
    one->stage = call_stage::in_sub_call;
    hosts_[one->upstream].admission.sub_call_started(
        ticket_id(ticket), events_.now());
    const std::uint32_t tokens = std::exchange(one->sent_tokens, 0);
    // Copied, so that no reference into `calls_` is held while the sub-call
    // inserts into it.
    const hop_call parent = *one;
    start_call(parent.client, parent.depth + 1, parent.upstream, call, tokens);
}

template <class Decisions>
void replay<Decisions>::sub_call_done(hop_call& call, const try_answer& answer)
{
    const serial ticket = call.ticket;
    const std::size_t at = call.upstream;
    hosts_[at].admission.sub_call_ended(ticket_id(ticket), events_.now());
    if (answer.ok)
    {
        call.stage = call_stage::working;
        events_.after(
            work_time(call) / 2,
            [this, id = call.id, ticket]
            {
                work_done(id, ticket);
            });
        return;
    }
    const bool full = answer.how == try_failure::overload ||
                      answer.how == try_failure::overload_deeper;
    reply(
        call,
        {.how =
             full ? try_failure::overload_deeper : try_failure::upstream_failed,
         .certainly_not_run = answer.certainly_not_run,
         .retry_after = answer.retry_after});
    finish_call(at, ticket, call_result::failed);
    release_slot(at);
}

template <class Decisions>
void replay<Decisions>::work_done(serial call, serial ticket)
{
    hop_call* const one = find(call, ticket);
    if (one == nullptr)
    {
        return;
    }
    const std::size_t at = one->upstream;
    reply(*one, {.ok = true});
    finish_call(at, ticket, call_result::ok);
    release_slot(at);
}

template <class Decisions>
void replay<Decisions>::release_slot(std::size_t at)
{
    host& here = hosts_[at];
    --here.busy;
    while (!here.backlog.empty() &&
           here.busy < load_.services[here.service].slots)
    {
        const serial next = here.backlog.front();
        here.backlog.pop_front();
        ++here.busy;
        begin_work(calls_.at(next));
    }
}

template <class Decisions>
void replay<Decisions>::finish_call(
    std::size_t at, serial ticket, call_result result)
{
    apply(
        at,
        hosts_[at].admission.finish(ticket_id(ticket), result, events_.now()));
}

template <class Decisions>
void replay<Decisions>::schedule_wake(std::size_t at)
{
    const auto next = hosts_[at].admission.next_event();
    if (!next || *next >= hosts_[at].wake_at)
    {
        return;
    }
    hosts_[at].wake_at = *next;
    events_.at(
        *next,
        [this, at, when = *next]
        {
            if (hosts_[at].wake_at == when)
            {
                wake(at);
            }
        });
}

template <class Decisions>
void replay<Decisions>::wake(std::size_t at)
{
    hosts_[at].wake_at = time_point::max();
    apply(at, hosts_[at].admission.tick(events_.now()));
}

} // namespace nutmegusher::bench

#endif
