// The health of one upstream as observed by one daemon that calls it: calls in
// flight, latency, failures and ejection, and the admission level reported.
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

// Identifies one upstream within one router; never reused for another.
using upstream_handle = number<struct upstream_handle_tag>;

} // namespace nutmegusher

namespace nutmegusher::internal
{

// Observations of one lane of an upstream: its short or its bulk calls.
struct lane_observation
{
    std::size_t in_flight = 0;
    // Exponential moving average of the answers' latency in seconds; 0: no
    // answer yet.
    double latency = 0;
    // When a call last ended, or when the first of those in flight started.
    time_point last_progress;
};

class upstream_health
{
public:
    // How a call ended, as evidence of the upstream's health.
    enum class ending : std::uint8_t
    {
        answer,
        failure,
        silence,
        // No evidence: the caller cancelled, or the call was refused.
        neutral
    };

    void on_start(bool bulk, time_point now);
    void on_end(bool bulk, ending how, duration elapsed, time_point now);
    void on_level(const admission_level& level, time_point now);

    // Ejects the upstream for a time that doubles with each consecutive
    // ejection.
    void eject(time_point now);

    [[nodiscard]] bool ejected() const
    {
        return ejected_;
    }

    // Whether the ejection time has passed and no half-open probe is running.
    [[nodiscard]] bool probe_due(time_point now) const;

    // Marks the next call as the half-open probe.
    void begin_probe();

    // Whether calls are in flight and none has ended for much longer than the
    // usual latency.
    [[nodiscard]] bool stalled(bool bulk, time_point now) const;

    // Time since a call last ended while others are in flight; zero if none is
    // in flight.
    [[nodiscard]] duration
    time_without_progress(bool bulk, time_point now) const;

    // Whether enough consecutive calls failed for an ejection.
    [[nodiscard]] bool failing() const;

    // Whether its last call failed.
    [[nodiscard]] bool failed_last() const
    {
        return failures_in_row_ > 0;
    }

    // Whether its last reported admission level admits the call; true if that
    // level has expired.
    [[nodiscard]] bool accepts(const call_info& call, time_point now) const;

    // Whether its last reported admission level refuses any calls; false if
    // that level has expired.
    [[nodiscard]] bool refuses_any(time_point now) const;

    // Its last reported admission level; one that refuses nothing if that has
    // expired.
    [[nodiscard]] admission_level level(time_point now) const
    {
        return now < level_until_ ? level_ : admission_level{};
    }

    // Expected waiting time of one more call, in seconds; lower is better.
    [[nodiscard]] double cost(bool bulk) const;

    // Exponential moving average of the answers' latency in seconds; 0: no
    // answer yet.
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
