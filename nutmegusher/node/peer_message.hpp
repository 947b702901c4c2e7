// Messages that are the whole body of a peer's request or answer.
#ifndef NUTMEGUSHER_NODE_PEER_MESSAGE_HPP
#define NUTMEGUSHER_NODE_PEER_MESSAGE_HPP

#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace nutmegusher::node
{

// Reads the body of a request; nullopt if it breaks off or has more than
// `max_bytes`.
boost::asio::awaitable<std::optional<std::string>>
read_message(wire::server_stream& stream, std::size_t max_bytes);

// Answers with 200 and the body.
boost::asio::awaitable<void>
write_message(wire::server_stream& stream, const std::string& body);

// Answers with 400.
boost::asio::awaitable<void> send_bad_request(wire::server_stream& stream);

} // namespace nutmegusher::node

#endif
