// A token bucket against peers that flood with cheap frames.
#ifndef NUTMEGUSHER_WIRE_RATE_LIMIT_HPP
#define NUTMEGUSHER_WIRE_RATE_LIMIT_HPP

#include "nutmegusher/base/clock.hpp"

#include <algorithm>
#include <cstdint>

namespace nutmegusher::wire::internal
{

// Holds a second's worth of events.
class rate_limit
{
public:
    explicit rate_limit(std::uint32_t per_second)
        : per_second_(per_second)
        , tokens_(per_second)
    {
    }

    // False when the event passes the limit.
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
