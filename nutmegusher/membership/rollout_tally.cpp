#include "nutmegusher/membership/rollout_tally.hpp"

#include <iterator>

namespace nutmegusher
{

void rollout_tally::add(const std::string& host, std::uint64_t runs)
{
    ++counts_[runs];
    name(host, runs);
}

void rollout_tally::add(const messages::rollout_summary& part)
{
    for (const auto& count : part.counts())
    {
        counts_[count.revision()] += count.daemons();
    }
    for (const auto& daemon : part.lagging())
    {
        name(daemon.host(), daemon.revision());
    }
}

void rollout_tally::name(const std::string& host, std::uint64_t runs)
{
    if (lowest_.size() < max_named)
    {
        lowest_.emplace(runs, host);
        return;
    }
    const auto highest = std::prev(lowest_.end());
    if (runs < highest->first)
    {
        lowest_.erase(highest);
        lowest_.emplace(runs, host);
    }
}

messages::rollout_summary rollout_tally::summary() const
{
    messages::rollout_summary out;
    // Where there are too many revisions, the lowest stand for those between
    // them and the highest; nothing is counted as further than it is.
    const std::size_t merged =
        counts_.size() > max_revisions ? counts_.size() - max_revisions : 0;
    std::size_t carried = 0;
    std::size_t position = 0;
    for (const auto& [runs, daemons] : counts_)
    {
        if (position++ < merged)
        {
            carried += daemons;
            continue;
        }
        auto& item = *out.add_counts();
        item.set_revision(runs);
        item.set_daemons(static_cast<std::uint32_t>(daemons + carried));
        carried = 0;
    }
    for (const auto& [runs, host] : lowest_)
    {
        auto& item = *out.add_lagging();
        item.set_host(host);
        item.set_revision(runs);
    }
    return out;
}

std::size_t rollout_tally::daemons() const
{
    return daemons_at(revision(0));
}

std::size_t rollout_tally::daemons_at(revision wanted) const
{
    std::size_t total = 0;
    for (const auto& [runs, daemons] : counts_)
    {
        total += runs >= wanted.value() ? daemons : 0;
    }
    return total;
}

std::vector<lagging_host> rollout_tally::lagging(revision wanted) const
{
    std::vector<lagging_host> out;
    for (const auto& [runs, host] : lowest_)
    {
        if (runs < wanted.value())
        {
            out.push_back({host_id(host), revision(runs)});
        }
    }
    return out;
}

} // namespace nutmegusher
