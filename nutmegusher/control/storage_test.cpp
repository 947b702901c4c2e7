#include "nutmegusher/control/control.hpp"
#include "nutmegusher/control/memory_disk.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <random>

namespace nutmegusher
{
namespace
{

constexpr std::string_view log_file = "group-0/log";

// The failure of an action; no value if it succeeds.
template <class Action>
std::optional<storage_failure> failure_of(const Action& action)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<storage_failure>>
        {
            BOOST_LEAF_CHECK(action());
            return std::optional<storage_failure>();
        },
        [](const storage_failure& failure)
        {
            return std::optional(failure);
        },
        []
        {
            ADD_FAILURE() << "unexpected failure type";
            return std::optional<storage_failure>();
        });
}

replica_ready ready_with(log_index first, log_index last)
{
    replica_ready ready;
    ready.must_sync = true;
    ready.state = messages::hard_state();
    ready.state->set_term(1);
    for (auto index = first; index <= last; ++index)
    {
        messages::log_entry entry;
        entry.set_index(index);
        entry.set_term(1);
        entry.set_no_operation(true);
        ready.entries.push_back(entry);
    }
    return ready;
}

template <disk Disk>
void save(group_storage<Disk>& storage, log_index first, log_index last)
{
    const auto failure = failure_of(
        [&]
        {
            return storage.save(ready_with(first, last));
        });
    ASSERT_FALSE(failure);
}

template <disk Disk>
std::size_t loaded_entries(Disk& target)
{
    group_storage<Disk> storage(target, 0);
    std::size_t count = 0;
    const auto failure = failure_of(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(recovered, storage.load(true));
            count = recovered.entries.size();
            return {};
        });
    EXPECT_FALSE(failure);
    return count;
}

TEST(group_storage, cuts_a_torn_tail_and_goes_on)
{
    memory_disk target;
    group_storage<memory_disk> storage(target, 0);
    save(storage, 1, 3);
    const auto first_size = target.content(log_file).size();
    save(storage, 4, 5);
    const auto intact_log = target.content(log_file);
    for (std::size_t lost = 1; lost < intact_log.size() - first_size; ++lost)
    {
        target.content(log_file) =
            intact_log.substr(0, intact_log.size() - lost);
        EXPECT_EQ(loaded_entries(target), 3U) << lost;
        group_storage<memory_disk> reopened(target, 0);
        save(reopened, 4, 4);
        EXPECT_EQ(loaded_entries(target), 4U) << lost;
    }
}

TEST(group_storage, names_file_and_offset_of_damage_in_the_middle)
{
    memory_disk target;
    group_storage<memory_disk> storage(target, 0);
    save(storage, 1, 3);
    const auto offset = target.content(log_file).size();
    save(storage, 4, 5);
    save(storage, 6, 6);
    target.content(log_file)[offset + frame_overhead + 1] ^= 0x10;
    const auto failure = failure_of(
        [&]
        {
            return storage.load(true);
        });
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->fault, storage_fault::bad_checksum);
    EXPECT_EQ(failure->file, log_file);
    EXPECT_EQ(failure->offset, offset);
}

// Power is lost after a received snapshot was written and before the log that
// it replaces. Entries that are appended later must not follow the old log.
TEST(group_storage, drops_a_log_that_a_newer_snapshot_has_replaced)
{
    memory_disk target;
    random_engine engine(1);
    group_storage<memory_disk> storage(target, 0);
    save(storage, 1, 5);
    auto ready = ready_with(1, 0);
    ready.install = messages::snapshot();
    ready.install->set_last_index(10);
    ready.install->set_last_term(1);
    target.fail_after(1);
    EXPECT_TRUE(failure_of(
        [&]
        {
            return storage.save(ready);
        }));
    target.crash(engine);
    EXPECT_EQ(loaded_entries(target), 0U);
    group_storage<memory_disk> reopened(target, 0);
    save(reopened, 11, 12);
    EXPECT_EQ(loaded_entries(target), 2U);
}

TEST(group_storage, fails_if_the_files_of_a_used_group_are_missing)
{
    memory_disk target;
    group_storage<memory_disk> storage(target, 0);
    const auto failure = failure_of(
        [&]
        {
            return storage.load(true);
        });
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->fault, storage_fault::missing);
}

TEST(group_storage, a_full_disk_is_a_failure_and_leaves_what_was_saved)
{
    memory_disk target;
    group_storage<memory_disk> storage(target, 0);
    save(storage, 1, 3);
    target.set_capacity(target.content(log_file).size() + 10);
    const auto failure = failure_of(
        [&]
        {
            return storage.save(ready_with(4, 4));
        });
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->fault, storage_fault::full);
    EXPECT_EQ(loaded_entries(target), 3U);
}

TEST(host_identity, an_emptied_folder_is_another_host)
{
    memory_disk target;
    random_engine engine(1);
    const auto identity = [&]
    {
        return load_identity(target, host_id("c1"), engine)->identity();
    };
    const auto first = identity();
    EXPECT_EQ(identity(), first);
    target.wipe();
    EXPECT_NE(identity(), first);
}

TEST(host_identity, refuses_a_folder_of_another_host_or_without_its_identity)
{
    memory_disk target;
    random_engine engine(1);
    EXPECT_TRUE(load_identity(target, host_id("c1"), engine));
    const auto load = [&](const char* host)
    {
        return failure_of(
            [&]
            {
                return load_identity(target, host_id(host), engine);
            });
    };
    EXPECT_EQ(load("c2")->fault, storage_fault::other_host);
    target.wipe();
    group_storage<memory_disk> storage(target, 0);
    save(storage, 1, 1);
    EXPECT_EQ(load("c1")->fault, storage_fault::missing);
}

class file_disk_test : public testing::Test
{
protected:
    file_disk_test()
        : folder(
              std::filesystem::temp_directory_path() /
              ("nutmegusher-disk-" + std::to_string(std::random_device{}())))
    {
    }

    ~file_disk_test() override
    {
        std::filesystem::remove_all(folder);
    }

    std::filesystem::path folder;
};

TEST_F(file_disk_test, keeps_a_log_over_a_restart_and_a_replacement)
{
    {
        auto target = file_disk::open(folder);
        ASSERT_TRUE(target);
        group_storage<file_disk> storage(*target, 0);
        save(storage, 1, 3);
        messages::snapshot content;
        content.set_last_index(2);
        content.set_last_term(1);
        messages::log_frame kept;
        *kept.add_entries() = ready_with(3, 3).entries.front();
        EXPECT_FALSE(failure_of(
            [&]
            {
                return storage.save_snapshot(content, kept);
            }));
        save(storage, 4, 6);
    }
    auto target = file_disk::open(folder);
    ASSERT_TRUE(target);
    EXPECT_EQ(loaded_entries(*target), 4U);
}

TEST_F(file_disk_test, one_process_at_a_time)
{
    auto target = file_disk::open(folder);
    ASSERT_TRUE(target);
    const auto failure = failure_of(
        [&]
        {
            return file_disk::open(folder);
        });
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->fault, storage_fault::in_use);
}

} // namespace
} // namespace nutmegusher
