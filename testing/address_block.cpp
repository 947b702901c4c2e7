#include "testing/address_block.hpp"

#include "testing/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

namespace nutmegusher::test_support
{

namespace
{

constexpr std::uint32_t block_count = 40'000;
constexpr std::uint32_t first_block = 256; // 127.1.0.0
constexpr std::uint16_t reservation_port = 7007;

std::string block_prefix(std::uint32_t block)
{
    return "127." + std::to_string(block / 256) + "." +
           std::to_string(block % 256) + ".";
}

} // namespace

struct address_block::reservation
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{context};
    std::string prefix;
};

address_block::address_block(std::shared_ptr<reservation> reserved)
    : reservation_(std::move(reserved))
{
}

outcome<address_block, boost::system::error_code> address_block::reserve()
{
    static_assert(first_block + block_count < 255 * 256);
    boost::system::error_code error;
    const auto start = static_cast<std::uint32_t>(getpid()) * 31;
    for (std::uint32_t i = 0; i < block_count; ++i)
    {
        auto reserved = std::make_shared<reservation>();
        reserved->prefix =
            block_prefix(first_block + (start + i) % block_count);
        const auto endpoint =
            make_endpoint(reserved->prefix + "254", reservation_port);
        reserved->acceptor.open(endpoint.protocol(), error);
        if (!error)
        {
            reserved->acceptor.bind(endpoint, error);
        }
        if (!error)
        {
            reserved->acceptor.listen(1, error);
        }
        if (!error)
        {
            return address_block(std::move(reserved));
        }
    }
    return error;
}

std::string address_block::ip(std::uint32_t host) const
{
    return reservation_->prefix + std::to_string(host);
}

std::string address_block::address(std::uint32_t host, std::uint16_t port) const
{
    return ip(host) + ":" + std::to_string(port);
}

} // namespace nutmegusher::test_support
