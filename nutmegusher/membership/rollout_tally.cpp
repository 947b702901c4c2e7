#include "nutmegusher/membership/rollout_tally.hpp"

#include <iterator>

namespace nutmegusher
{

void rollout_tally::add(const std::string& host, std::uint64_t running_revision)
{
    ++counts_[running_revision];
    track_lagging(host, running_revision);
}

void rollout_tally::add(const messages::rollout_summary& part)
{
    for (const auto& count : part.counts())
    {
        counts_[count.revision()] += count.daemons();
    }
    for (const auto& daemon : part.lagging())
    {
        track_lagging(daemon.host(), daemon.revision());
    }
}

void rollout_tally::track_lagging(
    const std::string& host, std::uint64_t running_revision)
{
    if (lowest_.size() < max_lagging)
    {
        lowest_.emplace(running_revision, host);
        return;
    }
    const auto highest = std::prev(lowest_.end());
    if (running_revision < highest->first)
    {
        lowest_.erase(highest);
        lowest_.emplace(running_revision, host);
    }
}

messages::rollout_summary rollout_tally::summary() const
{
    messages::rollout_summary out;
    // If there are too many revisions, the daemons of the highest ones are
    // counted under the highest remaining revision, so that the summary never
    // overstates the progress of a daemon.
    const std::size_t merged =
        counts_.size() > max_revisions ? counts_.size() - max_revisions : 0;
    std::size_t carried = 0;
    std::size_t position = 0;
    for (const auto& [running_revision, daemons] : counts_)
    {
        if (position++ < merged)
        {
            carried += daemons;
            continue;
        }
        auto& item = *out.add_counts();
        item.set_revision(running_revision);
        item.set_daemons(static_cast<std::uint32_t>(daemons + carried));
        carried = 0;
    }
    for (const auto& [running_revision, host] : lowest_)
    {
        auto& item = *out.add_lagging();
        item.set_host(host);
        item.set_revision(running_revision);
    }
    return out;
}

std::size_t rollout_tally::daemons() const
{
    return daemons_at(revision(0));
}

std::size_t rollout_tally::daemons_at(revision target) const
{
    std::size_t total = 0;
    for (const auto& [running_revision, daemons] : counts_)
    {
        total += running_revision >= target.value() ? daemons : 0;
    }
    return total;
}

std::vector<lagging_host> rollout_tally::lagging(revision target) const
{
    std::vector<lagging_host> out;
    for (const auto& [running_revision, host] : lowest_)
    {
        if (running_revision < target.value())
        {
            out.push_back({host_id(host), revision(running_revision)});
        }
    }
    return out;
}

} // namespace nutmegusher
