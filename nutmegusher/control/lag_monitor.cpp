#include "nutmegusher/control/lag_monitor.hpp"

#include <utility>

namespace nutmegusher
{

lag_monitor::lag_monitor(lag_monitor_options options)
    : options_(options)
{
}

std::optional<lag_report> lag_monitor::update(bool lags, time_point now)
{
    if (!lags)
    {
        const auto began_at = std::exchange(began_at_, std::nullopt);
        const auto reported = std::exchange(reported_, std::nullopt);
        if (!reported)
        {
            return std::nullopt;
        }
        return lag_report{lag_state::ended, now - *began_at};
    }
    if (!began_at_)
    {
        began_at_ = now;
    }
    const auto due = reported_ ? *reported_ + options_.report_interval
                               : *began_at_ + options_.report_after;
    if (now < due)
    {
        return std::nullopt;
    }
    reported_ = now;
    return lag_report{lag_state::ongoing, now - *began_at_};
}

} // namespace nutmegusher
