// The configuration as this host has applied it, for every thread.
#ifndef NUTMEGUSHER_NODE_CONFIGURATION_CACHE_HPP
#define NUTMEGUSHER_NODE_CONFIGURATION_CACHE_HPP

#include "nutmegusher/control/control.hpp"

#include <deque>
#include <mutex>
#include <vector>

namespace nutmegusher::node::internal
{

// A copy beside the state machine, so that readers never wait for a sync of
// the disk. Only ever moves to a higher revision.
class configuration_cache
{
public:
    void accept(const messages::accepted_change& accepted);

    // After a start or a snapshot.
    void restore(const configuration_store& store);

    [[nodiscard]] revision at() const;
    [[nodiscard]] messages::configuration present() const;
    [[nodiscard]] messages::configuration_delta since(revision from) const;
    [[nodiscard]] std::vector<messages::accepted_change>
    history(std::size_t limit) const;

private:
    mutable std::mutex mutex_;
    messages::configuration present_;
    // The newest change has the revision of `present_`.
    std::deque<messages::accepted_change> history_;
    std::size_t history_limit_ = configuration_limits().history;
};

} // namespace nutmegusher::node::internal

#endif
