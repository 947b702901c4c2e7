// Tells when a lag is worth a log line: once it has lasted, now and then while
// it lasts, and when it has ended.
#ifndef NUTMEGUSHER_CONTROL_LAG_MONITOR_HPP
#define NUTMEGUSHER_CONTROL_LAG_MONITOR_HPP

#include "nutmegusher/base/base.hpp"

#include <cstdint>
#include <optional>

namespace nutmegusher
{

struct lag_monitor_options
{
    // Shorter lags are ordinary: an entry is under way, or a leader was
    // elected.
    duration report_after = std::chrono::seconds(1);
    // Between two lines on one lag.
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
    // Since the lag began.
    duration length{0};
};

//     lag_monitor monitor;
//     if (const auto report = monitor.update(is_behind, now)) ...
class lag_monitor
{
public:
    explicit lag_monitor(lag_monitor_options options = {});

    // What is to be told now; nothing most of the time.
    [[nodiscard]] std::optional<lag_report> update(bool lags, time_point now);

private:
    lag_monitor_options options_;
    std::optional<time_point> began_at_;
    std::optional<time_point> reported_;
};

} // namespace nutmegusher

#endif
