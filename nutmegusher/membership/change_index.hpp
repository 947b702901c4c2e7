// An index of the changes since a stamp.
#ifndef NUTMEGUSHER_MEMBERSHIP_CHANGE_INDEX_HPP
#define NUTMEGUSHER_MEMBERSHIP_CHANGE_INDEX_HPP

#include "nutmegusher/base/base.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace nutmegusher::internal
{

// Indexes hosts by the stamp of their last change. Each host is listed once;
// removed hosts are kept as tombstones. A query costs time proportional to the
// number of changes that it returns, plus one lookup.
class change_index
{
public:
    // The last change of one host.
    struct change
    {
        std::string_view host;
        bool removed = false;
    };

    // Adds or updates the host with a change at `stamp`. Requires: stamps
    // increase from call to call.
    void put(std::string_view host, std::uint64_t stamp);

    // Replaces the host by a tombstone at `stamp`. Does nothing if the host is
    // not present.
    void remove(std::string_view host, std::uint64_t stamp, time_point now);

    // Like `remove`, but adds the tombstone even if the host is not present.
    void
    put_tombstone(std::string_view host, std::uint64_t stamp, time_point now);

    // Erases the host without a tombstone.
    void erase(std::string_view host);

    // Erases the tombstones of hosts that were removed before `before`. Readers
    // with older stamps then need a complete list.
    void purge_tombstones(time_point before);

    // Returns whether the index holds all changes since `stamp`. If not, the
    // reader needs a complete list.
    [[nodiscard]] bool covers_changes_since(std::uint64_t stamp) const
    {
        return stamp >= last_purged_stamp_;
    }

    [[nodiscard]] bool changed_since(std::uint64_t stamp) const
    {
        return !by_stamp_.empty() && by_stamp_.rbegin()->first > stamp;
    }

    // Calls `use(const change&)` for each change after `stamp`, oldest first.
    template <class Use>
    void for_each_since(std::uint64_t stamp, Use&& use) const
    {
        for (auto at = by_stamp_.upper_bound(stamp); at != by_stamp_.end();
             ++at)
        {
            use(change{at->second->first, at->second->second.removed});
        }
    }

    // Returns the number of hosts, without tombstones.
    [[nodiscard]] std::size_t size() const
    {
        return present_count_;
    }

private:
    struct state
    {
        std::uint64_t stamp = 0;
        time_point removed_at;
        bool removed = false;
    };

    using host_map = std::unordered_map<std::string, state>;

    void set(std::string_view host, state value);

    host_map hosts_;
    std::map<std::uint64_t, host_map::value_type*> by_stamp_;
    std::size_t present_count_ = 0;
    std::uint64_t last_purged_stamp_ = 0;
};

} // namespace nutmegusher::internal

#endif
