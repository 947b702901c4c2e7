#include "nutmegusher/node/suspension_meter.hpp"

namespace nutmegusher::node
{

namespace
{

// The two clocks are read one after the other.
constexpr duration min_suspension = std::chrono::milliseconds(1);

} // namespace

suspension_meter::suspension_meter()
    : offset_(uptime_clock().now() - host_clock().now())
{
}

duration suspension_meter::since(time_point stamp)
{
    return since(stamp, host_clock().now(), uptime_clock().now());
}

duration suspension_meter::since(
    time_point stamp, time_point host_now, time_point uptime_now)
{
    const std::scoped_lock lock(mutex_);
    const auto grown = (uptime_now - host_now) - offset_;
    if (grown >= min_suspension)
    {
        suspensions_.push_back({host_now, grown});
        offset_ += grown;
    }
    while (!suspensions_.empty() &&
           suspensions_.front().noticed_at < host_now - memory)
    {
        suspensions_.pop_front();
    }
    if (stamp < host_now - memory)
    {
        return memory;
    }
    duration sum{0};
    for (const auto& each : suspensions_)
    {
        sum += each.noticed_at >= stamp ? each.length : duration::zero();
    }
    return sum;
}

} // namespace nutmegusher::node
