// What an upstream says of its own load in its answers.
//
//     if (const auto load = parse_reported_load(field))
//         reported.record(*load, now);
//     queue.set_pace(reported.pace(now), now);
//
// Pattern of load: upstreams share their hosts with other work, and a host
// becomes several times slower for a fraction of a second. Measured slot times
// show that only once calls have ended, when the slow period is nearly over.
//
// The load is known only as long as the upstream answers: it ages out, so that
// an upstream that got no calls for a while counts as one at its usual pace.
#ifndef NUTMEGUSHER_POLICY_REPORTED_LOAD_HPP
#define NUTMEGUSHER_POLICY_REPORTED_LOAD_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace nutmegusher
{

// The pace of a host that works as fast as usual, in percent.
inline constexpr std::uint32_t usual_pace = 100;

struct reported_load
{
    // Calls that run and that wait at the upstream, and how many it serves
    // concurrently.
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
    // How long work takes on the upstream's host at this moment, in percent of
    // the usual time; 0: not reported.
    std::uint32_t pace = 0;

    [[nodiscard]] bool has_free_slot() const
    {
        return waiting == 0 && running < slots;
    }

    friend bool
    operator==(const reported_load&, const reported_load&) = default;
};

// Parses "running,waiting,slots" or "running,waiting,slots,pace", with optional
// spaces around the numbers and further figures after them. Returns nullopt if
// the text has another form, or if the pace is out of [1, `max_pace`].
[[nodiscard]] std::optional<reported_load>
parse_reported_load(std::string_view text);

// A host that slows down further counts as this slow.
inline constexpr std::uint32_t max_pace = 100'000;

// The last load that an upstream reported.
class last_reported_load
{
public:
    void record(const reported_load& load, time_point now);

    // Another process of the upstream has started.
    void reset();

    // The pace of the host; `usual_pace` if the last report is older than
    // `lifetime`; 0 if the upstream's reports contain no pace.
    [[nodiscard]] std::uint32_t pace(time_point now) const;

    // The last report; nullopt if it is older than `lifetime`.
    [[nodiscard]] std::optional<reported_load> load(time_point now) const;

    // The users' hosts keep a pace for about this long.
    static constexpr duration lifetime = std::chrono::milliseconds(600);

private:
    std::optional<reported_load> last_;
    time_point at_;
};

} // namespace nutmegusher

#endif
