// What changed since a stamp.
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

// Hosts by the stamp of their last change, those that went included, each once.
// The cost of asking is that of the answer.
class change_index
{
public:
    // One host's last change.
    struct change
    {
        std::string_view host;
        bool removed = false;
    };

    // The host is here, and changed at `stamp`. Requires: stamps rise.
    void put(std::string_view host, std::uint64_t stamp);

    // The host went at `stamp`; nothing where it wasn't here.
    void remove(std::string_view host, std::uint64_t stamp, time_point now);

    // The same, whether or not it was here.
    void
    put_tombstone(std::string_view host, std::uint64_t stamp, time_point now);

    // As if it had never been here.
    void erase(std::string_view host);

    // Forgets those that went before `before`; readers with older stamps need a
    // complete list from then on.
    void purge_tombstones(time_point before);

    // Whether a reader at `stamp` can be given changes only.
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

    // Hosts that are here now.
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
