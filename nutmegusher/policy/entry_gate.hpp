// Refuses at the entry what would be refused further down.
//
//     if (const auto refusal = gate.check(call, now)) answer(*refusal);
//     ...
//     gate.on_level(call, call_path_level(route, levels, call.bulk, now), now);
//
// Pattern of load: a deep service is saturated. Each request is let in, runs
// through three healthy services and is refused at the fourth; the work of
// the three is lost, and they are full of it. The gate learns the level that
// comes back on answers, per class, and lets in what will pass.
//
// Which requests of a class: customers with little load pass first. All get
// the same cap on their rate, so that a few that send most of the load are
// refused and the rest don't notice (max-min fairness).
//
// It limits the rate that passes rather than the share: clients that ask again
// and again don't move it. It reopens by itself: each interval without a
// refusal lets more in, in growing steps, and a trickle always passes to bring
// news.
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
    // Decides on a request at the entry. A refusal's `retry_after` isn't
    // spread yet: the caller of this passes it through `spread`. It is the
    // time in which those refused before could all pass.
    [[nodiscard]] std::optional<refused>
    check(const call_info& call, time_point now);

    // What lay ahead of a request of the call's class that was answered: the
    // stricter of `router::service_level` and the answer's `deeper`. (The
    // answering upstream's own level alone would close the gate for one bad
    // upstream among several.)
    void on_level(
        const call_info& call, const admission_level& level, time_point now);

    // The share of the class that is let in now, for the state dump.
    [[nodiscard]] double open_share(std::uint64_t work_class) const;

    // Five steps of it reopen a closed class, well within the second in
    // which service has to be back; each still sees many answers.
    static constexpr duration interval = std::chrono::milliseconds(100);

private:
    // One customer's requests of one class. It is heavy from
    // `heavy_rate` on, where its rate can be told from chance; the others are
    // counted together.
    struct customer_rate
    {
        double this_interval = 0;
        // Moving mean over intervals.
        double per_interval = 0;
    };

    struct class_gate
    {
        // Requests an interval that may pass; `unlimited` while open.
        double limit = unlimited;
        // Requests of this interval, and those that passed.
        double offered = 0;
        double passed = 0;
        // Moving means of both over intervals.
        double offered_mean = 0;
        double passed_mean = 0;
        // Requests of customers that aren't heavy, an interval.
        double light_mean = 0;
        retry_after_schedule retry_schedule;
        // Intervals in a row without a refusal.
        std::uint32_t quiet_intervals = 0;
        // The levels of this interval still tell of what was cut already.
        bool just_cut = false;
        // Levels heard in this interval, as shares that pass.
        double level_sum = 0;
        std::size_t levels = 0;
        duration retry_after{0};
        // Requests an interval that a heavy customer may have.
        double customer_cap = 0;
        // Of the requests of all the others.
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

// The levels of deeper services, by the class of the request that met them:
// an answer carries its upstream's own level, by which callers route, and
// beside it what the sub-calls of its class met, by which the entry refuses.
// They travel apart, as other classes may not need the deeper service.
//
// Only levels of sub-calls go in: a daemon that put in those of the requests
// which enter at it would hand them back and forth with others for ever.
class sub_call_levels
{
public:
    // What lay ahead of a sub-call made for a request of the class: as for
    // `entry_gate::on_level`.
    void on_sub_call_level(
        std::uint64_t work_class, const admission_level& level, time_point now);

    // What an answer to a request of the class should carry as `deeper`.
    [[nodiscard]] admission_level
    deeper_for(std::uint64_t work_class, time_point now) const;

    // The same as one with the upstream's own level, for answers that carry
    // a single level.
    [[nodiscard]] admission_level level_for(
        std::uint64_t work_class,
        const admission_level& own,
        time_point now) const;

    // Twice the memory of the meters behind a level.
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
