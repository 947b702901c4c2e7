// What a caller remembers of an upstream that fails part of its calls.
//
// Pattern of load: see `error_meter`. The upstream's word on its errors comes
// with its answers alone; a caller that avoids it hears no more of it, and
// after forgetting it sends it all it has at once. So the word is remembered
// until it is due to be checked, and then a single call checks it.
#ifndef NUTMEGUSHER_POLICY_REPORTED_ERROR_RATE_HPP
#define NUTMEGUSHER_POLICY_REPORTED_ERROR_RATE_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstdint>

namespace nutmegusher::internal
{

class reported_error_rate
{
public:
    // Its word came: the share of its answers that are its own errors.
    // `sent`: calls sent to the whole service up to now.
    void on_report(double error_rate, std::uint64_t sent, time_point now);

    // A call was sent there; it checks the word.
    void on_start(std::uint64_t sent, time_point now);

    // What sending a call there costs, in seconds of waiting.
    [[nodiscard]] double cost(std::uint64_t sent, time_point now) const;

    // A failed call costs its caller what a late one does; the users' aims lie
    // between 0.1 and 1.5 s. A tenth of errors then outweighs a queue of the
    // upstream's own time at the others, all of it any queue that isn't
    // refused.
    static constexpr double failed_call_seconds = 1.0;

    // A word is checked after so many calls of the service went elsewhere, but
    // no sooner than `min_check_interval`: of hundreds of calls a second one is
    // lost.
    static constexpr std::uint64_t calls_between_checks = 50;
    static constexpr duration min_check_interval = std::chrono::seconds(1);
    // Callers with few calls learn of a recovery by then.
    static constexpr duration max_check_interval = std::chrono::seconds(10);

    // Below this a share is the calls' own: the users' classes fail 4 in 1,000
    // by themselves.
    static constexpr double min_error_rate = 0.05;

private:
    double error_rate_ = 0;
    std::uint64_t reported_at_call_ = 0;
    time_point reported_at_;
};

} // namespace nutmegusher::internal

#endif
