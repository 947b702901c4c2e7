// How a stand-in upstream handles calls. All members can be changed while
// calls run, by JSON with the names of the members.
#ifndef NUTMEGUSHER_TESTING_UPSTREAM_BEHAVIOR_HPP
#define NUTMEGUSHER_TESTING_UPSTREAM_BEHAVIOR_HPP

#include "nutmegusher/base/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher::test_support
{

// One call to another service through the upstream's own daemon.
struct sub_call
{
    std::string method = "GET";
    std::string target;
    // Sequential repetitions per call of the upstream.
    std::uint32_t count = 1;
};

struct upstream_behavior
{
    // Calls that run concurrently; further calls wait in the upstream's queue.
    std::uint32_t slots = 16;
    // Mean service time, milliseconds.
    double service_ms = 1.0;
    // Exponentially distributed service times; otherwise constant.
    bool exponential = false;
    // Multiplies the service time.
    double slow_factor = 1.0;
    // No call makes progress.
    bool frozen = false;
    // "starting", "serving" or "leaving", as announced.
    std::string state = "serving";
    // Not zero: starts a cold start of this length, in ms. Service times are
    // multiplied by a factor that falls from `cold_factor` to 1.
    std::uint32_t cold_ms = 0;
    double cold_factor = 10.0;
    // Not zero: sheds calls with 503 once this many run or wait.
    std::uint32_t shed_above = 0;
    // Whether a shed call carries `nutmeg-not-run: true`.
    bool shed_says_not_run = true;
    // Maximum age of the load endpoint's figures.
    std::uint32_t load_lag_ms = 0;
    // Not negative: the busy slots that the load endpoint reports.
    std::int64_t load_claims_busy = -1;
    // Share of executed calls that are answered with 500.
    double error_share = 0.0;
    // Share of answers whose connection closes in the middle.
    double cut_share = 0.0;
    // Delay of the answer of a finished call.
    std::uint32_t late_ms = 0;
    // Size of an answer; a call's header `x-answer-bytes` overrides it.
    std::uint64_t answer_bytes = 64;
    std::vector<sub_call> sub_calls;
    // How long a sub-call may take.
    std::uint32_t sub_call_timeout_ms = 5000;
};

enum class behavior_problem : std::uint8_t
{
    not_an_object,
    unknown_member,
    wrong_type
};

// Returns `base` with the members replaced that `json` names.
[[nodiscard]] outcome<upstream_behavior, behavior_problem>
merge_behavior(const upstream_behavior& base, std::string_view json);

} // namespace nutmegusher::test_support

#endif
