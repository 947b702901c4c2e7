#include "nutmegusher/policy/upstream_health.hpp"

#include <algorithm>

namespace nutmegusher::internal
{

namespace
{

constexpr double latency_weight = 1.0 / 8;

// One failure may be due to the call itself, two to coincidence.
constexpr std::size_t failures_to_eject = 3;

// Service must be restored within a second: the first probe follows after a
// quarter of that. Longer failures are probed with exponential backoff.
constexpr duration first_ejection = std::chrono::milliseconds(250);
constexpr std::size_t max_doublings = 5;

// Same criteria as at the upstream itself: see `concurrency_limit`.
constexpr double stall_latencies = 4;
constexpr double min_stall_seconds = 0.05;
constexpr std::size_t stall_in_flight = 2;

// Twice as long as the meters behind a level look back; an older level is
// outdated.
constexpr duration level_lifetime = std::chrono::milliseconds(500);

// Assumed before the first answer: the latency of a fast upstream.
constexpr double default_latency = 0.001;

} // namespace

void upstream_health::on_start(bool bulk, time_point now)
{
    lane_observation& lane = lanes_[index_of(bulk)];
    if (lane.in_flight == 0)
    {
        lane.last_progress = now;
    }
    ++lane.in_flight;
}

void upstream_health::on_end(
    bool bulk, ending how, duration elapsed, time_point now)
{
    lane_observation& lane = lanes_[index_of(bulk)];
    lane.in_flight -= std::min<std::size_t>(lane.in_flight, 1);
    switch (how)
    {
    case ending::answer:
    {
        const double seconds = std::chrono::duration<double>(elapsed).count();
        lane.latency =
            lane.latency == 0
                ? seconds
                : lane.latency + (seconds - lane.latency) * latency_weight;
        lane.last_progress = now;
        failures_in_row_ = 0;
        if (probe_running_)
        {
            readmit();
        }
        break;
    }
    case ending::failure:
        lane.last_progress = now;
        ++failures_in_row_;
        break;
    case ending::silence:
        failures_in_row_ = std::max(failures_in_row_, failures_to_eject);
        break;
    case ending::neutral:
        probe_running_ = false;
        break;
    }
}

void upstream_health::on_level(const admission_level& level, time_point now)
{
    level_ = level;
    level_until_ = now + level_lifetime;
}

void upstream_health::eject(time_point now)
{
    const std::size_t doublings = std::min(ejections_in_row_, max_doublings);
    ejected_ = true;
    probe_running_ = false;
    ejected_until_ = now + first_ejection * (1 << doublings);
    ++ejections_in_row_;
}

bool upstream_health::probe_due(time_point now) const
{
    return ejected_ && !probe_running_ && now >= ejected_until_;
}

void upstream_health::begin_probe()
{
    probe_running_ = true;
}

void upstream_health::readmit()
{
    probe_running_ = false;
    ejected_ = false;
    ejections_in_row_ = 0;
    failures_in_row_ = 0;
    // Latencies averaged while it was slow would keep all calls away.
    lanes_[0].latency = 0;
    lanes_[1].latency = 0;
}

bool upstream_health::stalled(bool bulk, time_point now) const
{
    const lane_observation& lane = lanes_[index_of(bulk)];
    if (lane.in_flight < stall_in_flight || lane.latency == 0)
    {
        return false;
    }
    const double time_without_progress =
        std::chrono::duration<double>(now - lane.last_progress).count();
    return time_without_progress >
           std::max(min_stall_seconds, lane.latency * stall_latencies);
}

duration upstream_health::time_without_progress(bool bulk, time_point now) const
{
    const lane_observation& lane = lanes_[index_of(bulk)];
    return lane.in_flight == 0 ? duration(0) : now - lane.last_progress;
}

bool upstream_health::failing() const
{
    return failures_in_row_ >= failures_to_eject;
}

bool upstream_health::accepts(const call_info& call, time_point now) const
{
    return now >= level_until_ || passes(level_, call);
}

bool upstream_health::refuses_any(time_point now) const
{
    const bool any = level_.short_lane.rank < rank_count ||
                     level_.bulk_lane.rank < rank_count;
    return any && now < level_until_;
}

double upstream_health::cost(bool bulk) const
{
    const lane_observation& lane = lanes_[index_of(bulk)];
    const double latency = lane.latency > 0 ? lane.latency : default_latency;
    return static_cast<double>(lane.in_flight + 1) * latency;
}

} // namespace nutmegusher::internal
