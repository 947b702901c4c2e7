// What a stand-in upstream does with the calls that it gets. All of it can be
// changed while calls run, by JSON with the names of the members.
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
    // How often it is made for one call of ours, one after the other.
    std::uint32_t count = 1;
};

struct upstream_behavior
{
    // Calls that run at once; more wait in the upstream's own queue.
    std::uint32_t slots = 16;
    // Mean time of service, milliseconds.
    double service_ms = 1.0;
    // Exponential spread around the mean, otherwise every call takes it.
    bool exponential = false;
    // Multiplies the time of service.
    double slow_factor = 1.0;
    // No call makes progress.
    bool frozen = false;
    // "starting", "serving" or "leaving", as announced.
    std::string state = "serving";
    // Not zero: from now on as many ms of cold start, which begins at
    // `cold_factor` times the service time and falls to 1.
    std::uint32_t cold_ms = 0;
    double cold_factor = 10.0;
    // Not zero: sheds calls with 503 above as many running and waiting.
    std::uint32_t shed_above = 0;
    // Whether a shed call carries `nutmeg-not-run: true`.
    bool shed_says_not_run = true;
    // How old the figures of the load endpoint are.
    std::uint32_t load_lag_ms = 0;
    // Not negative: what the load endpoint claims instead of the truth.
    std::int64_t load_claims_busy = -1;
    // Share of executed calls that are answered with 500.
    double error_share = 0.0;
    // Share of answers that break off in the middle.
    double cut_share = 0.0;
    // How long a finished call's answer is held back.
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

// `base` with the members that `json` names replaced.
[[nodiscard]] outcome<upstream_behavior, behavior_problem>
merge_behavior(const upstream_behavior& base, std::string_view json);

} // namespace nutmegusher::test_support

#endif
