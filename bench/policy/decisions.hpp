// The two sets of decisions that a replay runs with.
#ifndef NUTMEGUSHER_BENCH_POLICY_DECISIONS_HPP
#define NUTMEGUSHER_BENCH_POLICY_DECISIONS_HPP

#include "nutmegusher/policy/policy.hpp"

#include <algorithm>

#include "bench/policy/naive.hpp"
#include "bench/policy/trace.hpp"

namespace nutmegusher::bench
{

// What the daemons run.
struct shipped_decisions
{
    using admission = admission_controller;
    using route = router;

    // Calls whose caller has given up are stopped at every hop.
    static constexpr bool cancels = true;
    // Refuses at the entry by the level that comes back.
    static constexpr bool gated = true;
    // Tries elsewhere when one upstream takes too long.
    static constexpr bool gives_up_tries = true;

    static admission
    make_admission(const trace_service& /*service*/, std::uint64_t seed)
    {
        return admission(seed);
    }

    static retry_decision retry(const failed_try& failed, random_engine& engine)
    {
        return decide_retry(failed, engine);
    }
};

// The same without the gate at the entry.
struct ungated_decisions : shipped_decisions
{
    static constexpr bool gated = false;
};

// The naive ones. Their fixed limit is the true number of slots, which is
// the best that a fixed limit can be.
struct naive_decisions
{
    using admission = naive_admission;
    using route = naive_router;

    static constexpr bool cancels = false;
    static constexpr bool gated = false;
    static constexpr bool gives_up_tries = false;

    static admission
    make_admission(const trace_service& service, std::uint64_t /*seed*/)
    {
        return {service.slots, service.connections};
    }

    static retry_decision
    retry(const failed_try& failed, random_engine& /*engine*/)
    {
        return naive_retry(failed);
    }
};

} // namespace nutmegusher::bench

#endif
