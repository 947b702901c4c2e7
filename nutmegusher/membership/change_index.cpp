#include "nutmegusher/membership/change_index.hpp"

#include <algorithm>

namespace nutmegusher::internal
{

void change_index::put(std::string_view host, std::uint64_t stamp)
{
    set(host, {.stamp = stamp, .removed_at = {}, .removed = false});
}

void change_index::remove(
    std::string_view host, std::uint64_t stamp, time_point now)
{
    const auto found = hosts_.find(std::string(host));
    if (found != hosts_.end() && !found->second.removed)
    {
        put_tombstone(host, stamp, now);
    }
}

void change_index::put_tombstone(
    std::string_view host, std::uint64_t stamp, time_point now)
{
    set(host, {.stamp = stamp, .removed_at = now, .removed = true});
}

void change_index::erase(std::string_view host)
{
    const auto found = hosts_.find(std::string(host));
    if (found != hosts_.end())
    {
        by_stamp_.erase(found->second.stamp);
        present_count_ -= found->second.removed ? 0 : 1;
        hosts_.erase(found);
    }
}

void change_index::set(std::string_view host, state value)
{
    const auto [at, added] = hosts_.try_emplace(std::string(host));
    if (!added)
    {
        by_stamp_.erase(at->second.stamp);
        present_count_ -= at->second.removed ? 0 : 1;
    }
    present_count_ += value.removed ? 0 : 1;
    at->second = value;
    by_stamp_.emplace(value.stamp, &*at);
}

void change_index::purge_tombstones(time_point before)
{
    for (auto at = by_stamp_.begin(); at != by_stamp_.end();)
    {
        const auto& [host, value] = *at->second;
        if (!value.removed || value.removed_at >= before)
        {
            ++at;
            continue;
        }
        last_purged_stamp_ = std::max(last_purged_stamp_, value.stamp);
        const auto found = hosts_.find(host);
        at = by_stamp_.erase(at);
        hosts_.erase(found);
    }
}

} // namespace nutmegusher::internal
