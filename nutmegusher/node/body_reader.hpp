// Reads a request's body whole.
#ifndef NUTMEGUSHER_NODE_BODY_READER_HPP
#define NUTMEGUSHER_NODE_BODY_READER_HPP

#include "nutmegusher/node/body_blocks.hpp"
#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/memory_account.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegusher::node
{

// Reads up to the end of the body into `body`, in memory of `memory`, which
// also counts the request's head. A body of more than `most` bytes fails with
// `too_large`, before anything is read if its length is announced; one that
// there is no memory for fails with `no_room`. Requires: `body` is empty.
asio::awaitable<outcome<void, caller_failure>> read_whole_body(
    caller_exchange& exchange,
    std::uint64_t most,
    held_memory& memory,
    body_blocks& body);

// The same with the body as one text.
asio::awaitable<outcome<std::string, caller_failure>> read_text_body(
    caller_exchange& exchange, std::uint64_t most, held_memory& memory);

[[nodiscard]] std::string_view to_string(caller_failure failure);

// The answer of a listener for reports or operators to a request whose body
// couldn't be read; nothing of the request was applied. Empty if the caller
// has left.
[[nodiscard]] std::optional<wire::response_head>
to_unread_head(caller_failure failure);

} // namespace nutmegusher::node

#endif
