// How often calls of one service may be sent a second time by this daemon.
//
//     allowance.on_call();                  // a call is sent the first time
//     if (allowance.take()) send_again();   // one that may have run already
//
// Pattern of load: an upstream loses answers or fails, and every daemon sends
// its calls again; each repeat makes its sub-calls again, at every level
// below. Calls here name no request that they are a part of, so no tokens can
// travel with them; instead each daemon keeps to a share of its own calls.
// What all daemons together repeat is then that share of all calls, whatever
// their number, plus one reserve each.
#ifndef NUTMEGUSHER_POLICY_RETRY_ALLOWANCE_HPP
#define NUTMEGUSHER_POLICY_RETRY_ALLOWANCE_HPP

#include <algorithm>

namespace nutmegusher
{

class retry_allowance
{
public:
    // Of the requests of members and clerks: half of what operators allow a
    // service (a fifth of its calls), as each repeat makes its sub-calls again.
    static constexpr double ratio_of_requests = 0.1;

    // Of sub-calls. With the ratio above it keeps each of the four services of
    // the users' chains below a fifth, whatever fails at once: 0.10, 0.12, 0.15
    // and 0.18 of the calls from the first to the last, worked out at the
    // Association's rates and without the reserves.
    static constexpr double ratio_of_sub_calls = 0.03;

    // What a quiet time saves up.
    static constexpr double max_balance = 2;

    explicit retry_allowance(double ratio)
        : ratio_(ratio)
    {
    }

    void on_call()
    {
        balance_ = std::min(balance_ + ratio_, max_balance);
    }

    // True: one repeat may be sent, and is counted.
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
    // A daemon that has just started may repeat one call.
    double balance_ = 1;
};

} // namespace nutmegusher

#endif
