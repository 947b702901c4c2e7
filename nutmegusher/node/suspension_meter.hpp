// How long the host was suspended.
#ifndef NUTMEGUSHER_NODE_SUSPENSION_METER_HPP
#define NUTMEGUSHER_NODE_SUSPENSION_METER_HPP

#include "nutmegusher/base/base.hpp"

#include <deque>
#include <mutex>

namespace nutmegusher::node
{

// `host_clock` stands still while the host is suspended, so the age of what it
// has stamped is longer than it says.
//
//     suspension_meter suspensions;
//     const auto age =
//         host_clock().now() - stamp + suspensions.since(stamp);
//
// Thread-safe.
class suspension_meter
{
public:
    suspension_meter();

    // Returns at least the time that the host was suspended since `stamp`, a
    // reading of `host_clock`. A suspension counts as one at the first call
    // after it.
    [[nodiscard]] duration since(time_point stamp);

    // The same for given readings of both clocks, for tests.
    [[nodiscard]] duration
    since(time_point stamp, time_point host_now, time_point uptime_now);

private:
    struct suspension
    {
        time_point noticed_at;
        duration length{0};
    };

    // A suspension is forgotten after this time; older stamps count as this
    // old, which is more than any bound on them.
    static constexpr duration memory = std::chrono::minutes(5);

    std::mutex mutex_;
    // How far `uptime_clock` is ahead of `host_clock`.
    duration offset_;
    std::deque<suspension> suspensions_;
};

} // namespace nutmegusher::node

#endif
