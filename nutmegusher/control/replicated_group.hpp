// A state machine that is replicated over several hosts: combines replica,
// storage and state machine, without network and threads.
#ifndef NUTMEGUSHER_CONTROL_REPLICATED_GROUP_HPP
#define NUTMEGUSHER_CONTROL_REPLICATED_GROUP_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/disk.hpp"
#include "nutmegusher/control/group_storage.hpp"
#include "nutmegusher/control/replica.hpp"
#include "nutmegusher/control/state_machine.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace nutmegusher
{

// When a snapshot is due: after enough entries or bytes, and once the log
// outweighs the last snapshot, so that snapshots cost a fixed share of all
// writes. When only entries were counted, hundreds of large documents stayed in
// memory and on disk, and a host whose disk was emptied had to be sent each of
// them.
struct snapshot_policy
{
    std::uint64_t entries_between = 4096;
    double log_to_snapshot_ratio = 2.0;
    // Entries that stay in the log although a snapshot covers them, for
    // followers that lag a little. `entries_kept` and `bytes_kept` are both
    // upper limits.
    std::uint64_t entries_kept = 1024;
    std::uint64_t bytes_between = 4 * 1024 * 1024;
    std::uint64_t bytes_kept = 1024 * 1024;
};

// Receives the results of `replicated_group::process_ready`. A batch of work is
// reported in this order: `send`, then `restored` and `members_changed` for a
// received snapshot, `applied` or `members_changed` for each committed entry,
// `read_confirmed`, `read_failed`, `leadership_changed`.
template <class T, class Result>
concept group_listener = requires(
    T& listener,
    messages::replica_message message,
    const messages::log_entry& entry,
    const messages::replica_set& members,
    Result result,
    confirmed_read read,
    read_ticket ticket,
    leadership present)
{
    listener.send(std::move(message));
    listener.applied(entry, std::move(result));
    listener.members_changed(members);
    listener.restored();
    listener.read_confirmed(read);
    listener.read_failed(ticket);
    listener.leadership_changed(present);
};

// One group on one host. If `process_ready` fails, the group must be destroyed:
// what it promised last may not be durable. Opening it again is equivalent to a
// restart.
template <disk Disk, state_machine Machine>
class replicated_group
{
public:
    using result_type = typename Machine::result_type;

    // Requires: disk and engine outlive the group. `must_exist`: the group was
    // used before, so missing files are a failure.
    [[nodiscard]] static leaf::result<std::unique_ptr<replicated_group>> open(
        const replica_settings& settings,
        const snapshot_policy& policy,
        Disk& target,
        bool must_exist,
        random_engine& engine,
        time_point now)
    {
        group_storage<Disk> storage(target, settings.group);
        BOOST_LEAF_AUTO(recovered, storage.load(must_exist));
        Machine machine;
        if (!recovered.base.state().empty())
        {
            BOOST_LEAF_ASSIGN(
                machine, Machine::restore(recovered.base.state()));
        }
        const auto base = recovered.base.last_index();
        recovered.base.clear_state();
        BOOST_LEAF_AUTO(
            core, replica::create(settings, std::move(recovered), engine, now));
        // make_unique can't call the private constructor.
        return std::unique_ptr<replicated_group>(new replicated_group(
            policy,
            std::move(storage),
            std::move(machine),
            std::move(core),
            base));
    }

    // Writes the first snapshot of a new group. Requires: the group was never
    // opened on this disk.
    [[nodiscard]] static leaf::result<void> bootstrap(
        Disk& target, std::uint32_t group, const messages::replica_set& members)
    {
        messages::snapshot first;
        first.set_last_index(1);
        first.set_last_term(1);
        *first.mutable_members() = members;
        messages::log_frame frame;
        frame.mutable_state()->set_term(1);
        frame.mutable_state()->set_commit(1);
        group_storage<Disk> storage(target, group);
        return storage.save_snapshot(first, frame);
    }

    [[nodiscard]] replica& core()
    {
        return core_;
    }

    [[nodiscard]] const replica& core() const
    {
        return core_;
    }

    [[nodiscard]] const Machine& machine() const
    {
        return machine_;
    }

    // Index of the last entry that `machine` has applied.
    [[nodiscard]] log_index applied() const
    {
        return applied_index_;
    }

    // Index of the last entry that the durable snapshot covers.
    [[nodiscard]] log_index snapshot_index() const
    {
        return snapshot_index_;
    }

    [[nodiscard]] const group_storage<Disk>& storage() const
    {
        return storage_;
    }

    // Persists, sends and applies all pending work, and takes a snapshot if one
    // is due. Fails with `storage_failure`, or with the error of
    // `Machine::restore`.
    template <group_listener<result_type> Listener>
    [[nodiscard]] leaf::result<void>
    process_ready(Listener& listener, time_point now)
    {
        while (auto ready = core_.take_ready(now))
        {
            BOOST_LEAF_CHECK(process(*ready, listener));
        }
        if (snapshot_due())
        {
            BOOST_LEAF_CHECK(take_snapshot());
        }
        return {};
    }

    // Takes a snapshot now and compacts the log.
    [[nodiscard]] leaf::result<void> take_snapshot()
    {
        messages::snapshot content;
        content.set_last_index(applied_index_);
        content.set_last_term(core_.log().term_at(applied_index_).value_or(0));
        *content.mutable_members() = core_.log().members_at(applied_index_);
        content.set_state(machine_.snapshot());
        BOOST_LEAF_CHECK(storage_.save_snapshot(content, retained_log()));
        snapshot_index_ = applied_index_;
        core_.compact(compaction_index());
        return {};
    }

private:
    replicated_group(
        const snapshot_policy& policy,
        group_storage<Disk> storage,
        Machine machine,
        replica core,
        log_index base)
        : policy_(policy)
        , storage_(std::move(storage))
        , machine_(std::move(machine))
        , core_(std::move(core))
        , applied_index_(base)
        , snapshot_index_(base)
    {
        core_.set_snapshot_source(
            [this]
            {
                return durable_snapshot();
            });
    }

    std::optional<messages::snapshot> durable_snapshot()
    {
        return leaf::try_handle_all(
            [&]
            {
                return storage_.read_snapshot();
            },
            []
            {
                return std::optional<messages::snapshot>();
            });
    }

    template <class Listener>
    leaf::result<void> process(replica_ready& ready, Listener& listener)
    {
        for (auto& message : ready.early_messages)
        {
            listener.send(std::move(message));
        }
        if (ready.must_sync)
        {
            BOOST_LEAF_CHECK(storage_.save(ready));
            core_.saved();
        }
        for (auto& message : ready.messages)
        {
            listener.send(std::move(message));
        }
        if (ready.install)
        {
            BOOST_LEAF_CHECK(restore(*ready.install));
            listener.restored();
            listener.members_changed(ready.install->members());
        }
        for (const auto& entry : ready.committed)
        {
            apply(entry, listener);
        }
        notify_listener(ready, listener);
        return {};
    }

    leaf::result<void> restore(const messages::snapshot& content)
    {
        machine_ = Machine();
        if (!content.state().empty())
        {
            BOOST_LEAF_ASSIGN(machine_, Machine::restore(content.state()));
        }
        applied_index_ = content.last_index();
        snapshot_index_ = applied_index_;
        return {};
    }

    template <class Listener>
    void apply(const messages::log_entry& entry, Listener& listener)
    {
        applied_index_ = entry.index();
        if (entry.has_membership())
        {
            listener.members_changed(entry.membership());
        }
        else if (!entry.has_no_operation())
        {
            listener.applied(entry, machine_.apply(entry));
        }
    }

    template <class Listener>
    void notify_listener(const replica_ready& ready, Listener& listener)
    {
        for (const auto& read : ready.reads)
        {
            listener.read_confirmed(read);
        }
        for (const auto ticket : ready.failed_reads)
        {
            listener.read_failed(ticket);
        }
        if (ready.changed_leadership)
        {
            listener.leadership_changed(*ready.changed_leadership);
        }
    }

    [[nodiscard]] bool snapshot_due() const
    {
        const auto ratio = policy_.log_to_snapshot_ratio;
        const auto min_log_bytes = ratio * double(storage_.snapshot_bytes());
        const bool is_long_log =
            applied_index_ - snapshot_index_ >= policy_.entries_between ||
            storage_.log_bytes() >= policy_.bytes_between;
        return is_long_log && applied_index_ > snapshot_index_ &&
               double(storage_.log_bytes()) >= min_log_bytes;
    }

    // The log is compacted up to this index; later entries stay.
    [[nodiscard]] log_index compaction_index() const
    {
        const auto& log = core_.log();
        auto index = applied_index_;
        std::uint64_t bytes = 0;
        while (index > log.base_index() &&
               applied_index_ - index < policy_.entries_kept)
        {
            bytes += log.at(index).ByteSizeLong();
            if (bytes > policy_.bytes_kept)
            {
                break;
            }
            --index;
        }
        return index;
    }

    // The content of the log file that goes with a snapshot at
    // `applied_index_`.
    [[nodiscard]] messages::log_frame retained_log() const
    {
        messages::log_frame frame;
        frame.mutable_state()->set_term(core_.hard_state().term());
        frame.mutable_state()->set_voted_for(core_.hard_state().voted_for());
        frame.mutable_state()->set_commit(core_.commit());
        const auto& log = core_.log();
        for (auto i = applied_index_ + 1; i <= log.last_index(); ++i)
        {
            *frame.add_entries() = log.at(i);
        }
        return frame;
    }

    snapshot_policy policy_;
    group_storage<Disk> storage_;
    Machine machine_;
    replica core_;
    log_index applied_index_;
    log_index snapshot_index_;
};

} // namespace nutmegusher

#endif
