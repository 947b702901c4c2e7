#include "nutmegusher/control/memory_disk.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

leaf::error_id fail(storage_fault fault, std::string_view file)
{
    return leaf::new_error(storage_failure{fault, std::string(file)});
}

} // namespace

leaf::result<void> memory_disk::count_operation(std::string_view file)
{
    if (!operations_left_)
    {
        return {};
    }
    if (*operations_left_ == 0)
    {
        return fail(storage_fault::write_failed, file);
    }
    --*operations_left_;
    return {};
}

std::uint64_t memory_disk::used() const
{
    std::uint64_t sum = 0;
    for (const auto& [name, file] : files_)
    {
        sum += file.written.size();
    }
    return sum;
}

leaf::result<std::optional<std::string>>
memory_disk::read(std::string_view file)
{
    const auto existing = files_.find(file);
    if (existing == files_.end())
    {
        return std::optional<std::string>();
    }
    return std::optional(existing->second.written);
}

leaf::result<void>
memory_disk::append(std::string_view file, std::string_view bytes)
{
    BOOST_LEAF_CHECK(count_operation(file));
    auto writable = bytes.size();
    if (capacity_)
    {
        writable = std::min<std::uint64_t>(
            writable, *capacity_ - std::min(*capacity_, used()));
    }
    content(file).append(bytes.substr(0, writable));
    if (writable < bytes.size())
    {
        return fail(storage_fault::full, file);
    }
    return {};
}

leaf::result<void> memory_disk::sync(std::string_view file)
{
    BOOST_LEAF_CHECK(count_operation(file));
    const auto existing = files_.find(file);
    if (existing != files_.end())
    {
        existing->second.durable = existing->second.written.size();
    }
    ++syncs_;
    return {};
}

leaf::result<void>
memory_disk::replace(std::string_view file, std::string_view bytes)
{
    BOOST_LEAF_CHECK(count_operation(file));
    // The new file and the old one exist at the same time until the rename.
    if (capacity_ && used() + bytes.size() > *capacity_)
    {
        return fail(storage_fault::full, file);
    }
    auto& target = files_[std::string(file)];
    target.written = std::string(bytes);
    target.durable = bytes.size();
    ++syncs_;
    return {};
}

leaf::result<void>
memory_disk::truncate(std::string_view file, std::uint64_t size)
{
    BOOST_LEAF_CHECK(count_operation(file));
    auto& target = files_[std::string(file)];
    target.written.resize(size);
    target.durable = size;
    return {};
}

void memory_disk::crash(random_engine& engine)
{
    for (auto& [name, file] : files_)
    {
        const auto unsynced = file.written.size() - file.durable;
        const auto kept =
            static_cast<std::size_t>(uniform_below(engine, unsynced + 1));
        file.written.resize(file.durable + kept);
        if (kept > 0 && uniform_below(engine, 2) == 0)
        {
            const auto corrupted =
                static_cast<std::size_t>(uniform_below(engine, kept));
            auto& byte = file.written[file.durable + corrupted];
            byte = static_cast<char>(byte ^ 0x55);
        }
        file.durable = file.written.size();
    }
    operations_left_.reset();
}

void memory_disk::fail_after(std::uint64_t count)
{
    operations_left_ = count;
}

void memory_disk::set_capacity(std::optional<std::uint64_t> bytes)
{
    capacity_ = bytes;
}

void memory_disk::wipe()
{
    files_.clear();
    operations_left_.reset();
}

std::string& memory_disk::content(std::string_view file)
{
    return files_[std::string(file)].written;
}

} // namespace nutmegusher
