// A body in blocks of memory, which grows without being copied.
//
//     body_blocks body;
//     body.add_block(4096);
//     body.commit(read_some(body.room()));
//     for (const auto part : body.parts()) send(part);
#ifndef NUTMEGUSHER_NODE_BODY_BLOCKS_HPP
#define NUTMEGUSHER_NODE_BODY_BLOCKS_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher::node
{

class body_blocks
{
public:
    // Bytes.
    [[nodiscard]] std::uint64_t size() const
    {
        return size_;
    }

    [[nodiscard]] bool empty() const
    {
        return size_ == 0;
    }

    // Space for the next bytes; empty if the last block is full.
    [[nodiscard]] std::span<std::byte> room()
    {
        if (blocks_.empty())
        {
            return {};
        }
        auto& last = blocks_.back();
        return std::span(last.bytes.get(), last.capacity).subspan(last.used);
    }

    // Requires: `room` is empty.
    void add_block(std::size_t bytes)
    {
        blocks_.push_back(
            {std::make_unique_for_overwrite<std::byte[]>(bytes), bytes, 0});
    }

    // Requires: `room` has as many bytes, and they were written.
    void commit(std::size_t bytes)
    {
        blocks_.back().used += bytes;
        size_ += bytes;
    }

    // The body in order, valid until it is changed; no part is empty.
    [[nodiscard]] std::vector<std::string_view> parts() const
    {
        std::vector<std::string_view> all;
        all.reserve(blocks_.size());
        for (const auto& each : blocks_)
        {
            if (each.used > 0)
            {
                const auto* const text =
                    reinterpret_cast<const char*>(each.bytes.get());
                all.emplace_back(text, each.used);
            }
        }
        return all;
    }

    // The whole body as one text.
    [[nodiscard]] std::string text() const
    {
        std::string joined;
        joined.reserve(size_);
        for (const auto part : parts())
        {
            joined += part;
        }
        return joined;
    }

private:
    struct block
    {
        std::unique_ptr<std::byte[]> bytes;
        std::size_t capacity = 0;
        std::size_t used = 0;
    };

    std::vector<block> blocks_;
    std::uint64_t size_ = 0;
};

} // namespace nutmegusher::node

#endif
