#include "nutmegusher/membership/registry_index.hpp"

#include <algorithm>

namespace nutmegusher::internal
{

void registry_index::put(std::string_view host, std::uint64_t stamp)
{
    set(host, {.stamp = stamp, .gone_at = {}, .gone = false});
}

void registry_index::remove(
    std::string_view host, std::uint64_t stamp, time_point now)
{
    const auto found = hosts_.find(std::string(host));
    if (found != hosts_.end() && !found->second.gone)
    {
        put_removed(host, stamp, now);
    }
}

void registry_index::put_removed(
    std::string_view host, std::uint64_t stamp, time_point now)
{
    set(host, {.stamp = stamp, .gone_at = now, .gone = true});
}

void registry_index::erase(std::string_view host)
{
    const auto found = hosts_.find(std::string(host));
    if (found != hosts_.end())
    {
        by_stamp_.erase(found->second.stamp);
        present_ -= found->second.gone ? 0 : 1;
        hosts_.erase(found);
    }
}

void registry_index::set(std::string_view host, state value)
{
    const auto [at, added] = hosts_.try_emplace(std::string(host));
    if (!added)
    {
        by_stamp_.erase(at->second.stamp);
        present_ -= at->second.gone ? 0 : 1;
    }
    present_ += value.gone ? 0 : 1;
    at->second = value;
    by_stamp_.emplace(value.stamp, &*at);
}

void registry_index::forget(time_point before)
{
    for (auto at = by_stamp_.begin(); at != by_stamp_.end();)
    {
        const auto& [host, value] = *at->second;
        if (!value.gone || value.gone_at >= before)
        {
            ++at;
            continue;
        }
        forgotten_ = std::max(forgotten_, value.stamp);
        const auto found = hosts_.find(host);
        at = by_stamp_.erase(at);
        hosts_.erase(found);
    }
}

} // namespace nutmegusher::internal
