// What a control host keeps on its disk of requests that end upstreams: those
// in quarantine, so that a loss of all power doesn't cost further upstreams.
// Suspects aren't kept.
#ifndef NUTMEGUSHER_NODE_CRASH_STORE_HPP
#define NUTMEGUSHER_NODE_CRASH_STORE_HPP

#include "nutmegusher/control/control.hpp"
#include "nutmegusher/node/crash_tracker.hpp"

#include <algorithm>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher::node
{

inline constexpr std::string_view crash_file = "quarantine";

// `wall_ms`: milliseconds since 1970; a host's clocks don't outlive it.
[[nodiscard]] std::string encode_crashes(
    std::span<const crash_record> records,
    time_point now,
    std::uint64_t wall_ms);

// Ages grow by the time since it was written; a clock that was set back adds
// none. Nothing where the bytes can't be read: evidence can be gathered anew.
[[nodiscard]] std::vector<crash_record>
decode_crashes(std::string_view bytes, time_point now, std::uint64_t wall_ms);

// Replaces what was kept. Errors: `storage_failure`.
template <disk Disk>
leaf::result<void> save_crashes(
    Disk& target,
    std::span<const crash_record> records,
    time_point now,
    std::uint64_t wall_ms)
{
    return target.replace(crash_file, encode_crashes(records, now, wall_ms));
}

// Errors: `storage_failure` where the disk can't be read.
template <disk Disk>
leaf::result<std::vector<crash_record>>
load_crashes(Disk& from, time_point now, std::uint64_t wall_ms)
{
    BOOST_LEAF_AUTO(bytes, from.read(crash_file));
    return bytes ? decode_crashes(*bytes, now, wall_ms)
                 : std::vector<crash_record>();
}

} // namespace nutmegusher::node

#endif
