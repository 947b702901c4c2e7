// Measures the cost of single decisions. The goal is less than 1 us each.
#include "nutmegusher/policy/policy.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace nutmegusher
{
namespace
{

call_info make_call(random_engine& engine, time_point now, std::uint64_t id)
{
    call_info call;
    call.ticket = ticket_id(id);
    call.rank = static_cast<std::uint8_t>(uniform_below(engine, 10));
    call.customer = uniform_below(engine, 200);
    call.work_class = call.rank;
    call.request = engine();
    call.deadline = now + std::chrono::milliseconds(500);
    call.repeatable = true;
    return call;
}

// One arrival and one finish, after `range(0)` arrivals.
void admission_arrive_and_finish(benchmark::State& state)
{
    admission_controller admission(1);
    random_engine engine(1);
    manual_clock clock;
    std::deque<ticket_id> running;
    std::uint64_t id = 0;
    const auto record_admitted = [&running](const queue_outcome& each)
    {
        if (std::holds_alternative<admitted>(each.verdict))
        {
            running.push_back(each.ticket);
        }
    };
    const auto arrive = [&]
    {
        const call_info call = make_call(engine, clock.now(), ++id);
        const arrival_result arrival = admission.arrive(call, clock.now());
        if (std::holds_alternative<admitted>(arrival.verdict))
        {
            running.push_back(call.ticket);
        }
        std::for_each(
            arrival.outcomes.begin(), arrival.outcomes.end(), record_admitted);
    };
    const auto in_flight = static_cast<std::size_t>(state.range(0));
    for (std::size_t count = 0; count < in_flight; ++count)
    {
        arrive();
    }
    for (auto _ : state)
    {
        clock.advance(std::chrono::microseconds(200));
        arrive();
        if (!running.empty())
        {
            const ticket_id ticket = running.front();
            running.pop_front();
            const auto outcomes =
                admission.finish(ticket, call_result::ok, clock.now());
            std::for_each(outcomes.begin(), outcomes.end(), record_admitted);
        }
    }
    state.counters["in_flight"] =
        static_cast<double>(admission.state().short_lane.in_flight);
    state.counters["waiting"] =
        static_cast<double>(admission.state().short_lane.waiting);
}
// 8 is below the limit. 2000 is far above it: most calls queue or are refused.
BENCHMARK(admission_arrive_and_finish)->Arg(8)->Arg(2000);

void router_choose(benchmark::State& state)
{
    router route;
    std::vector<candidate> candidates;
    for (std::int64_t index = 0; index < state.range(0); ++index)
    {
        candidates.push_back(
            {host_id(std::to_string(index)),
             index % 2 == 0 ? network_distance::same_data_center
                            : network_distance::same_region,
             false});
    }
    manual_clock clock;
    route.update(candidates, clock.now());
    random_engine engine(1);
    const call_info call = make_call(engine, clock.now(), 1);
    for (auto _ : state)
    {
        const auto to = route.choose(call, {}, clock.now(), engine);
        route.on_start(*to, false, clock.now());
        clock.advance(std::chrono::microseconds(20));
        route.on_answer(*to, false, std::chrono::milliseconds(10), clock.now());
    }
}
BENCHMARK(router_choose)->Arg(6)->Arg(20)->Arg(100);

void gate_check(benchmark::State& state)
{
    entry_gate gate;
    random_engine engine(1);
    manual_clock clock;
    admission_level level;
    level.short_lane = {0, 500};
    std::uint64_t id = 0;
    for (auto _ : state)
    {
        const call_info call = make_call(engine, clock.now(), ++id);
        benchmark::DoNotOptimize(gate.check(call, clock.now()));
        gate.on_level(call, level, clock.now());
        clock.advance(std::chrono::microseconds(100));
    }
}
BENCHMARK(gate_check);

void level_of_admission(benchmark::State& state)
{
    admission_controller admission(1);
    random_engine engine(1);
    manual_clock clock;
    for (std::uint64_t id = 1; id < 2000; ++id)
    {
        admission.arrive(make_call(engine, clock.now(), id), clock.now());
        clock.advance(std::chrono::microseconds(50));
    }
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(admission.level(clock.now()));
    }
}
BENCHMARK(level_of_admission);

void retry_decide(benchmark::State& state)
{
    random_engine engine(1);
    failed_try failed;
    failed.repeatable = true;
    failed.tokens = 2;
    failed.time_left = std::chrono::milliseconds(500);
    failed.has_alternative = true;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(decide_retry(failed, engine));
    }
}
BENCHMARK(retry_decide);

} // namespace
} // namespace nutmegusher

BENCHMARK_MAIN();
