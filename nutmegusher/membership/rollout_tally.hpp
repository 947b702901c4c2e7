// The progress of a configuration rollout.
#ifndef NUTMEGUSHER_MEMBERSHIP_ROLLOUT_TALLY_HPP
#define NUTMEGUSHER_MEMBERSHIP_ROLLOUT_TALLY_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/sync.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace nutmegusher
{

// A daemon that runs an older configuration revision than others.
struct lagging_host
{
    host_id host;
    revision running_revision;
};

// Counts daemons by the revision that they run. Control hosts exchange
// summaries of bounded size, so that a configuration change doesn't send one
// message per daemon to each control host.
class rollout_tally
{
public:
    // Bounds on the lagging hosts and the revisions in a summary. The lowest
    // ones are kept, since operators look for these.
    static constexpr std::size_t max_lagging = 16;
    static constexpr std::size_t max_revisions = 32;

    // Counts one daemon.
    void add(const std::string& host, std::uint64_t running_revision);

    // Adds the counts and the lagging hosts of another control host.
    void add(const messages::rollout_summary& part);

    [[nodiscard]] messages::rollout_summary summary() const;

    // The number of all daemons, and of those that run `target` or later.
    [[nodiscard]] std::size_t daemons() const;
    [[nodiscard]] std::size_t daemons_at(revision target) const;

    // Returns up to `max_lagging` hosts below `target`, the lowest first.
    [[nodiscard]] std::vector<lagging_host> lagging(revision target) const;

private:
    void track_lagging(const std::string& host, std::uint64_t running_revision);

    std::map<std::uint64_t, std::size_t, std::greater<>> counts_;
    std::multimap<std::uint64_t, std::string> lowest_;
};

} // namespace nutmegusher

#endif
