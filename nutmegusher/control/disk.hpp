// What the control hosts need of a disk: few files, named by relative paths.
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
// - read: the whole file; nothing where it doesn't exist.
// - append: at the end, creating the file; durable only after `sync`.
// - sync: makes the file's appended bytes durable.
// - replace: writes a whole file; atomic and durable when it returns.
// - truncate: cuts the file to `size`; durable when it returns.
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
