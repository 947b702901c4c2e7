#include "nutmegusher/wire/byte_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace nutmegusher::wire::internal
{
namespace
{

void push_text(byte_queue& queue, const std::string& text)
{
    queue.push(std::as_bytes(std::span(text)));
}

std::string pop_text(byte_queue& queue, std::size_t limit)
{
    std::string text(limit, '\0');
    const auto count = queue.pop(std::as_writable_bytes(std::span(text)));
    text.resize(count);
    return text;
}

TEST(byte_queue, gives_nothing_while_empty)
{
    byte_queue queue;
    EXPECT_EQ(pop_text(queue, 5), "");
    EXPECT_TRUE(queue.empty());
}

// For any sizes of the pieces, each byte comes out once and in order.
RC_GTEST_PROP(
    byte_queue,
    keeps_the_order,
    (const std::vector<std::pair<std::string, std::uint8_t>>& steps))
{
    byte_queue queue;
    std::string pushed;
    std::string popped;
    for (const auto& [text, limit] : steps)
    {
        push_text(queue, text);
        pushed += text;
        popped += pop_text(queue, limit);
        RC_ASSERT(queue.size() == pushed.size() - popped.size());
    }
    popped += pop_text(queue, pushed.size());
    RC_ASSERT(popped == pushed);
}

} // namespace
} // namespace nutmegusher::wire::internal
