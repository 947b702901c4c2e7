// Which upstream of a service gets a call.
//
//     router route;
//     route.update(candidates, now);
//     if (const auto chosen = route.choose(call, tried, now, engine))
//     {
//         route.on_start(*chosen, call.bulk, now);
//         send_to(route.host(*chosen));
//     }
//     route.on_answer(*chosen, call.bulk, elapsed, now);   // when it ends
//
// Pattern of load: one upstream of several is slow, stalled or silent, and its
// health endpoint says that all is well. Round robin goes on sending it its
// share, and each of these calls waits for its deadline.
//
// - Near first: the nearest data centre that has an upstream which takes the
//   call; a farther one only for what the near ones refuse, so that a local
//   surge doesn't turn into traffic between data centres for all.
// - Of two random ones, the one with the shorter expected wait: all daemons
//   choosing the one best would overrun it.
// - One that fails three times in a row, goes silent, or answers much more
//   slowly than the median of the others is ejected; single calls win it
//   back. At most half of a service is ejected, and none while half of the
//   others fail as well: a fault behind the service, or one seen only from
//   here, doesn't leave it without upstreams.
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
#include <optional>
#include <span>
#include <vector>

namespace nutmegusher
{

// How far away an upstream is.
enum class network_distance : std::uint8_t
{
    same_data_center,
    same_region,
    other_region
};

// One upstream of the service, as membership knows it.
struct candidate
{
    host_id host;
    network_distance distance = network_distance::same_data_center;
    // It gets no new call.
    bool leaving = false;
    // Another one after each start of the upstream's process; 0: not told.
    std::uint64_t start = 0;
};

// For the state dump.
struct upstream_state
{
    upstream_handle handle;
    host_id host;
    std::size_t in_flight = 0;
    duration latency{0};
    bool ejected = false;
    bool leaving = false;
};

// An upstream's own word on its load, as it came with an answer.
struct upstream_load
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
    // How long a call of its kind holds a slot there.
    duration slot_time{0};
    // Of its answers lately, the share that are its own errors: `error_meter`.
    double errors = 0;
};

struct router_options
{
    // False: the upstream with the shortest expected time gets the call,
    // wherever it stands; a far one counts as a little slower. For services
    // whose upstreams tell their load. Pattern of load: the data centres'
    // shares of the calls and of the upstreams differ, and one of three
    // upstreams is half as fast as the others. Near first kept that one at
    // twice its slots while the others had a third of theirs in use.
    bool near_first = true;
};

class router
{
public:
    explicit router(router_options options = {});

    // Takes over the list; what was observed of hosts that stay is kept. A
    // host that comes back after having left, or whose upstream has started
    // again, starts afresh: errors, times and calls in work of the earlier
    // start say nothing of the later one.
    void update(std::span<const candidate> candidates, time_point now);

    // The upstream for the call, without those in `tried`. None where all
    // were tried or are leaving.
    [[nodiscard]] std::optional<upstream_handle> choose(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now,
        random_engine& engine);

    // After this long without an answer a repeatable call is better given up
    // there and tried elsewhere: others answer in a quarter of it. None where
    // nothing is known of others. Costs a token as any retry.
    [[nodiscard]] std::optional<duration>
    try_timeout(upstream_handle at, bool bulk) const;

    // Whether that is true now: another upstream takes the call, and none of
    // the service refuses anything. Where one does, slowness is load, and what
    // is given up half done would be done again.
    [[nodiscard]] bool should_try_elsewhere(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now) const;

    // Whether an upstream outside of `tried` would take the call now, as far
    // as levels and observations tell.
    [[nodiscard]] bool has_alternative(
        const call_info& call,
        std::span<const upstream_handle> tried,
        time_point now) const;

    // A call was sent there. Each is followed by exactly one of the next
    // five. Handles that have gone change nothing.
    void on_start(upstream_handle to, bool bulk, time_point now);
    // A whole answer came.
    void on_answer(
        upstream_handle from, bool bulk, duration elapsed, time_point now);
    // It failed: no connection, a broken answer, an error of the upstream, or
    // no answer by the deadline.
    void on_failure(upstream_handle from, bool bulk, time_point now);
    // Its connection has gone silent: not even a ping is answered.
    void on_silent(upstream_handle from, bool bulk, time_point now);
    // It ended without a word on the upstream's health: cancelled, refused.
    void on_neutral(upstream_handle from, bool bulk, time_point now);
    // It refused because it leaves: it gets no new call, before membership
    // tells. Without this each call to it costs a retry, and the budget of
    // retries is gone before the news arrives.
    void on_leaving(upstream_handle from, bool bulk, time_point now);
    // Another upstream answered at its address. It gets no call until `update`
    // brings another address or start of it, or for `reused_address_retention`,
    // whichever comes first. Without this each call to it is a try in vain.
    void on_address_reused(upstream_handle from, bool bulk, time_point now);

    // Membership drops a host that is gone after three missed renewals of two
    // seconds; should the host be right after all, it is asked again then.
    static constexpr duration reused_address_retention =
        std::chrono::seconds(6);

    // The upstream's own word on its load that came with an answer.
    void
    on_load(upstream_handle from, const upstream_load& load, time_point now);

    // The upstream's own admission level that came with an answer.
    void on_level(
        upstream_handle from, const admission_level& level, time_point now);

    // What the service as a whole lets in: lane by lane the median of its
    // upstreams' levels (one that said nothing of late lets everything in).
    [[nodiscard]] admission_level service_level(time_point now) const;

    // Null where the handle has gone.
    [[nodiscard]] const host_id* host(upstream_handle of) const;

    [[nodiscard]] std::vector<upstream_state> state() const;

private:
    struct entry
    {
        upstream_handle handle;
        candidate upstream;
        internal::upstream_health health;
        internal::reported_error_rate errors;
        // It said that it leaves; membership hasn't told yet.
        time_point excluded_until;
        // Until then it gets less work: see `slow_start_duration`.
        time_point slow_start_until;
        upstream_load load;
        time_point load_received_at;
        // Calls sent there since it told its load.
        std::size_t sent_since_report = 0;
    };

    using upstream_index = std::optional<std::size_t>;

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
        // Seconds that a call holds a slot.
        double slot_time = 0;
        // Slots in use or asked for, over slots there are.
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
    // Room for the medians.
    mutable std::vector<double> scratch_;
    // Over all upstreams' moving means, by lane.
    std::array<double, 2> mean_latency_{};
    std::uint64_t last_handle_ = 0;
    // How long calls hold a slot, over all upstreams' words; seconds.
    double mean_slot_time_ = 0;
    // Slots in use or asked for over slots there are, likewise.
    double mean_utilization_ = 0;
    double mean_slots_ = 0;
    // Calls sent to all upstreams.
    std::uint64_t calls_sent_ = 0;
};

// What lies ahead of calls of an answered call's class: the stricter of the
// service's level in the call's lane and of what the answer tells of deeper
// services. Both lanes of the result are the same, as a long transfer may
// need short calls further down.
[[nodiscard]] admission_level call_path_level(
    const router& route,
    const answer_levels& levels,
    bool bulk,
    time_point now);

} // namespace nutmegusher

#endif
