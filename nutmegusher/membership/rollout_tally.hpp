// How far a configuration has come.
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

// A daemon that runs an older configuration than others.
struct lagging_host
{
    host_id host;
    revision running_revision;
};

// Counts daemons by the revision that they run. A summary has a bounded size,
// so that a change of configuration doesn't send one message a daemon to each
// control host.
class rollout_tally
{
public:
    // Names and revisions beyond these bounds are left out of a summary; the
    // lowest ones are kept, since they are what an operator looks for.
    static constexpr std::size_t max_lagging = 16;
    static constexpr std::size_t max_revisions = 32;

    void add(const std::string& host, std::uint64_t running_revision);
    void add(const messages::rollout_summary& part);

    [[nodiscard]] messages::rollout_summary summary() const;

    // Daemons in all, and those that run `target` or a later one.
    [[nodiscard]] std::size_t daemons() const;
    [[nodiscard]] std::size_t daemons_at(revision target) const;

    // Some of those below `target`, the lowest first.
    [[nodiscard]] std::vector<lagging_host> lagging(revision target) const;

private:
    void track_lagging(const std::string& host, std::uint64_t running_revision);

    std::map<std::uint64_t, std::size_t, std::greater<>> counts_;
    std::multimap<std::uint64_t, std::string> lowest_;
};

} // namespace nutmegusher

#endif
