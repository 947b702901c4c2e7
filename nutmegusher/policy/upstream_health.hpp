// What one daemon has seen of one upstream that it calls.
#ifndef NUTMEGUSHER_POLICY_UPSTREAM_HEALTH_HPP
#define NUTMEGUSHER_POLICY_UPSTREAM_HEALTH_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/identifier.hpp"
#include "nutmegusher/policy/admission_level.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace nutmegusher
{

// Names one upstream within one router; never used again for another.
using upstream_handle = number<struct upstream_handle_tag>;

} // namespace nutmegusher

namespace nutmegusher::internal
{

// Short and bulk calls of one upstream are observed apart.
struct lane_observation
{
    std::size_t in_flight = 0;
    // Moving mean of answers, seconds; 0: none seen yet.
    double latency = 0;
    // When a call last ended, or the first of those in flight started.
    time_point last_progress;
};

class upstream_health
{
public:
    // How a call ended, as far as the upstream's health goes.
    enum class ending : std::uint8_t
    {
        answer,
        failure,
        silence,
        // Says nothing: the caller went away, or the call was refused.
        neutral
    };

    void on_start(bool bulk, time_point now);
    void on_end(bool bulk, ending how, duration elapsed, time_point now);
    void on_level(const admission_level& level, time_point now);

    // Gives it no work for a time that doubles with each ejection in a row.
    void eject(time_point now);

    [[nodiscard]] bool ejected() const
    {
        return ejected_;
    }

    // Ejected, its time is over, and no probe runs.
    [[nodiscard]] bool probe_due(time_point now) const;

    // The next call is the probe.
    void begin_probe();

    // Calls run there, and none has ended for much longer than usual.
    [[nodiscard]] bool stalled(bool bulk, time_point now) const;

    // How long calls have been in flight there without any end; zero where
    // none is.
    [[nodiscard]] duration
    time_without_progress(bool bulk, time_point now) const;

    // Failed too often in a row.
    [[nodiscard]] bool failing() const;

    // Its last call failed.
    [[nodiscard]] bool failed_last() const
    {
        return failures_in_row_ > 0;
    }

    // Whether its last level, if that is recent, lets the call in.
    [[nodiscard]] bool accepts(const call_info& call, time_point now) const;

    // Whether its last level, if that is recent, refuses anything.
    [[nodiscard]] bool refuses_any(time_point now) const;

    // Its last level if that is recent; otherwise one that refuses nothing.
    [[nodiscard]] admission_level level(time_point now) const
    {
        return now < level_until_ ? level_ : admission_level{};
    }

    // Expected wait of one more call, in seconds; lower is better.
    [[nodiscard]] double cost(bool bulk) const;

    // Moving mean of answers, seconds; 0: none seen yet.
    [[nodiscard]] double latency(bool bulk) const
    {
        return lanes_[index_of(bulk)].latency;
    }

    [[nodiscard]] std::size_t in_flight() const
    {
        return lanes_[0].in_flight + lanes_[1].in_flight;
    }

private:
    static std::size_t index_of(bool bulk)
    {
        return bulk ? 1 : 0;
    }

    void readmit();

    std::array<lane_observation, 2> lanes_;
    std::size_t failures_in_row_ = 0;
    std::size_t ejections_in_row_ = 0;
    bool ejected_ = false;
    bool probe_running_ = false;
    time_point ejected_until_;
    admission_level level_;
    time_point level_until_;
};

} // namespace nutmegusher::internal

#endif
