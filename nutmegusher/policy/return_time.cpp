#include "nutmegusher/policy/return_time.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

// Where nothing drains one place a second is given, so that the line stays
// finite and somebody comes to look.
constexpr double least_room_per_second = 1.0;

} // namespace

duration return_schedule::next(double room_per_second, time_point now)
{
    const double room = std::max(room_per_second, least_room_per_second);
    const auto gap = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1.0 / room));
    last_ = std::clamp(last_ + gap, now, now + longest_return);
    return wait(now);
}

duration return_schedule::wait(time_point now) const
{
    return std::clamp(last_ - now, shortest_return, longest_return);
}

duration spread(duration mean, random_engine& engine)
{
    const double factor = 0.5 + uniform_unit(engine);
    return std::chrono::duration_cast<duration>(mean * factor);
}

} // namespace nutmegusher
