// Tells when a lag is worth a log line: once it has lasted, now and then while
// it lasts, and when it has ended.
#ifndef NUTMEGUSHER_CONTROL_LAG_WATCH_HPP
#define NUTMEGUSHER_CONTROL_LAG_WATCH_HPP

#include "nutmegusher/base/base.hpp"

#include <cstdint>
#include <optional>

namespace nutmegusher
{

struct lag_watch_options
{
    // Shorter lags are ordinary: an entry is under way, or a leader was
    // elected.
    duration report_after = std::chrono::seconds(1);
    // Between two lines on one lag.
    duration report_interval = std::chrono::seconds(10);
};

enum class lag_state : std::uint8_t
{
    lasts,
    ended
};

struct lag_report
{
    lag_state state = lag_state::lasts;
    // Since the lag began.
    duration length{0};
};

//     lag_watch watch;
//     if (const auto report = watch.update(is_behind, now)) ...
class lag_watch
{
public:
    explicit lag_watch(lag_watch_options options = {});

    // What is to be told now; nothing most of the time.
    [[nodiscard]] std::optional<lag_report> update(bool lags, time_point now);

private:
    lag_watch_options options_;
    std::optional<time_point> since_;
    std::optional<time_point> reported_;
};

} // namespace nutmegusher

#endif
