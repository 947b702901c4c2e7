// Retry tokens: moved, never copied.
#ifndef NUTMEGUSHER_EXECUTION_RETRY_TOKENS_HPP
#define NUTMEGUSHER_EXECUTION_RETRY_TOKENS_HPP

#include <algorithm>
#include <cstdint>
#include <utility>

namespace nutmegusher
{

// The right to so many retries. The daemon at which a request enters mints a
// few; each call to the next hop carries some of them, and its answer brings
// back what was left. Nothing makes more of them, so the retries of one request
// stay below what was minted at any depth and fan-out. Tokens of a lost answer
// are lost.
class retry_tokens
{
public:
    retry_tokens() = default;

    // Only at a request's entry.
    static retry_tokens mint(std::uint32_t count)
    {
        return retry_tokens(count);
    }

    // Those that a call from another daemon brought along.
    static retry_tokens received(std::uint32_t count)
    {
        return retry_tokens(count);
    }

    retry_tokens(const retry_tokens&) = delete;
    retry_tokens& operator=(const retry_tokens&) = delete;

    retry_tokens(retry_tokens&& other) noexcept
        : count_(std::exchange(other.count_, 0))
    {
    }

    retry_tokens& operator=(retry_tokens&& other) noexcept
    {
        count_ = std::exchange(other.count_, 0);
        return *this;
    }

    ~retry_tokens() = default;

    [[nodiscard]] std::uint32_t count() const
    {
        return count_;
    }

    // Pays for one retry; false where there is none left.
    bool spend()
    {
        const bool paid = count_ > 0;
        count_ -= paid ? 1 : 0;
        return paid;
    }

    // Moves at most `wanted` out.
    retry_tokens take(std::uint32_t wanted)
    {
        const auto taken = std::min(wanted, count_);
        count_ -= taken;
        return retry_tokens(taken);
    }

    void put(retry_tokens&& other)
    {
        count_ += std::exchange(other.count_, 0);
    }

    // Gives all of them to a message; they are no longer here.
    std::uint32_t send()
    {
        return std::exchange(count_, 0);
    }

private:
    explicit retry_tokens(std::uint32_t count)
        : count_(count)
    {
    }

    std::uint32_t count_ = 0;
};

// Remembers what a call took along, so that its answer brings back no more
// than that, and only once.
class outstanding_tokens
{
public:
    explicit outstanding_tokens(std::uint32_t sent)
        : sent_(sent)
    {
    }

    // `answered`: what the answer claims to bring back.
    retry_tokens reclaim(std::uint32_t answered)
    {
        const auto sent = std::exchange(sent_, 0);
        return retry_tokens::received(std::min(answered, sent));
    }

private:
    std::uint32_t sent_;
};

} // namespace nutmegusher

#endif
