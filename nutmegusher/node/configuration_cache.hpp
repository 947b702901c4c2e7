// A copy of the configuration and the withdrawals that this host has applied,
// for all threads.
#ifndef NUTMEGUSHER_NODE_CONFIGURATION_CACHE_HPP
#define NUTMEGUSHER_NODE_CONFIGURATION_CACHE_HPP

#include "nutmegusher/control/control.hpp"

#include <deque>
#include <mutex>
#include <string_view>
#include <vector>

namespace nutmegusher::node::internal
{

// Kept apart from the state machine, so that readers never wait while the disk
// syncs. The revision never decreases.
class configuration_cache
{
public:
    void accept(const messages::accepted_change& accepted);
    void accept(const messages::upstream_withdrawal& withdrawal);

    // Replaces the copy after a start or an installed snapshot.
    void restore(const configuration_store& store);

    [[nodiscard]] std::vector<messages::upstream_withdrawal>
    withdrawals_of(std::string_view host) const;
    [[nodiscard]] bool
    contains(const messages::upstream_withdrawal& withdrawal) const;
    [[nodiscard]] revision at() const;
    [[nodiscard]] messages::configuration present() const;
    [[nodiscard]] messages::configuration_delta since(revision from) const;
    [[nodiscard]] std::vector<messages::accepted_change>
    history(std::size_t limit) const;

private:
    mutable std::mutex mutex_;
    messages::configuration present_;
    // The most recent changes, oldest first; the last one has the revision of
    // `present_`.
    std::deque<messages::accepted_change> history_;
    std::size_t history_limit_ = configuration_limits().history;
    withdrawal_table withdrawals_;
};

} // namespace nutmegusher::node::internal

#endif
