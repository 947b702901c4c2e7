// The pieces of a replay: clients' requests, calls and upstreams.
#ifndef NUTMEGUSHER_BENCH_POLICY_REPLAY_TYPES_HPP
#define NUTMEGUSHER_BENCH_POLICY_REPLAY_TYPES_HPP

#include "nutmegusher/policy/policy.hpp"

#include <cstdint>
#include <deque>
#include <vector>

#include "bench/policy/trace.hpp"

namespace nutmegusher::bench
{

using serial = std::uint64_t;

// What a client wants; it may try several times.
struct client_request
{
    std::size_t work_class = 0;
    std::uint64_t customer = 0;
    time_point offered_at;
    std::uint32_t tries = 0;
    bool done = false;
    // Runs of the last hop, for classes that may not be repeated.
    std::uint32_t runs = 0;
};

// One try of a client, from its entry to its answer.
struct client_try
{
    serial request = 0;
    std::size_t entry = 0;
    time_point sent_at;
    time_point deadline;
    std::uint32_t tokens = 0;
    std::uint32_t retries = 0;
    // The client still waits.
    bool client_waiting = true;
    // One for each depth that runs.
    std::vector<serial> calls;
    // Depths reached.
    std::size_t reached = 0;
};

// Where the present try of a call is.
enum class call_stage : std::uint8_t
{
    in_transit,
    waiting,
    // In the upstream, but without a slot.
    in_backlog,
    // Works before or after its sub-call.
    working,
    in_sub_call,
    // Its answer is on the way, or it pauses before the next try.
    ended
};

// One hop's call, with all of its tries.
struct hop_call
{
    serial id = 0;
    serial client = 0;
    std::size_t depth = 0;
    // The daemon that makes it.
    std::size_t caller = 0;
    // 0: the client's own request.
    serial parent = 0;
    std::uint32_t tokens = 0;
    std::uint32_t tries = 0;
    std::vector<upstream_handle> tried;

    // Of the present try:
    serial ticket = 0;
    upstream_handle handle;
    std::size_t upstream = 0;
    std::uint32_t sent_tokens = 0;
    time_point sent_at;
    call_stage stage = call_stage::in_transit;
};

// How a try ended, as its caller hears it.
struct try_answer
{
    bool ok = false;
    try_failure how = try_failure::upstream_failed;
    bool certainly_not_run = false;
    duration retry_after{0};
    answer_levels levels{};
};

// One upstream with the daemon beside it.
template <class Decisions>
struct simulated_host
{
    std::size_t service = 0;
    // Counted within its service.
    std::size_t index = 0;
    std::size_t data_center = 0;
    typename Decisions::admission admission;
    std::size_t busy = 0;
    std::deque<serial> backlog{};
    time_point wake_at = time_point::max();
    // Of the daemon:
    std::vector<typename Decisions::route> routers;
    entry_gate gate;
    sub_call_levels levels;
    std::vector<retry_budget> budgets;
    repeated_key_detector keys;
};

} // namespace nutmegusher::bench

#endif
