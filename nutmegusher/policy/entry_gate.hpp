// Refuses requests at the entry that a service further down would refuse.
//
//     if (const auto refusal = gate.check(call, now)) answer(*refusal);
//     ...
//     gate.on_level(call, call_path_level(route, levels, call.bulk, now), now);
//
// Pattern of load: a service deep in the call path is saturated. Without the
// gate, each request is admitted, runs through three healthy services and is
// refused at the fourth; the work of the three is wasted, and they fill up with
// such work. The gate learns from the admission levels on answers, per class,
// how much will pass, and admits only that.
//
// Which requests of a class pass: those of customers with little load first.
// All heavy customers get the same cap on their rate, so that a few customers
// that send most of the load are refused and the others aren't affected
// (max-min fairness).
//
// The gate limits the rate that passes rather than the share, so clients that
// retry again and again don't increase it. It reopens by itself: each interval
// without a refusal raises the limit, in growing steps, and a small share
// always passes so that new levels arrive.
#ifndef NUTMEGUSHER_POLICY_ENTRY_GATE_HPP
#define NUTMEGUSHER_POLICY_ENTRY_GATE_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/policy/admission_level.hpp"
#include "nutmegusher/policy/call.hpp"
#include "nutmegusher/policy/retry_after_schedule.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace nutmegusher
{

class entry_gate
{
public:
    // Decides on a request at the entry; nullopt: it passes. A refusal's
    // `retry_after` isn't randomized: the caller must pass it through
    // `jittered`. It is the time in which all requests refused before could
    // pass.
    [[nodiscard]] std::optional<refused>
    check(const call_info& call, time_point now);

    // Reports the level ahead of a request of the call's class that was
    // answered: the stricter of `router::service_level` and the answer's
    // `deeper`. (With only the answering upstream's own level, one overloaded
    // upstream among several would close the gate.)
    void on_level(
        const call_info& call, const admission_level& level, time_point now);

    // The share of the class that is admitted now, for the state dump.
    [[nodiscard]] double open_share(std::uint64_t work_class) const;

    // A closed class reopens in five intervals, well within the second in which
    // service has to recover; each interval still sees many answers.
    static constexpr duration interval = std::chrono::milliseconds(100);

private:
    // One customer's requests of one class. From `heavy_rate` on, where its
    // rate is distinguishable from chance, the customer is heavy; the others
    // are counted together.
    struct customer_rate
    {
        double this_interval = 0;
        // Exponential moving average over intervals.
        double per_interval = 0;
    };

    struct class_gate
    {
        // Requests per interval that may pass; `unlimited` while open.
        double limit = unlimited;
        // Requests in this interval, and those of them that passed.
        double offered = 0;
        double passed = 0;
        // Exponential moving averages of both over intervals.
        double offered_mean = 0;
        double passed_mean = 0;
        // Requests per interval of the customers that aren't heavy.
        double light_mean = 0;
        retry_after_schedule retry_schedule;
        // Consecutive intervals without a refusal.
        std::uint32_t quiet_intervals = 0;
        // The limit was cut at the last interval's end, so the levels of this
        // one still reflect the load before the cut.
        bool just_cut = false;
        // Levels received in this interval, as shares of the class that pass.
        double level_sum = 0;
        std::size_t levels = 0;
        // As reported with the last level that had one.
        duration retry_after{0};
        // Requests per interval that pass of one heavy customer.
        double customer_cap = 0;
        // The share that passes of all other customers' requests.
        double light_share = 1.0;
        time_point interval_end;
        std::unordered_map<std::uint64_t, customer_rate> customers;
    };

    static constexpr double unlimited = 1e18;

    static void end_interval(class_gate& gate, time_point now);
    static void count_customers(class_gate& gate);
    [[nodiscard]] static duration retry_after(class_gate& gate, time_point now);
    static void adjust(class_gate& gate);
    static void cut(class_gate& gate, double share);
    static void reopen(class_gate& gate);
    [[nodiscard]] static double open_share(const class_gate& gate);
    static void compute_shares(class_gate& gate);
    [[nodiscard]] static double
    pass_share(const class_gate& gate, std::uint64_t customer);

    std::unordered_map<std::uint64_t, class_gate> classes_;
};

// The levels of deeper services, by the class of the request that met them. An
// answer carries its upstream's own level, which callers use for routing, and
// separately the level that sub-calls of its class met, which the entry uses
// for refusals. They are separate because other classes may not need the deeper
// service.
//
// Only levels of sub-calls may be recorded here. If daemons recorded the levels
// of requests that enter at them, they would pass the same levels back and
// forth to each other for ever.
class sub_call_levels
{
public:
    // Records the level ahead of a sub-call made for a request of the class;
    // see `entry_gate::on_level`.
    void on_sub_call_level(
        std::uint64_t work_class, const admission_level& level, time_point now);

    // The level that an answer to a request of the class should carry as
    // `deeper`.
    [[nodiscard]] admission_level
    deeper_for(std::uint64_t work_class, time_point now) const;

    // The stricter of `deeper_for` and the upstream's own level, for answers
    // that carry a single level.
    [[nodiscard]] admission_level level_for(
        std::uint64_t work_class,
        const admission_level& own,
        time_point now) const;

    // Twice the time constant of `load_meter`, from which levels are computed.
    static constexpr duration lifetime = std::chrono::milliseconds(500);

private:
    struct reported_level
    {
        admission_level level;
        time_point expires_at;
    };

    std::unordered_map<std::uint64_t, reported_level> classes_;
};

} // namespace nutmegusher

#endif
