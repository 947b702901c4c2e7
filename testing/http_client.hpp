// A small HTTP/1.1 client that reads answers of any size in bounded memory.
#ifndef NUTMEGUSHER_TESTING_HTTP_CLIENT_HPP
#define NUTMEGUSHER_TESTING_HTTP_CLIENT_HPP

#include "nutmegusher/base/base.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher::test_support
{

struct http_header
{
    std::string name;
    std::string value;
};

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<http_header> headers;
    std::string body;
};

// Why there is no complete answer.
enum class http_failure : std::uint8_t
{
    connect_failed,  // nothing was sent
    timed_out,       // sent; no complete answer in time
    connection_lost, // sent; the connection closed before any answer
    body_cut         // the connection closed within the answer
};

[[nodiscard]] std::string_view to_text(http_failure failure);

struct http_answer
{
    unsigned status = 0;
    std::vector<http_header> headers;
    // The first `max_stored_body_bytes` bytes.
    std::string body;
    std::uint64_t body_size = 0;
    std::uint64_t body_digest = 0;

    // The header's value, or an empty text. Names are case-insensitive.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

inline constexpr std::size_t max_stored_body_bytes = 1024 * 1024;
inline constexpr std::chrono::milliseconds default_http_timeout{10'000};

using http_result = outcome<http_answer, http_failure>;

// Sends one request on a new connection and waits for the complete answer.
[[nodiscard]] http_result send_request(
    std::string_view address,
    const http_request& request,
    std::chrono::milliseconds timeout = default_http_timeout);

} // namespace nutmegusher::test_support

#endif
