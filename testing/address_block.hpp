// Loopback addresses that no other test uses at the same time.
#ifndef NUTMEGUSHER_TESTING_ADDRESS_BLOCK_HPP
#define NUTMEGUSHER_TESTING_ADDRESS_BLOCK_HPP

#include "nutmegusher/base/base.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace nutmegusher::test_support
{

// 250 addresses 127.a.b.1 to 127.a.b.250 with all their ports. A listening
// socket on 127.a.b.254 reserves the block, so that tests that run in parallel
// don't compete for ports.
class address_block
{
public:
    // Fails with the last error if no block is free.
    [[nodiscard]] static outcome<address_block, boost::system::error_code>
    reserve();

    // "127.a.b.<host>". Requires: 1 <= host <= 250.
    [[nodiscard]] std::string ip(std::uint32_t host) const;

    // "127.a.b.<host>:<port>".
    [[nodiscard]] std::string
    address(std::uint32_t host, std::uint16_t port) const;

private:
    struct reservation;
    explicit address_block(std::shared_ptr<reservation> reserved);

    std::shared_ptr<reservation> reservation_;
};

} // namespace nutmegusher::test_support

#endif
