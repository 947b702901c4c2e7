#include "nutmegusher/node/configuration_age.hpp"

namespace nutmegusher::node
{

void configuration_age::advance(time_point at)
{
    const auto value = at.time_since_epoch().count();
    auto known = current_at_.load();
    while (known < value && !current_at_.compare_exchange_weak(known, value))
    {
    }
}

duration configuration_age::now()
{
    const time_point at{duration(current_at_.load())};
    if (at == time_point())
    {
        return duration::max();
    }
    return host_clock().now() - at + suspensions_.since(at);
}

} // namespace nutmegusher::node
