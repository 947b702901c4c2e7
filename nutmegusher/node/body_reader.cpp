#include "nutmegusher/node/body_reader.hpp"

#include "nutmegusher/node/growing_body.hpp"

#include <algorithm>
#include <array>

namespace nutmegusher::node
{

namespace
{

// The end of a body that has reached its largest size.
asio::awaitable<outcome<void, caller_failure>>
read_end(caller_exchange& exchange)
{
    std::array<std::byte, 1> further;
    const auto got = co_await exchange.read_some(further);
    if (!got)
    {
        co_return got.error();
    }
    if (*got > 0)
    {
        co_return caller_failure::too_large;
    }
    co_return outcome<void, caller_failure>();
}

} // namespace

asio::awaitable<outcome<void, caller_failure>> read_whole_body(
    caller_exchange& exchange,
    std::uint64_t most,
    held_memory& memory,
    std::string& body)
{
    if (!memory.take(memory_of_head(exchange.head())))
    {
        co_return caller_failure::no_room;
    }
    const auto length = exchange.body_length();
    if (length.value_or(0) > most)
    {
        co_return caller_failure::too_large;
    }
    growing_body growing(body, memory, length.value_or(most));
    while (!growing.is_full())
    {
        const auto room = growing.room();
        if (room.empty())
        {
            co_return caller_failure::no_room;
        }
        const auto got = co_await exchange.read_some(room);
        if (!got)
        {
            co_return got.error();
        }
        if (*got == 0)
        {
            growing.finish();
            co_return outcome<void, caller_failure>();
        }
        growing.commit(*got);
    }
    if (length)
    {
        co_return outcome<void, caller_failure>();
    }
    co_return co_await read_end(exchange);
}

} // namespace nutmegusher::node
