// Durable storage of one replica: a log of frames and the last snapshot.
#ifndef NUTMEGUSHER_CONTROL_GROUP_STORAGE_HPP
#define NUTMEGUSHER_CONTROL_GROUP_STORAGE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/disk.hpp"
#include "nutmegusher/control/frame.hpp"
#include "nutmegusher/control/replica.hpp"
#include "nutmegusher/messages/replication.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace nutmegusher
{

namespace internal
{

// Appends one frame's entries; an entry replaces those at its index and above.
void merge_frame(recovered_log& log, messages::log_frame frame);

// Drops entries that the snapshot has replaced. They remain if the host crashed
// after writing the snapshot and before writing the log. Returns true if any
// entry was dropped.
bool drop_replaced_entries(recovered_log& log);

void log_tail_cut(
    std::string_view file, std::uint64_t offset, std::uint64_t bytes);

} // namespace internal

// Owns the files `group-N/log` and `group-N/snapshot` of a disk. After a
// failure of a writing function it is undefined how much of the last frame is
// durable: destroy the replica and open the group again, as after a crash.
template <disk Disk>
class group_storage
{
public:
    // Requires: `target` outlives the storage.
    group_storage(Disk& target, std::uint32_t group)
        : disk_(&target)
        , log_file_("group-" + std::to_string(group) + "/log")
        , snapshot_file_("group-" + std::to_string(group) + "/snapshot")
    {
    }

    // Reads snapshot and log, and truncates a torn tail of the log.
    // `must_exist`: fails with `missing` if the group's files don't exist.
    // Fails with `bad_checksum`, with file and offset, if acknowledged data is
    // damaged.
    [[nodiscard]] leaf::result<recovered_log> load(bool must_exist)
    {
        recovered_log recovered;
        BOOST_LEAF_AUTO(base, read_snapshot());
        if (base)
        {
            recovered.base = *std::move(base);
        }
        BOOST_LEAF_AUTO(bytes, disk_->read(log_file_));
        if (!bytes && must_exist)
        {
            return leaf::new_error(
                storage_failure{storage_fault::missing, log_file_});
        }
        const std::string content = std::move(bytes).value_or("");
        BOOST_LEAF_AUTO(scan, scan_frames(content, log_file_));
        for (const auto frame_content : scan.contents)
        {
            messages::log_frame frame;
            if (!frame.ParseFromArray(
                    frame_content.data(),
                    static_cast<int>(frame_content.size())))
            {
                return leaf::new_error(
                    storage_failure{storage_fault::bad_content, log_file_});
            }
            internal::merge_frame(recovered, std::move(frame));
        }
        if (scan.intact_size < content.size())
        {
            internal::log_tail_cut(
                log_file_, scan.intact_size, content.size() - scan.intact_size);
            BOOST_LEAF_CHECK(disk_->truncate(log_file_, scan.intact_size));
        }
        log_bytes_ = scan.intact_size;
        BOOST_LEAF_CHECK(reconcile_with_snapshot(recovered));
        return recovered;
    }

    // Creates the log file of an empty group, so that its loss is detected
    // later.
    [[nodiscard]] leaf::result<void> create()
    {
        return write_log(messages::log_frame());
    }

    // Makes the state, entries and snapshot of `ready` durable. Without a
    // snapshot this is one frame and one sync.
    [[nodiscard]] leaf::result<void> save(const replica_ready& ready)
    {
        messages::log_frame frame;
        if (ready.state)
        {
            *frame.mutable_state() = *ready.state;
        }
        for (const auto& entry : ready.entries)
        {
            *frame.add_entries() = entry;
        }
        if (ready.install)
        {
            BOOST_LEAF_CHECK(write_snapshot(*ready.install));
            return write_log(frame);
        }
        std::string bytes;
        append_frame(bytes, frame.SerializeAsString());
        BOOST_LEAF_CHECK(disk_->append(log_file_, bytes));
        log_bytes_ += bytes.size();
        return disk_->sync(log_file_);
    }

    // Makes a snapshot durable and replaces the log with `kept`.
    [[nodiscard]] leaf::result<void> save_snapshot(
        const messages::snapshot& content, const messages::log_frame& kept)
    {
        BOOST_LEAF_CHECK(write_snapshot(content));
        return write_log(kept);
    }

    // The last durable snapshot; no value if there is none.
    [[nodiscard]] leaf::result<std::optional<messages::snapshot>>
    read_snapshot()
    {
        BOOST_LEAF_AUTO(bytes, disk_->read(snapshot_file_));
        if (!bytes)
        {
            return std::optional<messages::snapshot>();
        }
        BOOST_LEAF_AUTO(content, single_frame(*bytes, snapshot_file_));
        messages::snapshot found;
        if (!found.ParseFromArray(
                content.data(), static_cast<int>(content.size())))
        {
            return leaf::new_error(
                storage_failure{storage_fault::bad_content, snapshot_file_});
        }
        snapshot_bytes_ = bytes->size();
        return std::optional(std::move(found));
    }

    // Size of the log file in bytes.
    [[nodiscard]] std::uint64_t log_bytes() const
    {
        return log_bytes_;
    }

    // Size of the last snapshot in bytes.
    [[nodiscard]] std::uint64_t snapshot_bytes() const
    {
        return snapshot_bytes_;
    }

private:
    leaf::result<void> reconcile_with_snapshot(recovered_log& recovered)
    {
        if (internal::drop_replaced_entries(recovered))
        {
            messages::log_frame frame;
            *frame.mutable_state() = recovered.state;
            return write_log(frame);
        }
        const auto expected = recovered.base.last_index() + 1;
        if (!recovered.entries.empty() &&
            recovered.entries.front().index() > expected)
        {
            return leaf::new_error(
                storage_failure{storage_fault::missing, snapshot_file_});
        }
        return {};
    }

    leaf::result<void> write_snapshot(const messages::snapshot& content)
    {
        std::string bytes;
        append_frame(bytes, content.SerializeAsString());
        BOOST_LEAF_CHECK(disk_->replace(snapshot_file_, bytes));
        snapshot_bytes_ = bytes.size();
        return {};
    }

    leaf::result<void> write_log(const messages::log_frame& frame)
    {
        std::string bytes;
        append_frame(bytes, frame.SerializeAsString());
        BOOST_LEAF_CHECK(disk_->replace(log_file_, bytes));
        log_bytes_ = bytes.size();
        return {};
    }

    Disk* disk_;
    std::string log_file_;
    std::string snapshot_file_;
    std::uint64_t log_bytes_ = 0;
    std::uint64_t snapshot_bytes_ = 0;
};

} // namespace nutmegusher

#endif
