// Of requests of one rank, how large a share of each class is turned away.
//
//     order.on_request(work_class, now);     // one that may be turned away
//     order.on_answer(work_class, elapsed);  // one that was let in
//     if (order.share_of(work_class, shed_share, now) > fraction) turn_away();
//
// Pattern of load: a deep service is full, and all classes of the lowest rank
// are on the way to it. Some reach it directly and hold one slot for a moment;
// others hold slots at four services while they make calls one after the
// other. Turning away the same share of each, the direct ones lose as many as
// the long ones, though they free a fraction of the slot time: on a day of 1.4
// times the slots the short class earned 0.38 of its worth and 0.81 this way,
// the long one 0.47 and 0.44.
//
// - A class is turned away in proportion to the time that its requests take
//   from their arrival to their answer: all but the network of it is spent in
//   slots or before them.
// - All classes together lose the part that is asked for, so entries free as
//   many requests as if they turned away the same share of each.
#ifndef NUTMEGUSHER_POLICY_SHED_SHARES_HPP
#define NUTMEGUSHER_POLICY_SHED_SHARES_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace nutmegusher
{

// For the requests of one rank.
class shed_shares
{
public:
    // A request of the class came while part of its rank is turned away.
    void on_request(std::uint64_t work_class, time_point now);

    // One was answered, after `elapsed` from its arrival.
    void on_answer(std::uint64_t work_class, duration elapsed);

    // The share of the class to turn away, in [0, 1], where `shed_share` of all
    // requests of the rank is to go.
    [[nodiscard]] double
    share_of(std::uint64_t work_class, double shed_share, time_point now) const;

    // Requests count half after this: several bursts of the users' clients,
    // whose rates swing in 11 s.
    static constexpr duration half_life = std::chrono::seconds(10);

    // Classes that are told apart; a deployment has tens.
    static constexpr std::size_t max_classes = 4096;

private:
    struct class_load
    {
        // Requests, halving with time.
        double count = 0;
        time_point counted_at;
        // Moving mean, seconds; 0: no answer yet.
        double elapsed = 0;
    };

    [[nodiscard]] static double count_of(const class_load& one, time_point now);
    [[nodiscard]] double cost_of(const class_load& one) const;

    std::unordered_map<std::uint64_t, class_load> classes_;
    // Over the answers of all classes, seconds.
    double mean_elapsed_ = 0;
};

} // namespace nutmegusher

#endif
