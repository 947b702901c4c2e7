// Coroutine HTTP client on the caller's io_context, with a pool of idle
// connections.
#ifndef NUTMEGUSHER_TESTING_ASYNC_HTTP_CLIENT_HPP
#define NUTMEGUSHER_TESTING_ASYNC_HTTP_CLIENT_HPP

#include "testing/endpoint.hpp"
#include "testing/http_client.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <vector>

namespace nutmegusher::test_support
{

// Not thread-safe: use it from one thread that runs the context.
class async_http_client
{
public:
    explicit async_http_client(boost::asio::io_context& context);
    ~async_http_client();

    async_http_client(const async_http_client&) = delete;
    async_http_client& operator=(const async_http_client&) = delete;

    // Reuses an idle connection if there is one. Requires: `request`
    // outlives the call.
    boost::asio::awaitable<http_result> call(
        tcp_endpoint to,
        const http_request& request,
        std::chrono::milliseconds timeout);

private:
    struct connection;

    std::unique_ptr<connection> take_idle(const tcp_endpoint& to);

    boost::asio::io_context& context_;
    std::map<tcp_endpoint, std::vector<std::unique_ptr<connection>>> idle_;
};

} // namespace nutmegusher::test_support

#endif
