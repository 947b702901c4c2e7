// A clock for promises to other hosts.
#ifndef NUTMEGUSHER_BASE_UPTIME_CLOCK_HPP
#define NUTMEGUSHER_BASE_UPTIME_CLOCK_HPP

#include "nutmegusher/base/clock.hpp"

#include <ctime>

namespace nutmegusher
{

// The time since the host's start. Unlike `host_clock` it also advances while
// the host is suspended, so it bounds what may have happened elsewhere
// meanwhile. Its readings must not be compared with those of `host_clock`, and
// timers don't follow it.
class uptime_clock
{
public:
    [[nodiscard]] time_point now() const
    {
        timespec reading{};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        return time_point(
            std::chrono::seconds(reading.tv_sec) +
            std::chrono::nanoseconds(reading.tv_nsec));
    }
};

} // namespace nutmegusher

#endif
