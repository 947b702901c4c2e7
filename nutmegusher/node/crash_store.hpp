// Stores on a control host's disk which requests are in quarantine because they
// crash upstreams, so that a total power loss does not cost further upstreams.
// Requests that are only suspected are not stored.
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

// Encodes the records with their ages. `wall_ms` counts milliseconds since 1970
// because the host's monotonic clock does not survive a restart.
[[nodiscard]] std::string encode_crashes(
    std::span<const crash_record> records,
    time_point now,
    std::uint64_t wall_ms);

// Decodes the records and adds the time since they were written to their ages;
// a wall clock that was set back adds none. Returns no records if the bytes are
// damaged, as evidence can be collected again.
[[nodiscard]] std::vector<crash_record>
decode_crashes(std::string_view bytes, time_point now, std::uint64_t wall_ms);

// Replaces the stored records. Errors: `storage_failure`.
template <disk Disk>
leaf::result<void> save_crashes(
    Disk& target,
    std::span<const crash_record> records,
    time_point now,
    std::uint64_t wall_ms)
{
    return target.replace(crash_file, encode_crashes(records, now, wall_ms));
}

// Errors: `storage_failure` if the disk cannot be read.
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
