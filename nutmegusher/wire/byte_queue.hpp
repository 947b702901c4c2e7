// A FIFO queue of bytes in one block of memory.
#ifndef NUTMEGUSHER_WIRE_BYTE_QUEUE_HPP
#define NUTMEGUSHER_WIRE_BYTE_QUEUE_HPP

#include <cstddef>
#include <span>
#include <vector>

namespace nutmegusher::wire::internal
{

class byte_queue
{
public:
    void push(std::span<const std::byte> bytes);

    // Moves the oldest bytes into `into`; returns their count.
    std::size_t pop(std::span<std::byte> into);

    void clear();

    [[nodiscard]] std::size_t size() const
    {
        return bytes_.size() - begin_;
    }

    [[nodiscard]] bool empty() const
    {
        return size() == 0;
    }

private:
    std::vector<std::byte> bytes_;
    // Index of the oldest byte in `bytes_`.
    std::size_t begin_ = 0;
};

} // namespace nutmegusher::wire::internal

#endif
