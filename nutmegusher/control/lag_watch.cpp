#include "nutmegusher/control/lag_watch.hpp"

#include <utility>

namespace nutmegusher
{

lag_watch::lag_watch(lag_watch_options options)
    : options_(options)
{
}

std::optional<lag_report> lag_watch::update(bool lags, time_point now)
{
    if (!lags)
    {
        const auto since = std::exchange(since_, std::nullopt);
        const auto reported = std::exchange(reported_, std::nullopt);
        if (!reported)
        {
            return std::nullopt;
        }
        return lag_report{lag_state::ended, now - *since};
    }
    if (!since_)
    {
        since_ = now;
    }
    const auto due = reported_ ? *reported_ + options_.report_interval
                               : *since_ + options_.report_after;
    if (now < due)
    {
        return std::nullopt;
    }
    reported_ = now;
    return lag_report{lag_state::lasts, now - *since_};
}

} // namespace nutmegusher
