#include "nutmegusher/node/control_test_hosts.hpp"

#include <gtest/gtest.h>

#include <set>

namespace nutmegusher::node
{
namespace
{

// Guards against two listeners of one test with the same address: the second
// one cannot listen.
TEST(free_address, differs_from_the_ones_returned_before)
{
    constexpr int rounds = 8;
    for (int round = 0; round < rounds; ++round)
    {
        std::set<asio::ip::tcp::endpoint> returned;
        for (std::uint32_t i = 0; i < max_free_addresses; ++i)
        {
            returned.insert(free_address());
        }
        EXPECT_EQ(returned.size(), max_free_addresses);
    }
}

} // namespace
} // namespace nutmegusher::node
