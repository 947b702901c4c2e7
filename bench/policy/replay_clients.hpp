// Part of replay.hpp: how clients send requests and retry them.
#ifndef NUTMEGUSHER_BENCH_POLICY_REPLAY_CLIENTS_HPP
#define NUTMEGUSHER_BENCH_POLICY_REPLAY_CLIENTS_HPP

#include "bench/policy/replay.hpp"

namespace nutmegusher::bench
{

template <class Decisions>
replay<Decisions>::replay(const trace& load, std::uint64_t seed)
    : load_(load)
    , engine_(seed)
{
    build_hosts();
    std::size_t deepest = 0;
    for (const trace_class& one : load_.classes)
    {
        class_report empty;
        empty.name = one.name;
        empty.rank = one.rank;
        report_.classes.push_back(empty);
        deepest = std::max(deepest, one.hops.size());
    }
    report_.calls_by_depth.resize(deepest);
    report_.first_calls_by_depth.resize(deepest);
    report_.slices.resize(
        static_cast<std::size_t>(load_.end / report::slice) + 1);
}

template <class Decisions>
report replay<Decisions>::run()
{
    for (std::size_t index = 0; index < load_.classes.size(); ++index)
    {
        schedule_arrival(index, duration(0));
    }
    // Runs on past the end so that the last requests still get their answers.
    duration longest{0};
    for (const trace_class& one : load_.classes)
    {
        longest = std::max(longest, one.target);
    }
    events_.run_until(load_.end + longest * 2);
    return report_;
}

template <class Decisions>
void replay<Decisions>::schedule_arrival(std::size_t work_class, duration from)
{
    const trace_rate* current = nullptr;
    for (const trace_rate& rate : load_.classes[work_class].rates)
    {
        const bool over = rate.to <= from || rate.per_second <= 0;
        if (!over && (current == nullptr || rate.from < current->from))
        {
            current = &rate;
        }
    }
    if (current == nullptr)
    {
        return;
    }
    const duration start = std::max(from, current->from);
    std::exponential_distribution<double> gap(current->per_second);
    const duration next =
        start + std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(gap(engine_)));
    const bool in_segment = next < current->to;
    const duration when = in_segment ? next : current->to;
    if (when >= load_.end)
    {
        return;
    }
    events_.after(
        when - events_.elapsed(),
        [this, work_class, in_segment]
        {
            if (in_segment)
            {
                offer(work_class);
            }
            schedule_arrival(work_class, events_.elapsed());
        });
}

template <class Decisions>
void replay<Decisions>::offer(std::size_t work_class)
{
    const trace_class& one = load_.classes[work_class];
    client_request request;
    request.work_class = work_class;
    request.offered_at = events_.now();
    const bool first = uniform_unit(engine_) < one.first_customer_share;
    request.customer = first || one.customers == 1
                           ? 1
                           : 2 + uniform_below(engine_, one.customers - 1);
    const serial id = ++last_serial_;
    requests_.emplace(id, request);
    ++slice_of(request).all.offered;
    class_report& counts = report_.classes[work_class];
    ++counts.total.offered;
    const duration at = events_.elapsed();
    if (load_.surge_from <= at && at < load_.surge_to)
    {
        ++counts.in_surge.offered;
        ++(request.customer == 1 ? counts.first_customer_in_surge
                                 : counts.other_customers_in_surge)
              .offered;
    }
    send_try(id);
}

template <class Decisions>
time_slice& replay<Decisions>::slice_of(const client_request& request)
{
    const duration since = request.offered_at - manual_clock().now();
    return report_.slices[static_cast<std::size_t>(since / report::slice)];
}

template <class Decisions>
void replay<Decisions>::send_try(serial request)
{
    client_request& request_state = requests_.at(request);
    ++request_state.tries;
    ++report_.client_tries;
    const serial id = ++last_serial_;
    client_try client;
    client.request = request;
    client.entry = uniform_below(engine_, hosts_.size());
    client.sent_at = events_.now();
    client.deadline =
        events_.now() + load_.classes[request_state.work_class].target;
    clients_.emplace(id, client);
    events_.after(
        load_.client_delay,
        [this, id]
        {
            enter(id);
        });
    events_.at(
        client.deadline,
        [this, id]
        {
            client_gives_up(id);
        });
}

template <class Decisions>
void replay<Decisions>::enter(serial client)
{
    client_try& one = clients_.at(client);
    if (!one.client_waiting)
    {
        return;
    }
    client_request& request_state = requests_.at(one.request);
    host& entry = hosts_[one.entry];
    const bool again = entry.keys.is_repeated(one.request, events_.now()) ||
                       request_state.tries > 1;
    one.tokens = entry.budgets[request_state.work_class].begin(again);
    if constexpr (Decisions::gated)
    {
        hop_call first_call;
        first_call.client = client;
        const auto refusal =
            entry.gate.check(call_info_of(first_call), events_.now());
        if (refusal)
        {
            entry.budgets[request_state.work_class].end(one.tokens, one.tokens);
            one.tokens = 0;
            answer_client(
                client,
                {.how = try_failure::overload,
                 .certainly_not_run = true,
                 .retry_after = jittered(refusal->retry_after, engine_)});
            return;
        }
    }
    start_call(client, 0, one.entry, 0, one.tokens);
}

template <class Decisions>
void replay<Decisions>::answer_client(serial client, const try_answer& answer)
{
    events_.after(
        load_.client_delay,
        [this, client, answer]
        {
            receive_client_answer(client, answer);
        });
}

template <class Decisions>
void replay<Decisions>::receive_client_answer(
    serial client, const try_answer& answer)
{
    client_try& one = clients_.at(client);
    client_request& request_state = requests_.at(one.request);
    if (!one.client_waiting)
    {
        clients_.erase(client);
        return;
    }
    one.client_waiting = false;
    if (!answer.ok)
    {
        const serial request = one.request;
        clients_.erase(client);
        client_tries_again(request, answer.retry_after);
        return;
    }
    request_state.done = true;
    class_report& counts = report_.classes[request_state.work_class];
    counts.latencies.push_back(
        std::chrono::duration<double>(events_.now() - one.sent_at).count());
    ++counts.total.completed;
    time_slice& when = slice_of(request_state);
    ++when.all.completed;
    when.at_first_try += request_state.tries == 1 ? 1 : 0;
    const duration offered = request_state.offered_at - manual_clock().now();
    if (load_.surge_from <= offered && offered < load_.surge_to)
    {
        ++counts.in_surge.completed;
        ++(request_state.customer == 1 ? counts.first_customer_in_surge
                                       : counts.other_customers_in_surge)
              .completed;
    }
    const duration now = events_.elapsed();
    if (load_.surge_from <= now && now < load_.surge_to)
    {
        ++report_.completed_during_surge;
    }
    clients_.erase(client);
}

template <class Decisions>
void replay<Decisions>::client_gives_up(serial client)
{
    const auto found = clients_.find(client);
    if (found == clients_.end() || !found->second.client_waiting)
    {
        return;
    }
    client_try& one = found->second;
    one.client_waiting = false;
    if constexpr (Decisions::cancels)
    {
        abort_calls(one);
    }
    client_tries_again(one.request, duration(0));
}

template <class Decisions>
void replay<Decisions>::client_tries_again(serial request, duration min_pause)
{
    const client_request& request_state = requests_.at(request);
    if (request_state.tries >= load_.clients.tries)
    {
        return;
    }
    duration pause = jittered(load_.clients.pause, engine_);
    if (load_.clients.honor_retry_after)
    {
        pause = std::max(pause, min_pause);
    }
    events_.after(
        pause,
        [this, request]
        {
            send_try(request);
        });
}

} // namespace nutmegusher::bench

#endif
