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
#include "nutmegusher/policy/upstream_health.hpp"

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

class router
{
public:
    // Takes over the list; what was observed of hosts that stay is kept. A
    // host that comes back after having left starts afresh.
    void update(std::span<const candidate> candidates, time_point now);

    // The upstream for the call, without those in `tried`. None where all
    // were tried or are leaving.
    [[nodiscard]] std::optional<upstream_handle> choose(
        const call_facts& call,
        std::span<const upstream_handle> tried,
        time_point now,
        random_engine& engine);

    // Whether an upstream outside of `tried` would take the call now, as far
    // as levels and observations tell.
    [[nodiscard]] bool takes_elsewhere(
        const call_facts& call,
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

    // The admission level that came with an answer.
    void on_level(
        upstream_handle from, const admission_level& level, time_point now);

    // Null where the handle has gone.
    [[nodiscard]] const host_id* host(upstream_handle of) const;

    [[nodiscard]] std::vector<upstream_state> state() const;

private:
    struct entry
    {
        upstream_handle handle;
        candidate where;
        internal::upstream_health health;
        // It said that it leaves; membership hasn't told yet.
        time_point leaves_until;
        // Until then it gets less work: see `ramp`.
        time_point warm_at;
    };

    using pick = std::optional<std::size_t>;

    [[nodiscard]] pick find(upstream_handle handle) const;
    [[nodiscard]] bool usable(
        const entry& each,
        std::span<const upstream_handle> tried,
        time_point now) const;
    [[nodiscard]] bool
    healthy(const entry& each, bool bulk, time_point now) const;
    pick due_probe(
        const call_facts& call,
        std::span<const upstream_handle> tried,
        time_point now);
    template <class Accept>
    pick best_of_two(
        bool bulk, time_point now, random_engine& engine, const Accept& accept);
    [[nodiscard]] double
    cost(const entry& each, bool bulk, time_point now) const;
    void
    end(upstream_handle from,
        bool bulk,
        internal::upstream_health::ending how,
        duration elapsed,
        time_point now);
    [[nodiscard]] bool may_eject(const entry& suspect) const;
    void eject_if_slow(entry& suspect, bool bulk, time_point now);

    std::vector<entry> entries_;
    std::vector<double> latencies_;
    std::uint64_t last_handle_ = 0;
};

} // namespace nutmegusher

#endif
