// Limits the rate of calls to an upstream that names how many it takes a
// second.
//
//     rate_meter meter;
//     meter.set_limit(22.5, now);       // the upstream's last answer names it
//     if (meter.allows(now))
//         meter.on_start(now);
//     else
//         wake_at(meter.next_start());
//     meter.set_limit(std::nullopt, now);   // an answer names none
//
// Token bucket. In any span of t seconds under one limit at most `limit * t +
// burst` calls start. The bucket is empty when a limit begins: what started
// before counts against the upstream as well.
#ifndef NUTMEGUSHER_POLICY_RATE_METER_HPP
#define NUTMEGUSHER_POLICY_RATE_METER_HPP

#include "nutmegusher/base/clock.hpp"

#include <algorithm>
#include <optional>

namespace nutmegusher
{

class rate_meter
{
public:
    // `calls_per_second`: what the upstream takes; nullopt: any rate. Values
    // below `min_rate` count as that.
    // Requires: finite.
    void set_limit(std::optional<double> calls_per_second, time_point now);

    // The limit in force, in calls a second.
    [[nodiscard]] std::optional<double> limit() const
    {
        return limit_;
    }

    // Whether a call may start now.
    [[nodiscard]] bool allows(time_point now) const;

    // When the next call may start. Requires: there is a limit.
    [[nodiscard]] time_point next_start() const;

    // A call starts.
    void on_start(time_point now);

    // An upstream that takes nothing still gets a call now and then, as only an
    // answer can end its limit.
    static constexpr double min_rate = 0.25;
    // The bucket holds the calls of this time, and at least one.
    static constexpr duration burst_time = std::chrono::milliseconds(100);

    // The size of the bucket at a limit, in calls.
    [[nodiscard]] static double burst_of(double limit)
    {
        const std::chrono::duration<double> seconds(burst_time);
        return std::max(1.0, limit * seconds.count());
    }

private:
    [[nodiscard]] double tokens_at(time_point now) const;

    std::optional<double> limit_;
    double tokens_ = 0;
    time_point updated_at_;
};

} // namespace nutmegusher

#endif
