// A `disk` on the file system.
#ifndef NUTMEGUSHER_CONTROL_FILE_DISK_HPP
#define NUTMEGUSHER_CONTROL_FILE_DISK_HPP

#include "nutmegusher/control/disk.hpp"

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace nutmegusher
{

namespace internal
{

// Owns a file descriptor and closes it.
class file_descriptor
{
public:
    file_descriptor() = default;

    explicit file_descriptor(int value)
        : value_(value)
    {
    }

    file_descriptor(file_descriptor&& other) noexcept
        : value_(std::exchange(other.value_, -1))
    {
    }

    file_descriptor& operator=(file_descriptor&& other) noexcept
    {
        std::swap(value_, other.value_);
        return *this;
    }

    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;
    ~file_descriptor();

    [[nodiscard]] int get() const
    {
        return value_;
    }

    [[nodiscard]] bool valid() const
    {
        return value_ >= 0;
    }

private:
    int value_ = -1;
};

} // namespace internal

// The `disk` that a control host uses. Only one process at a time can open the
// folder; its lock is released when the process ends. Not thread-safe.
class file_disk
{
public:
    // Creates the folder if it doesn't exist. Fails with `in_use` if another
    // process has it open.
    [[nodiscard]] static leaf::result<file_disk>
    open(const std::filesystem::path& folder);

    [[nodiscard]] leaf::result<std::optional<std::string>>
    read(std::string_view file);
    [[nodiscard]] leaf::result<void>
    append(std::string_view file, std::string_view bytes);
    [[nodiscard]] leaf::result<void> sync(std::string_view file);
    [[nodiscard]] leaf::result<void>
    replace(std::string_view file, std::string_view bytes);
    [[nodiscard]] leaf::result<void>
    truncate(std::string_view file, std::uint64_t size);

private:
    file_disk(std::filesystem::path folder, internal::file_descriptor lock);

    [[nodiscard]] leaf::result<int> open_for_append(std::string_view file);
    [[nodiscard]] leaf::result<void> create_parent(std::string_view file);
    [[nodiscard]] leaf::result<void> sync_parent(std::string_view file);

    std::filesystem::path folder_;
    internal::file_descriptor lock_;
    std::map<std::string, internal::file_descriptor, std::less<>> open_;
};

static_assert(disk<file_disk>);

} // namespace nutmegusher

#endif
