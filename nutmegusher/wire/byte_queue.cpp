#include "nutmegusher/wire/byte_queue.hpp"

#include <algorithm>
#include <cstring>

namespace nutmegusher::wire::internal
{

void byte_queue::push(std::span<const std::byte> bytes)
{
    const bool mostly_popped = begin_ > bytes_.size() / 2;
    if (mostly_popped)
    {
        bytes_.erase(
            bytes_.begin(), bytes_.begin() + static_cast<long>(begin_));
        begin_ = 0;
    }
    bytes_.insert(bytes_.end(), bytes.begin(), bytes.end());
}

std::size_t byte_queue::pop(std::span<std::byte> into)
{
    const auto count = std::min(into.size(), size());
    if (count == 0)
    {
        return 0;
    }
    std::memcpy(into.data(), bytes_.data() + begin_, count);
    begin_ += count;
    if (empty())
    {
        bytes_.clear();
        begin_ = 0;
    }
    return count;
}

void byte_queue::clear()
{
    bytes_ = {};
    begin_ = 0;
}

} // namespace nutmegusher::wire::internal
