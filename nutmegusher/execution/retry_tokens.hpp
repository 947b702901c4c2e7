// Retry tokens, which can be moved but not copied.
#ifndef NUTMEGUSHER_EXECUTION_RETRY_TOKENS_HPP
#define NUTMEGUSHER_EXECUTION_RETRY_TOKENS_HPP

#include <algorithm>
#include <cstdint>
#include <utility>

namespace nutmegusher
{

// A number of tokens, each of which permits one retry. The daemon at which a
// request enters mints a few. Each call to the next hop carries some of them,
// and its answer returns the unused ones. No other daemon creates tokens, so
// the retries of one request never exceed the number minted, at any depth and
// fan-out. Tokens in a lost answer are lost.
class retry_tokens
{
public:
    retry_tokens() = default;

    // Creates new tokens. Call it only at the entry of a request.
    static retry_tokens mint(std::uint32_t count)
    {
        return retry_tokens(count);
    }

    // Wraps the tokens that a message from another daemon carried.
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

    // Uses one token for a retry. Returns false if there is none left.
    bool spend()
    {
        const bool paid = count_ > 0;
        count_ -= paid ? 1 : 0;
        return paid;
    }

    // Moves at most `wanted` tokens into the result.
    retry_tokens take(std::uint32_t wanted)
    {
        const auto taken = std::min(wanted, count_);
        count_ -= taken;
        return retry_tokens(taken);
    }

    // Adds the tokens of `other`.
    void put(retry_tokens&& other)
    {
        count_ += std::exchange(other.count_, 0);
    }

    // Moves all tokens into a message: returns their number and leaves none.
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

// The tokens that were sent with a call. Limits what its answer can return to
// that number, and to one return.
class outstanding_tokens
{
public:
    explicit outstanding_tokens(std::uint32_t sent)
        : sent_(sent)
    {
    }

    // Returns the tokens that come back with the answer; `answered` is the
    // number that the answer states.
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
