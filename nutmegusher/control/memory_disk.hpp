// An in-memory disk for tests that simulates crashes, torn writes and a full
// disk.
#ifndef NUTMEGUSHER_CONTROL_MEMORY_DISK_HPP
#define NUTMEGUSHER_CONTROL_MEMORY_DISK_HPP

#include "nutmegusher/control/disk.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegusher
{

// Keeps each file's content and how many bytes of it are durable.
class memory_disk
{
public:
    [[nodiscard]] leaf::result<std::optional<std::string>>
    read(std::string_view file);
    [[nodiscard]] leaf::result<void>
    append(std::string_view file, std::string_view bytes);
    [[nodiscard]] leaf::result<void> sync(std::string_view file);
    [[nodiscard]] leaf::result<void>
    replace(std::string_view file, std::string_view bytes);
    [[nodiscard]] leaf::result<void>
    truncate(std::string_view file, std::uint64_t size);

    // Simulates a power loss: of the bytes that weren't synced a random prefix
    // stays, and some of it may be corrupted. The disk works again afterwards.
    void crash(random_engine& engine);

    // Lets `count` more writing operations succeed; all later ones fail until
    // `crash` is called, as if the host had lost power.
    void fail_after(std::uint64_t count);

    // Sets the disk's capacity in bytes; no value: unlimited.
    void set_capacity(std::optional<std::uint64_t> bytes);

    [[nodiscard]] std::optional<std::uint64_t> capacity() const
    {
        return capacity_;
    }

    // Deletes all files, as if the disk had been replaced.
    void wipe();

    // Direct access for tests that damage or inspect a file.
    [[nodiscard]] std::string& content(std::string_view file);

    // Calls of `sync` and `replace` so far.
    [[nodiscard]] std::uint64_t syncs() const
    {
        return syncs_;
    }

private:
    struct stored_file
    {
        std::string written;
        std::size_t durable = 0;
    };

    [[nodiscard]] leaf::result<void> count_operation(std::string_view file);
    [[nodiscard]] std::uint64_t used() const;

    std::map<std::string, stored_file, std::less<>> files_;
    std::optional<std::uint64_t> operations_left_;
    std::optional<std::uint64_t> capacity_;
    std::uint64_t syncs_ = 0;
};

static_assert(disk<memory_disk>);

} // namespace nutmegusher

#endif
