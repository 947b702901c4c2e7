// Data types of a replay: client requests, calls and upstreams.
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

// A request of a client, which may take several tries.
struct client_request
{
    std::size_t work_class = 0;
    std::uint64_t customer = 0;
    time_point offered_at;
    std::uint32_t tries = 0;
    bool done = false;
    // How often the last hop ran, to count duplicates of non-repeatable work.
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
    // The open call at each depth of the chain.
    std::vector<serial> calls;
    // Number of depths that this try has called so far.
    std::size_t reached = 0;
};

// Progress of the current try of a call.
enum class call_stage : std::uint8_t
{
    in_transit,
    waiting,
    // Accepted by the upstream, waiting for a slot.
    in_backlog,
    // Working, before or after its sub-call.
    working,
    in_sub_call,
    // Its answer is in transit, or it waits before the next try.
    ended
};

// One hop's call, with all of its tries.
struct hop_call
{
    serial id = 0;
    serial client = 0;
    std::size_t depth = 0;
    // Index of the host whose daemon makes the call.
    std::size_t caller = 0;
    // Id of the call that makes this sub-call; 0 for the call from the entry.
    serial parent = 0;
    std::uint32_t tokens = 0;
    std::uint32_t tries = 0;
    std::vector<upstream_handle> tried;

    // The members below describe the current try.
    serial ticket = 0;
    upstream_handle handle;
    std::size_t upstream = 0;
    std::uint32_t sent_tokens = 0;
    time_point sent_at;
    call_stage stage = call_stage::in_transit;
};

// Result of a try as its caller receives it.
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
    // Position among the upstreams of its service.
    std::size_t index = 0;
    std::size_t data_center = 0;
    typename Decisions::admission admission;
    std::size_t busy = 0;
    std::deque<serial> backlog{};
    time_point wake_at = time_point::max();
    // State of the daemon beside the upstream:
    std::vector<typename Decisions::route> routers;
    entry_gate gate;
    sub_call_levels levels;
    std::vector<retry_budget> budgets;
    repeated_key_detector keys;
};

} // namespace nutmegusher::bench

#endif
