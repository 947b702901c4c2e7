// The sets of decisions that a replay can run with.
#ifndef NUTMEGUSHER_BENCH_POLICY_DECISIONS_HPP
#define NUTMEGUSHER_BENCH_POLICY_DECISIONS_HPP

#include "nutmegusher/policy/policy.hpp"

#include <algorithm>

#include "bench/policy/naive.hpp"
#include "bench/policy/trace.hpp"

namespace nutmegusher::bench
{

// The decisions that the daemons run.
struct shipped_decisions
{
    using admission = admission_controller;
    using route = router;

    // Cancels a call at every hop once its client gives up.
    static constexpr bool cancels = true;
    // Refuses at the entry by the admission level that answers report.
    static constexpr bool gated = true;
    // Abandons a try that takes too long and tries another upstream.
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

// The shipped decisions without the gate at the entry.
struct ungated_decisions : shipped_decisions
{
    static constexpr bool gated = false;
};

// The naive decisions. Their fixed limit is the real number of slots, the best
// value that a fixed limit can have.
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
