// How many requests of a team all daemons together let in, and the times that
// the owner and the holders of its tokens agree on.
#ifndef NUTMEGUSHER_TEAMS_QUOTA_HPP
#define NUTMEGUSHER_TEAMS_QUOTA_HPP

#include "nutmegusher/base/base.hpp"

#include <algorithm>
#include <chrono>

namespace nutmegusher
{

// A team's quota.
struct quota
{
    // Requests a second; 0: no limit.
    double rate = 0;
    // Requests beyond the rate at once.
    double burst = 0;

    [[nodiscard]] bool is_limited() const
    {
        return rate > 0;
    }

    // How many tokens the owner collects while none is asked for.
    [[nodiscard]] double capacity() const
    {
        return std::max(burst, 1 + rate * min_burst_seconds);
    }

    friend bool operator==(const quota&, const quota&) = default;

    // Without any burst, requests that arrive together would be refused.
    static constexpr double min_burst_seconds = 0.1;
};

// What operators allow beyond a quota. In any window of that length, at
// most `(rate * window + burst) * (1 + overage) + slack` requests of a team may
// run.
struct quota_bounds
{
    duration window = std::chrono::seconds(5);
    double overage = 0.1;
    double slack = 20;

    // The requests that may run in a window beyond `rate * window + burst`.
    [[nodiscard]] double excess(const quota& of) const
    {
        const std::chrono::duration<double> seconds(window);
        return overage * (of.rate * seconds.count() + of.burst) + slack;
    }
};

// The same at all hosts.
struct quota_times
{
    // How long a holder may use its tokens after it sent the last request that
    // the owner has answered.
    duration holding_lifetime = std::chrono::milliseconds(2500);
    // How long a host may still act as the owner after a majority has last
    // confirmed that it leads. Several heartbeats.
    duration ownership_lifetime = std::chrono::milliseconds(300);
};

} // namespace nutmegusher

#endif
