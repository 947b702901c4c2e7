// Decides when a lag is logged: once it has lasted a while, at intervals while
// it lasts, and when it ends.
#ifndef NUTMEGUSHER_CONTROL_LAG_MONITOR_HPP
#define NUTMEGUSHER_CONTROL_LAG_MONITOR_HPP

#include "nutmegusher/base/base.hpp"

#include <cstdint>
#include <optional>

namespace nutmegusher
{

struct lag_monitor_options
{
    // Shorter lags are normal: an entry is in flight, or a leader election has
    // just taken place.
    duration report_after = std::chrono::seconds(1);
    // Interval between two log lines about the same lag.
    duration report_interval = std::chrono::seconds(10);
};

enum class lag_state : std::uint8_t
{
    ongoing,
    ended
};

struct lag_report
{
    lag_state state = lag_state::ongoing;
    // Time since the lag began.
    duration length{0};
};

// Example:
//
//     lag_monitor monitor;
//     if (const auto report = monitor.update(is_behind, now)) ...
class lag_monitor
{
public:
    explicit lag_monitor(lag_monitor_options options = {});

    // Returns a report if a log line is due now. `lags`: whether there is a lag
    // now.
    [[nodiscard]] std::optional<lag_report> update(bool lags, time_point now);

private:
    lag_monitor_options options_;
    std::optional<time_point> began_at_;
    std::optional<time_point> reported_;
};

} // namespace nutmegusher

#endif
