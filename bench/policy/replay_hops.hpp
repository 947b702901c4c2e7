// Part of replay.hpp: the calling daemon's side of a call.
#ifndef NUTMEGUSHER_BENCH_POLICY_REPLAY_HOPS_HPP
#define NUTMEGUSHER_BENCH_POLICY_REPLAY_HOPS_HPP

#include "bench/policy/replay.hpp"

namespace nutmegusher::bench
{

template <class Decisions>
void replay<Decisions>::build_hosts()
{
    hosts_by_service_.resize(load_.services.size());
    for (std::size_t service = 0; service < load_.services.size(); ++service)
    {
        const trace_service& one = load_.services[service];
        for (std::size_t index = 0; index < one.upstreams; ++index)
        {
            hosts_by_service_[service].push_back(hosts_.size());
            hosts_.push_back(
                {.service = service,
                 .index = index,
                 .data_center = (index + service) % load_.data_centers,
                 .admission = Decisions::make_admission(one, engine_()),
                 .routers = {},
                 .gate = {},
                 .levels = {},
                 .budgets = {},
                 .keys = {}});
        }
    }
    for (host& one : hosts_)
    {
        build_routers(one);
        one.budgets.resize(load_.classes.size());
    }
}

template <class Decisions>
void replay<Decisions>::build_routers(host& one)
{
    one.routers.resize(load_.services.size());
    for (std::size_t service = 0; service < load_.services.size(); ++service)
    {
        std::vector<candidate> candidates;
        for (const std::size_t other : hosts_by_service_[service])
        {
            const bool near = hosts_[other].data_center == one.data_center;
            candidates.push_back(
                {host_id(std::to_string(other)),
                 near ? network_distance::same_data_center
                      : network_distance::same_region,
                 false});
        }
        one.routers[service].update(candidates, events_.now());
    }
}

template <class Decisions>
const trace_class& replay<Decisions>::class_of(const client_try& client) const
{
    return load_.classes[requests_.at(client.request).work_class];
}

template <class Decisions>
const trace_class& replay<Decisions>::class_of(const hop_call& call) const
{
    return class_of(clients_.at(call.client));
}

template <class Decisions>
call_info replay<Decisions>::call_info_of(const hop_call& call) const
{
    const client_try& client = clients_.at(call.client);
    const client_request& request = requests_.at(client.request);
    const trace_class& one = class_of(client);
    call_info info;
    info.ticket = ticket_id(call.ticket);
    info.rank = one.rank;
    info.customer = stable_hash("customer", request.customer);
    info.work_class = stable_hash(one.name);
    info.request = stable_hash("request", call.client);
    info.deadline = client.deadline - load_.client_delay;
    info.target = one.target - load_.client_delay * 2;
    // Only the first hop transfers the whole body; sub-calls are short.
    info.bulk = one.bulk && call.depth == 0;
    info.sub_call = call.depth > 0;
    info.repeatable = one.repeatable;
    return info;
}

template <class Decisions>
hop_call* replay<Decisions>::find(serial call, serial ticket)
{
    const auto found = calls_.find(call);
    const bool same = found != calls_.end() && found->second.ticket == ticket;
    return same ? &found->second : nullptr;
}

template <class Decisions>
duration
replay<Decisions>::network_delay(std::size_t from, std::size_t to) const
{
    // One way within a data centre takes 0.1 ms.
    const bool near = hosts_[from].data_center == hosts_[to].data_center;
    return near ? std::chrono::microseconds(100) : load_.data_center_delay;
}

template <class Decisions>
void replay<Decisions>::start_call(
    serial client,
    std::size_t depth,
    std::size_t caller,
    serial parent,
    std::uint32_t tokens)
{
    client_try& one = clients_.at(client);
    hop_call call;
    call.id = ++last_serial_;
    call.client = client;
    call.depth = depth;
    call.caller = caller;
    call.parent = parent;
    call.tokens = tokens;
    one.calls.resize(depth);
    one.calls.push_back(call.id);
    if (one.reached <= depth)
    {
        one.reached = depth + 1;
        ++report_.first_calls_by_depth[depth];
    }
    const serial id = call.id;
    calls_.emplace(id, std::move(call));
    start_try(id);
}

template <class Decisions>
void replay<Decisions>::start_try(serial call)
{
    const auto found = calls_.find(call);
    if (found == calls_.end())
    {
        return;
    }
    hop_call& one = found->second;
    const std::size_t service = class_of(one).hops[one.depth].service;
    auto& route = hosts_[one.caller].routers[service];
    one.ticket = ++last_serial_;
    one.stage = call_stage::in_transit;
    const call_info info = call_info_of(one);
    const auto chosen = route.choose(info, one.tried, events_.now(), engine_);
    if (!chosen)
    {
        end_call(
            call, {.how = try_failure::overload, .certainly_not_run = true});
        return;
    }
    ++one.tries;
    ++report_.calls_by_depth[one.depth];
    const token_split split = split_tokens(one.tokens);
    one.tokens = split.kept;
    one.sent_tokens = split.sent;
    one.handle = *chosen;
    one.tried.push_back(*chosen);
    one.upstream = hosts_by_service_[service][chosen->value() - 1];
    one.sent_at = events_.now();
    route.on_start(*chosen, info.bulk, events_.now());
    events_.after(
        network_delay(one.caller, one.upstream),
        [this, call, ticket = one.ticket]
        {
            arrive(call, ticket);
        });
    if constexpr (Decisions::gives_up_tries)
    {
        const auto limit = route.try_timeout(*chosen, info.bulk);
        if (limit && info.repeatable)
        {
            events_.after(
                *limit,
                [this, call, ticket = one.ticket]
                {
                    give_up_try(call, ticket);
                });
        }
    }
}

template <class Decisions>
void replay<Decisions>::give_up_try(serial call, serial ticket)
{
    hop_call* const one = find(call, ticket);
    if (one == nullptr || one->stage == call_stage::ended || one->tokens == 0)
    {
        return;
    }
    const call_info info = call_info_of(*one);
    auto& route = hosts_[one->caller].routers[hosts_[one->upstream].service];
    if (!route.should_try_elsewhere(info, one->tried, events_.now()))
    {
        return;
    }
    client_try& client = clients_.at(one->client);
    // Abandoning the try aborts its sub-calls too; the retry tokens passed on
    // to them are lost.
    for (std::size_t depth = client.calls.size(); depth-- > one->depth;)
    {
        const auto below = calls_.find(client.calls[depth]);
        if (below != calls_.end())
        {
            abort(below->second);
        }
        if (depth > one->depth)
        {
            calls_.erase(client.calls[depth]);
        }
    }
    client.calls.resize(one->depth + 1);
    --one->tokens;
    ++client.retries;
    report_.max_retries_per_try =
        std::max(report_.max_retries_per_try, client.retries);
    one->stage = call_stage::ended;
    start_try(call);
}

template <class Decisions>
void replay<Decisions>::reply(hop_call& call, const try_answer& answer)
{
    host& at = hosts_[call.upstream];
    try_answer complete = answer;
    complete.levels.own = at.admission.level(events_.now());
    complete.levels.deeper =
        at.levels.deeper_for(call_info_of(call).work_class, events_.now());
    call.stage = call_stage::ended;
    call_of_ticket_.erase(call.ticket);
    events_.after(
        network_delay(call.upstream, call.caller),
        [this, id = call.id, ticket = call.ticket, complete]
        {
            receive_reply(id, ticket, complete);
        });
}

template <class Decisions>
void replay<Decisions>::record_outcome(
    const hop_call& call, const try_answer& answer)
{
    const call_info info = call_info_of(call);
    const time_point now = events_.now();
    host& caller = hosts_[call.caller];
    auto& route = caller.routers[hosts_[call.upstream].service];
    if (answer.ok)
    {
        route.on_answer(call.handle, info.bulk, now - call.sent_at, now);
    }
    else
    {
        route.on_neutral(call.handle, info.bulk, now);
    }
    route.on_level(call.handle, answer.levels.own, now);
    if constexpr (Decisions::gated)
    {
        const admission_level path_level =
            call_path_level(route, answer.levels, info.bulk, now);
        if (call.depth == 0)
        {
            caller.gate.on_level(info, path_level, now);
        }
        else
        {
            caller.levels.on_sub_call_level(info.work_class, path_level, now);
        }
    }
}

template <class Decisions>
void replay<Decisions>::receive_reply(
    serial call, serial ticket, const try_answer& answer)
{
    hop_call* const one = find(call, ticket);
    if (one == nullptr)
    {
        return;
    }
    record_outcome(*one, answer);
    one->tokens += std::exchange(one->sent_tokens, 0);
    if (answer.ok)
    {
        end_call(call, answer);
        return;
    }
    const call_info info = call_info_of(*one);
    auto& route = hosts_[one->caller].routers[hosts_[one->upstream].service];
    failed_try failed;
    failed.how = answer.how;
    failed.repeatable = info.repeatable;
    failed.certainly_not_run = answer.certainly_not_run;
    failed.tokens = one->tokens;
    failed.time_left = info.deadline - events_.now();
    failed.has_alternative =
        route.has_alternative(info, one->tried, events_.now());
    failed.tries = one->tries;
    const retry_decision verdict = Decisions::retry(failed, engine_);
    if (std::holds_alternative<no_retry>(verdict))
    {
        end_call(call, answer);
        return;
    }
    one->tokens -= std::min<std::uint32_t>(one->tokens, 1);
    client_try& client = clients_.at(one->client);
    ++client.retries;
    report_.max_retries_per_try =
        std::max(report_.max_retries_per_try, client.retries);
    duration pause{0};
    if (const auto* later = std::get_if<retry_after>(&verdict))
    {
        pause = later->pause;
        one->tried.clear();
    }
    events_.after(
        pause,
        [this, call]
        {
            start_try(call);
        });
}

template <class Decisions>
void replay<Decisions>::end_call(serial call, const try_answer& answer)
{
    const hop_call one = calls_.at(call);
    calls_.erase(call);
    client_try& client = clients_.at(one.client);
    if (one.parent == 0)
    {
        hosts_[client.entry]
            .budgets[requests_.at(client.request).work_class]
            .end(client.tokens, one.tokens);
        answer_client(one.client, answer);
        return;
    }
    const auto parent = calls_.find(one.parent);
    if (parent != calls_.end())
    {
        parent->second.sent_tokens = one.tokens;
        sub_call_done(parent->second, answer);
    }
}

template <class Decisions>
void replay<Decisions>::abort_calls(client_try& client)
{
    bool first = true;
    for (const serial id : client.calls)
    {
        const auto found = calls_.find(id);
        if (found == calls_.end())
        {
            continue;
        }
        if (first)
        {
            // Retry tokens that deeper hops hold are lost.
            hosts_[client.entry]
                .budgets[requests_.at(client.request).work_class]
                .end(client.tokens, found->second.tokens);
        }
        first = false;
        abort(found->second);
        calls_.erase(id);
    }
    client.calls.clear();
}

template <class Decisions>
void replay<Decisions>::abort(hop_call& call)
{
    const bool bulk = call_info_of(call).bulk;
    const time_point now = events_.now();
    if (call.stage != call_stage::ended)
    {
        auto& route =
            hosts_[call.caller].routers[hosts_[call.upstream].service];
        route.on_failure(call.handle, bulk, now);
    }
    const std::size_t at = call.upstream;
    const serial ticket = call.ticket;
    call_of_ticket_.erase(ticket);
    switch (call.stage)
    {
    case call_stage::in_transit:
    case call_stage::ended:
        break;
    case call_stage::waiting:
        apply(at, hosts_[at].admission.cancel(ticket_id(ticket), now));
        break;
    case call_stage::in_backlog:
        std::erase(hosts_[at].backlog, call.id);
        finish_call(at, ticket, call_result::timed_out);
        break;
    case call_stage::working:
    case call_stage::in_sub_call:
        finish_call(at, ticket, call_result::timed_out);
        release_slot(at);
        break;
    }
}

} // namespace nutmegusher::bench

#endif
