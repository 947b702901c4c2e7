// A body that is read into one string, in memory that is taken as it arrives.
//
//     growing_body growing(body, memory, most, length);
//     const auto room = growing.room();
//     if (room.empty()) refuse();      // there is no memory for more
//     growing.commit(co_await read_some(room));
//     growing.finish();
#ifndef NUTMEGUSHER_NODE_GROWING_BODY_HPP
#define NUTMEGUSHER_NODE_GROWING_BODY_HPP

#include "nutmegusher/node/memory_account.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace nutmegusher::node
{

class growing_body
{
public:
    // `most`: bytes that the body can have. Requires: `body` is empty; `body`
    // and `memory` outlive this object.
    growing_body(std::string& body, held_memory& memory, std::uint64_t most)
        : body_(body)
        , memory_(memory)
        , most_(most)
    {
    }

    // Space for the next bytes. Empty if the body has `most` bytes or if there
    // is no memory for more.
    [[nodiscard]] std::span<std::byte> room()
    {
        if (filled_ == body_.size())
        {
            grow();
        }
        return std::as_writable_bytes(std::span(body_)).subspan(filled_);
    }

    // The next `bytes` of the space were written.
    void commit(std::size_t bytes)
    {
        filled_ += bytes;
    }

    [[nodiscard]] std::uint64_t size() const
    {
        return filled_;
    }

    [[nodiscard]] bool is_full() const
    {
        return filled_ >= most_;
    }

    // Cuts the body at its end.
    void finish()
    {
        memory_.give_back(body_.size() - filled_);
        body_.resize(filled_);
    }

private:
    static constexpr std::uint64_t first_step = 4096;
    static constexpr std::uint64_t largest_step = 65536;
    // Memory that isn't written costs address space only, so the string grows
    // fast and is seldom copied.
    static constexpr std::uint64_t growth = 4;

    void grow()
    {
        const std::uint64_t size = body_.size();
        const auto step =
            std::min(std::clamp(size, first_step, largest_step), most_ - size);
        if (step == 0)
        {
            return;
        }
        if (size + step > body_.capacity())
        {
            // Both copies exist while the string grows.
            if (!memory_.take(size))
            {
                return;
            }
            body_.reserve(std::min(most_, std::max(growth * size, first_step)));
            memory_.give_back(size);
        }
        if (memory_.take(step))
        {
            body_.resize(size + step);
        }
    }

    std::string& body_;
    held_memory& memory_;
    const std::uint64_t most_;
    std::size_t filled_ = 0;
};

} // namespace nutmegusher::node

#endif
