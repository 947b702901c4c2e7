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
    body_blocks& body)
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

asio::awaitable<outcome<std::string, caller_failure>> read_text_body(
    caller_exchange& exchange, std::uint64_t most, held_memory& memory)
{
    body_blocks body;
    const auto read = co_await read_whole_body(exchange, most, memory, body);
    if (!read)
    {
        co_return read.error();
    }
    memory.finish_arriving();
    auto text = join(std::move(body), memory);
    if (!text)
    {
        co_return caller_failure::no_room;
    }
    co_return *std::move(text);
}

std::string_view to_string(caller_failure failure)
{
    switch (failure)
    {
    case caller_failure::disconnected:
        return "disconnected";
    case caller_failure::malformed:
        return "malformed";
    case caller_failure::too_large:
        return "too-large";
    case caller_failure::too_slow:
        return "too-slow";
    case caller_failure::no_room:
        return "no-room";
    case caller_failure::given_up:
        break;
    }
    return "leaving";
}

std::optional<wire::response_head> to_unread_head(caller_failure failure)
{
    switch (failure)
    {
    case caller_failure::disconnected:
        return std::nullopt;
    case caller_failure::malformed:
        return wire::response_head{400, {}};
    case caller_failure::too_large:
        return wire::response_head{413, {}};
    case caller_failure::too_slow:
        return wire::response_head{408, {}};
    case caller_failure::no_room:
    case caller_failure::given_up:
        break;
    }
    return wire::response_head{503, {{"retry-after", "1"}}};
}

} // namespace nutmegusher::node
