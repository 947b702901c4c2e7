// Converts "ip:port" to Asio endpoints.
#ifndef NUTMEGUSHER_TESTING_ENDPOINT_HPP
#define NUTMEGUSHER_TESTING_ENDPOINT_HPP

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegusher::test_support
{

using tcp_endpoint = boost::asio::ip::tcp::endpoint;

// Requires: `ip` is a literal address.
[[nodiscard]] inline tcp_endpoint
make_endpoint(const std::string& ip, std::uint16_t port)
{
    return {boost::asio::ip::make_address(ip), port};
}

// Requires: `address` is "ip:port"; throws otherwise.
[[nodiscard]] inline tcp_endpoint parse_endpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    const std::string port(address.substr(colon + 1));
    return make_endpoint(
        std::string(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(port)));
}

} // namespace nutmegusher::test_support

#endif
