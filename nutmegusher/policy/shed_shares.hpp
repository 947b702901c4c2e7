// Distributes the shed requests of one rank over its classes.
//
//     shares.on_request(work_class, now);     // one that may be shed
//     shares.on_answer(work_class, elapsed);  // one that was admitted
//     if (shares.share_of(work_class, shed_share, now) > fraction) refuse();
//
// Pattern of load: a service deep in the call path is full, and all classes of
// the lowest rank use it. Requests of some classes reach it directly and hold
// one slot briefly; those of others hold slots at four services while they make
// sequential calls. If the same share of each class is shed, the direct ones
// lose as many requests as the long ones although each frees only a fraction of
// the slot time. At 1.4 times the slots, the short class reached 0.81 of its
// possible value with this distribution instead of 0.38, the long one 0.44
// instead of 0.47.
//
// - Each class is shed in proportion to the time from the arrival of its
//   requests to their answers: apart from network time, all of it is spent in
//   slots or waiting for them.
// - All classes together lose the requested share, so entries shed as many
//   requests as with the same share for each class.
#ifndef NUTMEGUSHER_POLICY_SHED_SHARES_HPP
#define NUTMEGUSHER_POLICY_SHED_SHARES_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace nutmegusher
{

// The classes of one rank.
class shed_shares
{
public:
    // Reports a request of the class that arrived while a share of its rank is
    // shed.
    void on_request(std::uint64_t work_class, time_point now);

    // Reports that a request of the class was answered `elapsed` after its
    // arrival.
    void on_answer(std::uint64_t work_class, duration elapsed);

    // The share of the class to shed, in [0, 1], if `shed_share` of all
    // requests of the rank is to be shed.
    [[nodiscard]] double
    share_of(std::uint64_t work_class, double shed_share, time_point now) const;

    // The usual time from the arrival of a request of the class to its answer;
    // zero before the first answer of any class.
    [[nodiscard]] duration usual_elapsed(std::uint64_t work_class) const;

    // The half-life of request counts: it spans several bursts of the users'
    // clients, whose rates swing with a period of 11 s.
    static constexpr duration half_life = std::chrono::seconds(10);

    // Bound on the number of tracked classes; a deployment has tens.
    static constexpr std::size_t max_classes = 4096;

private:
    struct class_load
    {
        // Requests; decays with `half_life`.
        double count = 0;
        time_point counted_at;
        // Exponential moving average, in seconds; 0: no answer yet.
        double elapsed = 0;
    };

    [[nodiscard]] static double count_of(const class_load& one, time_point now);
    [[nodiscard]] double cost_of(const class_load& one) const;

    std::unordered_map<std::uint64_t, class_load> classes_;
    // The same over the answers of all classes, in seconds.
    double mean_elapsed_ = 0;
};

} // namespace nutmegusher

#endif
