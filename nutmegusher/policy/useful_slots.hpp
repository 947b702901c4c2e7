// Finds how many of an upstream's slots are worth using.
//
//     useful_slots useful;
//     useful.set_slots(31);
//     if (running < useful.limit(now))
//         const auto start = useful.on_start(running + 1);
//     useful.on_completion(work_class, start, slot_time, now); // if successful
//
// Pattern of load: some upstreams work more slowly when nearly all of their
// slots are taken, and under overload they always are. Throughput is then lower
// than with a few slots left free: with 31 slots and calls that take 1.3 times
// as long from the thirtieth on, 23.8 calls complete in the time in which 29
// slots complete 29. The upstream doesn't report this, and the point where it
// starts differs between services.
//
// So the slot times of calls that started in the last slots are compared with
// those of calls that started with more slots free. An additional slot is used
// only if it adds more throughput than it costs by slowing down the others.
// Without measurements all slots are used until the last ones have shown their
// cost, and they are tried again from time to time.
//
// Use this only for upstreams that make no sub-calls: the slot times of others
// grow when the services they call are busy, which no limit here can improve.
#ifndef NUTMEGUSHER_POLICY_USEFUL_SLOTS_HPP
#define NUTMEGUSHER_POLICY_USEFUL_SLOTS_HPP

#include "nutmegusher/base/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace nutmegusher
{

class useful_slots
{
public:
    // Sets how many calls the upstream serves concurrently.
    void set_slots(std::size_t slots);

    // The number of slots to use now; at least 1 if the upstream has any.
    [[nodiscard]] std::size_t limit(time_point now);

    // The conditions under which a call started: the number of running calls,
    // itself included, and the limit.
    struct start
    {
        std::size_t running = 0;
        std::uint64_t limit_version = 0;
    };

    // Returns the start conditions of a call that starts now. `running`: the
    // number of running calls, including this one.
    [[nodiscard]] start on_start(std::size_t running) const
    {
        return {running, limit_version_};
    }

    // Records that a successful call held a slot for `slot_time`.
    void on_completion(
        std::uint64_t work_class,
        const start& started_under,
        duration slot_time,
        time_point now);

    // With fewer slots the steps are too coarse to compare; all of them are
    // used.
    static constexpr std::size_t min_slots = 8;

    // A step is a sixteenth of the slots, so a step that is left unused by
    // mistake costs no more than the gain it is meant to find.
    static constexpr std::size_t step_count = 16;

    // The number of steps that may be left unused: upstreams slow down when
    // they are nearly full. A wrong result costs an eighth of the slots until
    // `retention` is over.
    static constexpr std::size_t max_unused_steps = 2;

    // The number of completions needed to evaluate a step, or the number of
    // slots if that is larger: if the standard deviation of slot times is half
    // of their mean, the mean is known to 5 in 100.
    static constexpr std::size_t min_completions = 100;

    // Completions are ignored until the slots were filled this many times under
    // the same limit: of calls that start together the short ones end first, so
    // each new limit would look better than the last.
    static constexpr std::size_t settling_rounds = 2;

    // The throughput gain required to use fewer slots, so that the error of the
    // two means alone doesn't lower the limit.
    static constexpr double min_gain = 1.05;

    // Measurements of a step expire if no call that started in it has completed
    // for this long. Trying the last step again costs a few tens of calls.
    static constexpr duration retention = std::chrono::seconds(10);

private:
    // The average slot time of one class's calls that started with about the
    // same number of running calls (a band).
    struct slot_time_mean
    {
        std::size_t completions = 0;
        double mean_seconds = 0;
        time_point last_completion;
    };

    // Band 0 covers the last slots; the last band covers all numbers of running
    // calls below every possible limit.
    static constexpr std::size_t band_count = max_unused_steps + 2;
    using bands = std::array<slot_time_mean, band_count>;

    [[nodiscard]] std::size_t best_limit(time_point now) const;
    [[nodiscard]] std::size_t completions_to_compare() const;
    [[nodiscard]] std::size_t step() const;
    [[nodiscard]] std::size_t limit_of(std::size_t unused_steps) const;
    [[nodiscard]] std::size_t band_of(std::size_t running) const;
    [[nodiscard]] std::size_t
    completions_in(std::size_t band, time_point now) const;
    [[nodiscard]] std::optional<double>
    slowdown(std::size_t band, std::size_t other, time_point now) const;
    [[nodiscard]] std::optional<double>
    slowdown_below(std::size_t band, time_point now) const;

    std::size_t slots_ = 0;
    std::size_t limit_ = 0;
    // The number of limit changes, and the completions since the last one.
    std::uint64_t limit_version_ = 0;
    std::size_t completions_ = 0;
    // Per class, as a band with more calls of long classes would look slow.
    std::unordered_map<std::uint64_t, bands> classes_;
};

} // namespace nutmegusher

#endif
