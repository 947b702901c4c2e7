// A disk in memory for tests: it crashes, tears writes and runs full.
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

// Keeps for each file what is written and what of it is durable.
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

    // The host loses power: of what wasn't synced a prefix stays, and some of
    // its bytes may be wrong. The disk works again afterwards.
    void crash(random_engine& engine);

    // After `count` more writing operations every one fails, as if the host
    // had lost power there; until `crash` is called.
    void fail_after(std::uint64_t count);

    // Bytes that fit on the disk; no value: no bound.
    void set_capacity(std::optional<std::uint64_t> bytes);

    [[nodiscard]] std::optional<std::uint64_t> capacity() const
    {
        return capacity_;
    }

    // Empties the disk, as a replaced one.
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
