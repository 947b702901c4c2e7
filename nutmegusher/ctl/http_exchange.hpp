// One HTTP request to a process's operators' address, and its answer.
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

// Why there is no reply. Only after `unreachable` it is certain that the query
// had no effect.
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

// An address is not `ip:port`.
struct bad_address
{
    std::string text;
};

// A new connection for each query. `timeout` bounds each of them.
// Errors: `bad_address`.
[[nodiscard]] leaf::result<http_exchange>
connect_with_beast(const std::string& address, duration timeout);

} // namespace nutmegusher::ctl

#endif
