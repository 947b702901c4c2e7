// Chooses the upstream of a service that gets a call.
//
//     router route;
//     route.update(candidates, now);
//     if (const auto chosen = route.choose(call, tried, now, engine))
//     {
//         route.on_start(*chosen, call.bulk, now);
//         send_to(route.host(*chosen));
//     }
//     route.on_answer(*chosen, call.bulk, elapsed, now);   // when answered
//
// Pattern of load: one upstream of several is slow, stalled or unresponsive,
// while its health endpoint reports it healthy. Round robin keeps sending it
// its share of the calls, and each of them waits until its deadline.
//
// - Nearest first: a call goes to the nearest distance at which an upstream
//   admits it. Farther upstreams get only the calls that the near ones refuse,
//   so that a local surge doesn't cause traffic between data centres for all
//   calls.
// - Power of two choices: of two random upstreams, the one with the shorter
//   expected wait gets the call. If all daemons chose the best upstream, they
//   would overload it.
// - Refresh: an upstream that is avoided for its slot time reports nothing that
//   would correct it. It gets a call now and then, a tenth of its even share,
//   and its even share while its slot time falls.
// - Outlier ejection: an upstream is ejected if it fails three times in a row,
//   becomes unresponsive, or is much slower than the median of the others.
//   Half-open probes (single calls, short idempotent ones if there are any)
//   readmit it. At most half of a service is ejected, and none while half of
//   the other upstreams fail as well: a fault of a downstream service, or one
//   on the side of this daemon, doesn't leave the service without upstreams.
#ifndef NUTMEGUSHER_POLICY_ROUTER_HPP
#define NUTMEGUSHER_POLICY_ROUTER_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/identifier.hpp"
#include "nutmegusher/base/random.hpp"
#include "nutmegusher/policy/admission_level.hpp"
#include "nutmegusher/policy/call.hpp"
#include "nutmegusher/policy/reported_error_rate.hpp"
#include "nutmegusher/policy/upstream_health.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace nutmegusher
{

// Network distance from this daemon to an upstream.
enum class network_distance : std::uint8_t
{
    same_data_center,
    same_region,
    other_region
};

// One upstream of the service, as listed by membership.
struct candidate
{
    host_id host;
    network_distance distance = network_distance::same_data_center;
    // The upstream is shutting down and gets no new calls.
    bool leaving = false;
    // Identifies the start of the upstream's process; differs after each
    // restart. 0: not reported.
    std::uint64_t start = 0;
};

// The load report of an upstream, received with an answer.
struct upstream_load
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
    // Slot time: how long a call of this kind occupies a slot there, at the
    // usual pace of its host.
    duration slot_time{0};
    // Share of its recent answers that are its own errors, in [0, 1]; see
    // `error_meter`.
    double errors = 0;
    // How long work takes on its host at this moment, in percent of the usual
    // time; 0: the upstream doesn't report it.
    std::uint32_t pace = 0;
};

// State of one upstream, for the state dump.
struct upstream_state
{
    upstream_handle handle;
    host_id host;
    std::size_t in_flight = 0;
    duration latency{0};
    bool ejected = false;
    bool leaving = false;
    // Its last load report; no slots: none.
    upstream_load load;
    time_point load_received_at;
};

struct router_options
{
    // True: nearest first. False: the upstream with the shortest expected time
    // gets the call at any distance, with a small penalty for far ones. For
    // services whose upstreams report their load.
    //
    // Pattern of load: calls and upstreams are distributed differently over the
    // data centres, and one of three upstreams is half as fast as the others.
    // With nearest first that one had calls for twice its slots, while the
    // others had a third of theirs in use.
    bool near_first = true;
};

class router
{
public:
    explicit router(router_options options = {});

    // Replaces the list of upstreams; observations of hosts that stay are kept.
    // A host that had been removed, or whose upstream has restarted, gets a new
    // handle without observations: errors, latencies and calls in flight of the
    // earlier start don't apply to the later one.
    void update(std::span<const candidate> candidates, time_point now);

    // Chooses the upstream for the call, excluding those in `tried`. None if
    // all were tried, are leaving, or are excluded by `on_address_reused`.
    [[nodiscard]] std::optional<upstream_handle> choose(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now,
        random_engine& engine);

    // Time without an answer after which an idempotent call should be abandoned
    // at this upstream and retried at another one: four times the median
    // latency of the others, but at least 50 ms. None if no latency of others
    // is known. The retry costs a token like any other.
    [[nodiscard]] std::optional<duration>
    try_timeout(upstream_handle at, bool bulk) const;

    // Whether a call should be retried at another upstream after `try_timeout`:
    // another upstream admits it, and no upstream of the service refuses any
    // calls. If one does, the call is slow because the service is overloaded,
    // and abandoning it half done would repeat its work.
    [[nodiscard]] bool should_try_elsewhere(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now) const;

    // Whether an upstream outside of `tried` would admit the call now, judging
    // by reported admission levels and observed health.
    [[nodiscard]] bool has_alternative(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now) const;

    // A call was sent to the upstream. Requires: exactly one of the following
    // six is called when it ends. Handles of removed upstreams are ignored by
    // all of them.
    void on_start(upstream_handle to, bool bulk, time_point now);
    // A complete answer arrived after `elapsed`.
    void on_answer(
        upstream_handle from, bool bulk, duration elapsed, time_point now);
    // The call failed: no connection, a broken answer, an error of the
    // upstream, or no answer by the deadline.
    void on_failure(upstream_handle from, bool bulk, time_point now);
    // The connection became unresponsive: pings aren't answered either.
    void on_silent(upstream_handle from, bool bulk, time_point now);
    // The call ended without saying anything about the upstream's health: it
    // was cancelled or refused.
    void on_neutral(upstream_handle from, bool bulk, time_point now);
    // The upstream refused the call because it is shutting down. It gets no new
    // calls, even before membership reports this. Otherwise each call to it
    // would cost a retry, and the retry budget would be spent before the report
    // arrives.
    void on_leaving(upstream_handle from, bool bulk, time_point now);
    // Another upstream answered at its address. It gets no calls until `update`
    // lists another address or start of it, or for `reused_address_retention`,
    // whichever is shorter. Otherwise each call to it would be a failed try.
    void on_address_reused(upstream_handle from, bool bulk, time_point now);

    // The upstream said in an answer that it leaves. It gets no calls until
    // `update` lists another start of it.
    void on_left(upstream_handle from);

    // The upstream named in an answer how many calls a second it takes, or,
    // with nullopt, none.
    void
    on_rate_limit(upstream_handle from, std::optional<double> calls_per_second);

    // What the upstream last named, in calls a second.
    [[nodiscard]] std::optional<double> rate_limit(upstream_handle of) const;

    // Membership drops a host after three missed lease renewals of two seconds
    // each. If the host is still listed by then, it gets calls again.
    static constexpr duration reused_address_retention =
        std::chrono::seconds(6);

    // A load report arrived with an answer.
    void
    on_load(upstream_handle from, const upstream_load& load, time_point now);

    // The admission level of the upstream arrived with an answer.
    void on_level(
        upstream_handle from, const admission_level& level, time_point now);

    // The admission level of the whole service: per lane the median of its
    // upstreams' levels. An upstream without a recent level counts as admitting
    // everything.
    [[nodiscard]] admission_level service_level(time_point now) const;

    // Null if the upstream of the handle was removed.
    [[nodiscard]] const host_id* host(upstream_handle of) const;

    [[nodiscard]] std::vector<upstream_state> state() const;

private:
    struct entry
    {
        upstream_handle handle;
        candidate upstream;
        internal::upstream_health health;
        internal::reported_error_rate errors;
        // No calls until then; see `on_leaving` and `on_address_reused`.
        time_point excluded_until;
        // Gets fewer calls until then; see `slow_start_duration`.
        time_point slow_start_until;
        // See `on_left`.
        bool left = false;
        std::optional<double> rate_limit;
        upstream_load load;
        time_point load_received_at;
        // Calls sent there since its last load report.
        std::size_t sent_since_report = 0;
        time_point last_sent_at;
        // Its last load report has a much shorter slot time than the one
        // before.
        bool is_recovering = false;
    };

    using upstream_index = std::optional<std::size_t>;

    // A start of an upstream that has said that it leaves.
    struct left_start
    {
        host_id host;
        std::uint64_t start = 0;

        friend bool operator==(const left_start&, const left_start&) = default;
    };

    [[nodiscard]] upstream_index find(upstream_handle handle) const;
    [[nodiscard]] bool usable(
        const entry& each,
        std::span<const upstream_handle> tried,
        time_point now) const;
    [[nodiscard]] bool
    healthy(const entry& each, bool bulk, time_point now) const;
    upstream_index due_probe(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now);
    upstream_index due_refresh(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now);
    [[nodiscard]] bool are_equally_good(
        const entry& one,
        double cost_of_one,
        const entry& other,
        double cost_of_other,
        time_point now) const;
    template <class Accept>
    upstream_index best_of_two(
        bool bulk, time_point now, random_engine& engine, const Accept& accept);
    [[nodiscard]] double
    cost(const entry& each, bool bulk, time_point now) const;
    [[nodiscard]] static double
    contention_cost(double utilization, double slots);
    [[nodiscard]] double
    distance_cost(const entry& each, double slot_time) const;
    struct load_estimate
    {
        // Slot time of a call in seconds.
        double slot_time = 0;
        // Running and waiting calls over slots; above 1 if calls wait.
        double utilization = 0;
        double slots = 0;
    };

    [[nodiscard]] load_estimate
    estimate_load(const entry& each, time_point now) const;
    [[nodiscard]] std::optional<double>
    reported_cost(const entry& each, bool bulk, time_point now) const;
    void update_means(const upstream_load& load);
    [[nodiscard]] upstream_index choose_by_expected_time(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now,
        random_engine& engine);
    void
    end(upstream_handle from,
        bool bulk,
        internal::upstream_health::ending how,
        duration elapsed,
        time_point now);
    [[nodiscard]] bool may_eject(const entry& suspect) const;
    void eject_if_slow(entry& suspect, bool bulk, time_point now);
    [[nodiscard]] double median_of_others(const entry& one, bool bulk) const;
    [[nodiscard]] lane_level median_level(bool bulk, time_point now) const;

    router_options options_;
    std::vector<entry> entries_;
    // Newest last; at most `max_left_starts`.
    std::deque<left_start> left_starts_;
    // Scratch space for medians.
    mutable std::vector<double> scratch_;
    // Moving average over the latencies of all upstreams, by lane.
    std::array<double, 2> mean_latency_{};
    std::uint64_t last_handle_ = 0;
    // Moving average of the slot time over the load reports of all upstreams,
    // in seconds; 0: no report yet.
    double mean_slot_time_ = 0;
    // Moving averages of the utilization and of the number of slots over the
    // same reports.
    double mean_utilization_ = 0;
    double mean_slots_ = 0;
    // Number of calls sent to all upstreams.
    std::uint64_t calls_sent_ = 0;
    // Calls a second to all upstreams, an exponential moving average.
    double call_rate_ = 0;
    time_point call_rate_at_;
    time_point next_refresh_check_;
};

// The admission level along the call path of an answered call's class: the
// stricter of the service's level in the call's lane and of the level that the
// answer reports for services further down. Both lanes of the result are the
// same, as a bulk call may need short sub-calls.
[[nodiscard]] admission_level call_path_level(
    const router& route,
    const answer_levels& levels,
    bool bulk,
    time_point now);

} // namespace nutmegusher

#endif
