// A token bucket that limits floods of cheap frames from a peer.
#ifndef NUTMEGUSHER_WIRE_RATE_LIMIT_HPP
#define NUTMEGUSHER_WIRE_RATE_LIMIT_HPP

#include "nutmegusher/base/clock.hpp"

#include <algorithm>
#include <cstdint>

namespace nutmegusher::wire::internal
{

// The bucket's capacity is the number of events allowed per second.
class rate_limit
{
public:
    explicit rate_limit(std::uint32_t per_second)
        : per_second_(per_second)
        , tokens_(per_second)
    {
    }

    // Takes a token; returns false if the rate limit is exceeded.
    [[nodiscard]] bool take(time_point now)
    {
        const std::chrono::duration<double> elapsed = now - last_;
        last_ = now;
        const double refill = elapsed.count() * per_second_;
        tokens_ = std::min<double>(per_second_, tokens_ + refill);
        tokens_ -= 1;
        return tokens_ >= 0;
    }

private:
    double per_second_;
    double tokens_;
    time_point last_;
};

} // namespace nutmegusher::wire::internal

#endif
