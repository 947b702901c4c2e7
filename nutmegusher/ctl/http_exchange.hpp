// Sends an HTTP request to the operators' address of a process.
#ifndef NUTMEGUSHER_CTL_HTTP_EXCHANGE_HPP
#define NUTMEGUSHER_CTL_HTTP_EXCHANGE_HPP

#include "nutmegusher/base/base.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace nutmegusher::ctl
{

struct http_query
{
    std::string method;
    std::string target;
    std::string body;
};

struct http_reply
{
    unsigned status = 0;
    std::string body;
};

// Why there is no reply. Only `unreachable` guarantees that the query had no
// effect.
enum class exchange_failure : std::uint8_t
{
    unreachable,
    timed_out,
    connection_lost,
    bad_reply
};

[[nodiscard]] std::string_view to_string(exchange_failure failure);

using exchange_result = outcome<http_reply, exchange_failure>;

// Sends one query and waits for the reply.
using http_exchange = std::function<exchange_result(const http_query&)>;

// Error: `text` isn't an `IP:PORT` address.
struct bad_address
{
    std::string text;
};

// An exchange that opens a new connection for each query. `timeout` applies to
// each query as a whole.
// Errors: `bad_address`.
[[nodiscard]] leaf::result<http_exchange>
connect_with_beast(const std::string& address, duration timeout);

} // namespace nutmegusher::ctl

#endif
