// The in-memory log of one replica: the entries after its last snapshot.
#ifndef NUTMEGUSHER_CONTROL_REPLICA_LOG_HPP
#define NUTMEGUSHER_CONTROL_REPLICA_LOG_HPP

#include "nutmegusher/messages/replication.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace nutmegusher
{

// Position in a log. The first entry has index 1; 0 is the position before it.
using log_index = std::uint64_t;
// Raft term: number of an election. Each term has at most one leader.
using log_term = std::uint64_t;

// Entries with consecutive indexes that follow a base (the last index of a
// snapshot). Also tracks the group's members as of every index from the base
// on.
class replica_log
{
public:
    // Requires: `entries` have consecutive indexes, the first of which is at
    // most one above the snapshot's last.
    replica_log(
        const messages::snapshot& base,
        std::vector<messages::log_entry> entries);

    // The index before the first entry in memory.
    [[nodiscard]] log_index base_index() const
    {
        return base_index_;
    }

    [[nodiscard]] log_index last_index() const
    {
        return base_index_ + entries_.size();
    }

    [[nodiscard]] log_term last_term() const;

    // No value if the index is before the base or after the end.
    [[nodiscard]] std::optional<log_term> term_at(log_index index) const;

    // Requires: base_index() < index <= last_index().
    [[nodiscard]] const messages::log_entry& at(log_index index) const
    {
        return entries_[index - base_index_ - 1];
    }

    // The first index in memory that has the same term as `index`.
    [[nodiscard]] log_index first_of_term(log_index index) const;

    // Requires: the entry's index is last_index() + 1.
    void append(messages::log_entry entry);

    // Drops all entries above `index`. Requires: index >= base_index().
    void truncate_after(log_index index);

    // Drops entries up to and including `index`, which becomes the base.
    // Requires: base_index() <= index <= last_index().
    void compact(log_index index);

    // Drops all entries and makes the snapshot's last index the base.
    void reset(const messages::snapshot& base);

    // The group's members as of the last entry, committed or not.
    [[nodiscard]] const messages::replica_set& members() const
    {
        return memberships_.back().members;
    }

    // The index of the entry that set `members()`.
    [[nodiscard]] log_index members_index() const
    {
        return memberships_.back().index;
    }

    // The members as of `index`. Requires: index >= base_index().
    [[nodiscard]] const messages::replica_set&
    members_at(log_index index) const;

private:
    struct indexed_membership
    {
        log_index index = 0;
        messages::replica_set members;
    };

    log_index base_index_ = 0;
    log_term base_term_ = 0;
    std::deque<messages::log_entry> entries_;
    // Sorted by index; the first one is at or below the base.
    std::vector<indexed_membership> memberships_;
};

} // namespace nutmegusher

#endif
