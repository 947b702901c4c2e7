#include "nutmegusher/control/file_disk.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace nutmegusher
{

namespace
{

constexpr std::string_view lock_file = "lock";
constexpr std::string_view temporary_suffix = ".new";
constexpr int file_mode = 0600;

leaf::error_id fail(storage_fault fault, std::string_view file, int code)
{
    return leaf::new_error(storage_failure{fault, std::string(file), 0, code});
}

leaf::result<void>
write_all(int target, std::string_view bytes, std::string_view file)
{
    while (!bytes.empty())
    {
        const auto written = ::write(target, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
        {
            continue;
        }
        if (written < 0)
        {
            const bool full = errno == ENOSPC || errno == EDQUOT;
            return fail(
                full ? storage_fault::full : storage_fault::write_failed,
                file,
                errno);
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

leaf::result<std::string> read_all(int source, std::string_view file)
{
    struct ::stat status = {};
    if (::fstat(source, &status) != 0)
    {
        return fail(storage_fault::read_failed, file, errno);
    }
    std::string content(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t total_read = 0;
    while (total_read < content.size())
    {
        const auto count = ::read(
            source, content.data() + total_read, content.size() - total_read);
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count < 0)
        {
            return fail(storage_fault::read_failed, file, errno);
        }
        if (count == 0)
        {
            break;
        }
        total_read += static_cast<std::size_t>(count);
    }
    content.resize(total_read);
    return content;
}

leaf::result<void> sync_folder(const std::filesystem::path& folder)
{
    const internal::file_descriptor opened(
        ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!opened.valid() || ::fsync(opened.get()) != 0)
    {
        return fail(
            storage_fault::sync_failed, folder.filename().string(), errno);
    }
    return {};
}

} // namespace

internal::file_descriptor::~file_descriptor()
{
    if (value_ >= 0)
    {
        ::close(value_);
    }
}

file_disk::file_disk(
    std::filesystem::path folder, internal::file_descriptor lock)
    : folder_(std::move(folder))
    , lock_(std::move(lock))
{
}

leaf::result<file_disk> file_disk::open(const std::filesystem::path& folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
    {
        return fail(storage_fault::cannot_open, "", error.value());
    }
    const auto path = folder / lock_file;
    internal::file_descriptor lock(
        ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
    if (!lock.valid())
    {
        return fail(storage_fault::cannot_open, lock_file, errno);
    }
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
    {
        return fail(storage_fault::in_use, lock_file, errno);
    }
    return file_disk(folder, std::move(lock));
}

leaf::result<std::optional<std::string>> file_disk::read(std::string_view file)
{
    const auto path = folder_ / file;
    const internal::file_descriptor source(
        ::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!source.valid())
    {
        if (errno == ENOENT)
        {
            return std::optional<std::string>();
        }
        return fail(storage_fault::cannot_open, file, errno);
    }
    BOOST_LEAF_AUTO(content, read_all(source.get(), file));
    return std::optional(std::move(content));
}

leaf::result<int> file_disk::open_for_append(std::string_view file)
{
    const auto existing = open_.find(file);
    if (existing != open_.end())
    {
        return existing->second.get();
    }
    BOOST_LEAF_CHECK(create_parent(file));
    const auto path = folder_ / file;
    internal::file_descriptor target(::open(
        path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode));
    if (!target.valid())
    {
        return fail(storage_fault::cannot_open, file, errno);
    }
    BOOST_LEAF_CHECK(sync_parent(file));
    const int value = target.get();
    open_.emplace(std::string(file), std::move(target));
    return value;
}

leaf::result<void>
file_disk::append(std::string_view file, std::string_view bytes)
{
    BOOST_LEAF_AUTO(target, open_for_append(file));
    return write_all(target, bytes, file);
}

leaf::result<void> file_disk::sync(std::string_view file)
{
    BOOST_LEAF_AUTO(target, open_for_append(file));
    if (::fdatasync(target) != 0)
    {
        return fail(storage_fault::sync_failed, file, errno);
    }
    return {};
}

leaf::result<void>
file_disk::replace(std::string_view file, std::string_view bytes)
{
    BOOST_LEAF_CHECK(create_parent(file));
    const auto path = folder_ / file;
    auto temporary = path;
    temporary += temporary_suffix;
    {
        const internal::file_descriptor target(::open(
            temporary.c_str(),
            O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
            file_mode));
        if (!target.valid())
        {
            return fail(storage_fault::cannot_open, file, errno);
        }
        BOOST_LEAF_CHECK(write_all(target.get(), bytes, file));
        if (::fsync(target.get()) != 0)
        {
            return fail(storage_fault::sync_failed, file, errno);
        }
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0)
    {
        return fail(storage_fault::write_failed, file, errno);
    }
    // The open descriptor refers to the replaced file, which has no name any
    // more.
    const auto existing = open_.find(file);
    if (existing != open_.end())
    {
        open_.erase(existing);
    }
    return sync_parent(file);
}

leaf::result<void>
file_disk::truncate(std::string_view file, std::uint64_t size)
{
    BOOST_LEAF_AUTO(target, open_for_append(file));
    if (::ftruncate(target, static_cast<::off_t>(size)) != 0)
    {
        return fail(storage_fault::write_failed, file, errno);
    }
    if (::fsync(target) != 0)
    {
        return fail(storage_fault::sync_failed, file, errno);
    }
    return {};
}

leaf::result<void> file_disk::create_parent(std::string_view file)
{
    const auto parent = (folder_ / file).parent_path();
    std::error_code error;
    const bool created = std::filesystem::create_directories(parent, error);
    if (error)
    {
        return fail(storage_fault::cannot_open, file, error.value());
    }
    return created ? sync_folder(parent.parent_path()) : leaf::result<void>();
}

leaf::result<void> file_disk::sync_parent(std::string_view file)
{
    return sync_folder((folder_ / file).parent_path());
}

} // namespace nutmegusher
