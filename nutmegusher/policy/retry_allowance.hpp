// Limits how often this daemon retries calls of one service.
//
//     allowance.on_call();             // a call is sent for the first time
//     if (allowance.take()) retry();   // a call that may have run already
//
// Pattern of load: an upstream loses answers or fails, and every daemon retries
// its calls; each retry makes its sub-calls again, at every level below. These
// calls don't name the request that they belong to, so no retry tokens can
// travel with them (as in `retry_budget`). Instead each daemon retries at most
// a fixed ratio of its own calls. The retries of all daemons together are then
// that ratio of all calls, for any number of daemons, plus one `max_balance`
// per daemon.
#ifndef NUTMEGUSHER_POLICY_RETRY_ALLOWANCE_HPP
#define NUTMEGUSHER_POLICY_RETRY_ALLOWANCE_HPP

#include <algorithm>

namespace nutmegusher
{

class retry_allowance
{
public:
    // Retries per request of a member or clerk: half of what operators allow a
    // service (a fifth of its calls), as each retry makes its sub-calls again.
    static constexpr double ratio_of_requests = 0.1;

    // Retries per sub-call. With the ratio above it keeps the retries at each
    // of the four services of the users' chains below a fifth of its calls,
    // whatever fails at once: 0.10, 0.12, 0.15 and 0.18 from the first to the
    // last, calculated at the Association's rates and without `max_balance`.
    static constexpr double ratio_of_sub_calls = 0.03;

    // Retries that may accumulate while few are needed.
    static constexpr double max_balance = 2;

    explicit retry_allowance(double ratio)
        : ratio_(ratio)
    {
    }

    void on_call()
    {
        balance_ = std::min(balance_ + ratio_, max_balance);
    }

    // Returns true if one retry may be sent, and deducts it.
    bool take()
    {
        if (balance_ < 1)
        {
            return false;
        }
        balance_ -= 1;
        return true;
    }

    [[nodiscard]] double balance() const
    {
        return balance_;
    }

private:
    double ratio_;
    // A daemon that has just started may retry one call.
    double balance_ = 1;
};

} // namespace nutmegusher

#endif
