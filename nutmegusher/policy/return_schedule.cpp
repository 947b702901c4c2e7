#include "nutmegusher/policy/return_schedule.hpp"

#include "nutmegusher/policy/retry_after_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace nutmegusher
{

namespace
{

// Covers tens of requests of a rank at an entry, and follows a surge.
constexpr double rate_seconds = 1;
constexpr double min_rate = 0.1;

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

void return_schedule::decay(rank_rates& of, time_point now)
{
    const std::chrono::duration<double> age = now - of.at;
    const double kept = std::exp(-std::max(age.count(), 0.0) / rate_seconds);
    of.fresh *= kept;
    of.kept *= kept;
    of.at = std::max(of.at, now);
}

void return_schedule::expire(time_point now)
{
    while (!made_.empty() && made_.front().first + late_tolerance < now)
    {
        const auto [at, key] = made_.front();
        made_.pop_front();
        const auto found = promises_.find(key);
        if (found != promises_.end() && found->second.at == at)
        {
            promises_.erase(found);
        }
    }
}

bool return_schedule::arrive(
    std::uint64_t key, std::uint8_t rank, time_point now)
{
    expire(now);
    auto& rates = ranks_.at(rank);
    decay(rates, now);
    const auto found = promises_.find(key);
    const bool is_kept = found != promises_.end() &&
                         found->second.rank == rank &&
                         now >= found->second.at - early_tolerance &&
                         now <= found->second.at + late_tolerance;
    (is_kept ? rates.kept : rates.fresh) += 1 / rate_seconds;
    if (is_kept)
    {
        promises_.erase(found);
    }
    return is_kept;
}

double return_schedule::share_for_new(
    std::uint8_t rank, double shed_share, time_point now) const
{
    auto rates = ranks_.at(rank);
    decay(rates, now);
    if (shed_share <= 0 || rates.fresh < min_rate)
    {
        return shed_share;
    }
    const double admitted = (1 - shed_share) * (rates.fresh + rates.kept);
    const double fresh_admitted = std::max(admitted - rates.kept, 0.0);
    return std::clamp(1 - fresh_admitted / rates.fresh, shed_share, 1.0);
}

return_offer return_schedule::refuse(
    std::uint64_t key,
    const refused_request& request,
    time_point now,
    random_engine& engine)
{
    expire(now);
    auto& rates = ranks_.at(request.rank);
    decay(rates, now);
    const double admitted = (1 - std::clamp(request.shed_share, 0.0, 1.0)) *
                            (rates.fresh + rates.kept);
    const double promised_rate = admitted * promised_part;
    const bool has_room = promised_rate >= min_rate &&
                          promises_.size() < max_promises &&
                          !promises_.contains(key);
    if (has_room)
    {
        const auto next = std::max(
            rates.booked_until + from_seconds(1 / promised_rate),
            now + min_pause);
        if (next <= request.latest)
        {
            rates.booked_until = next;
            promises_.insert_or_assign(key, promise{request.rank, next});
            made_.emplace_back(next, key);
            return {next - now, true};
        }
    }
    if (request.shed_share > hopeless_share &&
        request.longest_pause > usual_pause)
    {
        return {request.longest_pause, false};
    }
    const auto pause =
        std::clamp<duration>(request.latest - now, min_pause, usual_pause);
    return {jittered(pause, engine), false};
}

} // namespace nutmegusher
