#include "nutmegusher/policy/load_meter.hpp"

#include <algorithm>
#include <cmath>
#include <span>

namespace nutmegusher::internal
{

namespace
{

double to_seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::size_t index_of(std::uint8_t rank)
{
    return std::min<std::size_t>(rank, rank_count - 1);
}

// The level that admits `capacity` calls, in strict order of rank.
lane_level
level_for_capacity(std::span<const rank_counts> seen, double capacity)
{
    for (std::size_t rank = 0; rank < seen.size(); ++rank)
    {
        const double offered = seen[rank].offered;
        if (offered <= capacity)
        {
            capacity -= offered;
            continue;
        }
        const double share = 1.0 - capacity / offered;
        return {
            static_cast<std::uint8_t>(rank),
            static_cast<std::uint16_t>(share * 1000)};
    }
    return {};
}

} // namespace

void decaying_count::add(double amount, time_point now)
{
    value_ = value(now) + amount;
    updated_ = std::max(updated_, now);
}

double decaying_count::value(time_point now) const
{
    if (value_ == 0 || now <= updated_)
    {
        return value_;
    }
    const double age = to_seconds(now - updated_) / to_seconds(time_constant);
    return value_ * std::exp(-age);
}

double decaying_count::per_second(time_point now) const
{
    return value(now) / to_seconds(time_constant);
}

void load_meter::rotate_window(time_point now)
{
    if (now < current_until_)
    {
        return;
    }
    const bool adjacent = now < current_until_ + window;
    last_ = adjacent ? current_ : counts{};
    current_ = {};
    current_until_ = now + window;
}

void load_meter::on_offered(std::uint8_t rank, time_point now)
{
    rotate_window(now);
    ++current_[index_of(rank)].offered;
    offered_[index_of(rank)].add(1, now);
}

void load_meter::on_refused(std::uint8_t rank, time_point now)
{
    rotate_window(now);
    ++current_[index_of(rank)].refused;
    refused_[index_of(rank)].add(1, now);
}

void load_meter::on_started(std::uint8_t rank, time_point now)
{
    rotate_window(now);
    ++current_[index_of(rank)].started;
}

void load_meter::on_finished(time_point now)
{
    finished_.add(1, now);
}

double
load_meter::better_ranks_per_second(std::uint8_t rank, time_point now) const
{
    double sum = 0;
    for (std::size_t index = 0; index < index_of(rank); ++index)
    {
        sum += offered_[index].per_second(now);
    }
    return sum;
}

double load_meter::refused_per_second(std::uint8_t rank, time_point now) const
{
    return refused_[index_of(rank)].per_second(now);
}

double load_meter::finished_per_second(time_point now) const
{
    return finished_.per_second(now);
}

lane_level load_meter::level(time_point now) const
{
    if (now >= current_until_ + window)
    {
        return {};
    }
    const counts& seen = now < current_until_ ? last_ : current_;
    double offered = 0;
    double refused = 0;
    double started = 0;
    for (const rank_counts& rank : seen)
    {
        offered += rank.offered;
        refused += rank.refused;
        started += rank.started;
    }
    const double shortfall = std::min(offered - started, refused);
    if (shortfall <= offered * min_refused_share)
    {
        return {};
    }
    return level_for_capacity(seen, offered - shortfall);
}

} // namespace nutmegusher::internal
