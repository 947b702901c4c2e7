// Decides when the callers of refused requests come back, and which of them are
// let in then.
//
//     const bool is_kept = schedule.arrive(key, rank, now);   // let it in
//     const double share = schedule.share_for_new(rank, shed_share, now);
//     if (!is_kept && share > fraction)
//     {
//         const auto offer =
//             schedule.refuse(key, {rank, shed_share, latest}, now, engine);
//         refuse(offer.after);
//     }
//
// Pattern of load: a service has too little room for a second or for many, and
// each entry sheds a part of its requests. All callers come back after the same
// time and face the same odds again: those who were refused once are refused
// twice, while new requests are let in before them.
//
// - A refused request is promised the next time at which the room that becomes
//   free takes one more; in a short surge this is within a fraction of a
//   second.
// - At most half of what is admitted is promised, so new requests are still
//   served at once.
// - Nothing is promised beyond `latest`. A promise that is kept too late for
//   the request's target would make requests late that could be in time.
// - New requests are shed the more for the promises that are kept, so as much
//   is shed as before.
//
// A promise is used once, and ends by itself. It is recognised by a key that
// the entry computes from the content of the request.
#ifndef NUTMEGUSHER_POLICY_RETURN_SCHEDULE_HPP
#define NUTMEGUSHER_POLICY_RETURN_SCHEDULE_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/random.hpp"
#include "nutmegusher/policy/call.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace nutmegusher
{

// A request that is refused.
struct refused_request
{
    std::uint8_t rank = 0;
    // The share of the requests of its rank that is shed, in [0, 1].
    double shed_share = 0;
    // The latest time at which it may come back and still meet its target.
    time_point latest;
    // The longest pause that its caller keeps to.
    duration longest_pause{0};
};

struct return_offer
{
    // When the caller may come back.
    duration after{0};
    // The request is let in if it comes back then.
    bool is_promised = false;
};

class return_schedule
{
public:
    // A request of the rank arrives. Returns true if it was promised a time and
    // comes in it; one that comes too early keeps its promise for later.
    bool arrive(std::uint64_t key, std::uint8_t rank, time_point now);

    // The share of the rank's requests without a promise to shed, if
    // `shed_share` of all is to be shed.
    [[nodiscard]] double
    share_for_new(std::uint8_t rank, double shed_share, time_point now) const;

    // Decides when the caller of a refused request comes back.
    return_offer refuse(
        std::uint64_t key,
        const refused_request& request,
        time_point now,
        random_engine& engine);

    // Number of promises that may still be kept.
    [[nodiscard]] std::size_t promises() const
    {
        return promises_.size();
    }

    // The part of the admitted requests that is promised at most.
    static constexpr double promised_part = 0.5;
    // Shorter pauses cost a connection without any room becoming free.
    static constexpr duration min_pause = std::chrono::milliseconds(50);
    // For a request that nothing is promised: long enough for the shed level to
    // fall, and short enough for the users' shortest target of a class that is
    // refused first, 1.5 s.
    static constexpr duration usual_pause = std::chrono::milliseconds(700);
    // Where more than this share is shed, the caller is told the longest pause:
    // an earlier return would most likely be refused again, and a late answer
    // is better than none.
    static constexpr double hopeless_share = 0.8;
    // How much earlier, and how much later, than promised a request may come.
    static constexpr duration early_tolerance = std::chrono::milliseconds(20);
    static constexpr duration late_tolerance = std::chrono::seconds(1);
    // Bounds the memory of an entry: a promise takes about 100 bytes.
    static constexpr std::size_t max_promises = 4096;

private:
    // Requests a second of one rank, as of `at`.
    struct rank_rates
    {
        double fresh = 0;
        double kept = 0;
        time_point at;
        // The last time that was promised.
        time_point booked_until;
    };

    struct promise
    {
        std::uint8_t rank = 0;
        time_point at;
    };

    static void decay(rank_rates& of, time_point now);
    void expire(time_point now);

    std::array<rank_rates, rank_count> ranks_;
    std::unordered_map<std::uint64_t, promise> promises_;
    // In the order in which they were made; the times of one rank ascend.
    std::deque<std::pair<time_point, std::uint64_t>> made_;
};

} // namespace nutmegusher

#endif
