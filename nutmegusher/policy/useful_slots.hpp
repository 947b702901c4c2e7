// How many of an upstream's slots are worth using.
//
//     useful_slots useful;
//     useful.set_slots(31);
//     if (running < useful.limit(now))
//         const auto start = useful.on_start(running + 1);
//     useful.on_completion(work_class, start, slot_time, now);    // when it
//     completions well
//
// Pattern of load: an upstream works more slowly when nearly all of its slots
// are taken, and under overload they always are. It then does less than with a
// few of them left free: with 31 slots and work that takes 1.3 times as long
// from the thirtieth on, 23.8 calls' worth in the time in which 29 slots do 29.
// The upstream doesn't say so, and where it begins differs from service to
// service.
//
// So the time that calls hold a slot is compared between the last slots and
// those before them. A slot more is used only where it brings more than it
// slows down the others. Nothing is known at first: all slots are used until
// the last ones have shown what they cost, and they are tried again from time
// to time.
//
// Only for upstreams that make no calls of their own: the others hold their
// slots for longer when what they call is busy, which no limit here mends.
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
    // How many calls the upstream works on at once.
    void set_slots(std::size_t slots);

    // How many to use now; 1 or more where there are any.
    [[nodiscard]] std::size_t limit(time_point now);

    // With how many others a call started, and under which limit.
    struct start
    {
        std::size_t running = 0;
        std::uint64_t limit_version = 0;
    };

    // A call started. `running`: how many run now, itself among them.
    [[nodiscard]] start on_start(std::size_t running) const
    {
        return {running, limit_version_};
    }

    // A call that ended well held a slot for `slot_time`.
    void on_completion(
        std::uint64_t work_class,
        const start& started_under,
        duration slot_time,
        time_point now);

    // Fewer slots can't be told apart by their number; all of them are used.
    static constexpr std::size_t min_slots = 8;

    // Steps of a sixteenth of the slots: what is left unused in vain costs no
    // more than what the step is meant to find.
    static constexpr std::size_t step_count = 16;

    // Steps that may be left unused: upstreams slow down when they are nearly
    // full. A false finding then costs an eighth of the slots, for the time
    // that it is remembered.
    static constexpr std::size_t max_unused_steps = 2;

    // Ends that a step is judged by, or as many as there are slots: with times
    // that spread by half of their mean, their mean is known to 5 in 100.
    static constexpr std::size_t min_completions = 100;

    // Calls that end before the slots were taken so many times under the same
    // limit say nothing: of those that start together the short ones end first,
    // and each new limit would look better than the last.
    static constexpr std::size_t settling_rounds = 2;

    // What fewer slots must bring, beyond the error of the two means.
    static constexpr double min_gain = 1.05;

    // What was learned of a step is forgotten when no call has started in it
    // for this long. Trying the last step again costs a few tens of calls.
    static constexpr duration retention = std::chrono::seconds(10);

private:
    // Calls of one class that started with about the same number of others.
    struct slot_time_mean
    {
        std::size_t completions = 0;
        double mean_seconds = 0;
        time_point last_completion;
    };

    // The first band is that of the last slots, the last one all below the
    // limits.
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
    // Counts the changes of the limit, and the ends since the last one.
    std::uint64_t limit_version_ = 0;
    std::size_t completions_ = 0;
    // Class by class, as a band with more of the long ones would look slow.
    std::unordered_map<std::uint64_t, bands> classes_;
};

} // namespace nutmegusher

#endif
