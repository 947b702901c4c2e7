// A body whose memory is taken as it arrives.
//
//     growing_body growing(body, memory, most);
//     const auto room = growing.room();
//     if (room.empty()) refuse();      // there is no memory for more
//     growing.commit(co_await read_some(room));
#ifndef NUTMEGUSHER_NODE_GROWING_BODY_HPP
#define NUTMEGUSHER_NODE_GROWING_BODY_HPP

#include "nutmegusher/node/body_blocks.hpp"
#include "nutmegusher/node/memory_account.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace nutmegusher::node
{

class growing_body
{
public:
    // `most`: bytes that the body can have. Requires: `body` is empty; `body`
    // and `memory` outlive this object.
    growing_body(body_blocks& body, held_memory& memory, std::uint64_t most)
        : body_(body)
        , memory_(memory)
        , most_(most)
    {
    }

    // Space for the next bytes. Empty if the body has `most` bytes or if there
    // is no memory for more.
    [[nodiscard]] std::span<std::byte> room()
    {
        if (body_.room().empty())
        {
            grow();
        }
        return body_.room();
    }

    // The next `bytes` of the space were written.
    void commit(std::size_t bytes)
    {
        body_.commit(bytes);
    }

    [[nodiscard]] bool is_full() const
    {
        return body_.size() >= most_;
    }

private:
    // Most bodies fit into the first block. Of later ones a body has at most
    // as much to spare as it has bytes.
    static constexpr std::uint64_t first_block = 4096;
    static constexpr std::uint64_t largest_block = 32768;

    void grow()
    {
        const auto size = body_.size();
        const auto bytes = std::min(
            std::clamp(size, first_block, largest_block), most_ - size);
        if (bytes > 0 && memory_.take(bytes))
        {
            body_.add_block(bytes);
        }
    }

    body_blocks& body_;
    held_memory& memory_;
    const std::uint64_t most_;
};

// The body as one text. Empty if there is no memory for both of them.
[[nodiscard]] inline std::optional<std::string>
join(body_blocks body, held_memory& memory)
{
    if (!memory.take(body.size()))
    {
        return std::nullopt;
    }
    auto text = body.text();
    memory.give_back(body.size());
    return text;
}

} // namespace nutmegusher::node

#endif
