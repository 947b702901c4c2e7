// Unary calls between processes, for control messages.
#ifndef NUTMEGUSHER_WIRE_CALL_HPP
#define NUTMEGUSHER_WIRE_CALL_HPP

#include "nutmegusher/wire/session_pool.hpp"

#include <string>
#include <string_view>

namespace nutmegusher::wire
{

// The largest response body that `call` accepts.
inline constexpr std::size_t max_call_answer_bytes = 64 * 1024 * 1024;

// Sends POST `path` with `body` (an encoded protobuf message) and returns the
// whole body of the response. `path` and `body` must stay valid until the call
// ends. Errors: those of the pool and the stream; `bad_status` if the status
// isn't 200; `timed_out` after `timeout`, which includes connecting;
// `too_large` if the body exceeds `max_call_answer_bytes`.
[[nodiscard]] boost::asio::awaitable<outcome<std::string, stream_failure>> call(
    session_pool& pool,
    boost::asio::ip::tcp::endpoint peer,
    std::string_view path,
    std::string_view body,
    duration timeout);

} // namespace nutmegusher::wire

#endif
