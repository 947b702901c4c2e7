// The file operations that control hosts need: a few files, named by relative
// paths.
#ifndef NUTMEGUSHER_CONTROL_DISK_HPP
#define NUTMEGUSHER_CONTROL_DISK_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/storage_error.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegusher
{

// All operations fail with `storage_failure`. Models: `file_disk`, and
// `memory_disk` for tests.
//
// - read: returns the whole file; no value if it doesn't exist.
// - append: writes at the end and creates the file if needed; durable only
//   after `sync`.
// - sync: makes the file's appended bytes durable.
// - replace: writes a whole file; atomic, and durable when it returns.
// - truncate: cuts the file to `size` bytes; durable when it returns.
template <class T>
concept disk = requires(
    T& target,
    std::string_view file,
    std::string_view bytes,
    std::uint64_t size)
{
    {
        target.read(file)
        } -> std::same_as<leaf::result<std::optional<std::string>>>;
    {
        target.append(file, bytes)
        } -> std::same_as<leaf::result<void>>;
    {
        target.sync(file)
        } -> std::same_as<leaf::result<void>>;
    {
        target.replace(file, bytes)
        } -> std::same_as<leaf::result<void>>;
    {
        target.truncate(file, size)
        } -> std::same_as<leaf::result<void>>;
};

} // namespace nutmegusher

#endif
