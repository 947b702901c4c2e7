// A TCP relay with injectable faults.
//
//     auto link = relay::start(block.address(9, 1000), daemon_address);
//     (*link)->set({.to_target = relay_direction::silent});
//
// As a program (`relay`) it reads the same as JSON lines on standard input.
#ifndef NUTMEGUSHER_TESTING_RELAY_HPP
#define NUTMEGUSHER_TESTING_RELAY_HPP

#include "nutmegusher/base/base.hpp"

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegusher::test_support
{

enum class relay_direction : std::uint8_t
{
    pass,
    silent // bytes are read and dropped; the connection stays open
};

struct relay_behavior
{
    relay_direction to_target = relay_direction::pass;
    relay_direction to_client = relay_direction::pass;
    // Delay before each chunk is forwarded, in each direction.
    std::chrono::milliseconds delay{0};
    // False: `to_target` and `to_client` apply only to the connections that
    // are open now.
    bool new_connections_too = true;
    // New connections are accepted and closed at once.
    bool refuse_new = false;
};

// Runs on a thread of its own from `start` to its destruction.
class relay
{
public:
    [[nodiscard]] static outcome<
        std::unique_ptr<relay>,
        boost::system::error_code>
    start(const std::string& listen, const std::string& target);

    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    // In effect when it returns, for open connections too.
    void set(const relay_behavior& behavior);

    // Sets the behavior of the connections that one process opens or has
    // opened, also of an exited one. Takes precedence over `set`.
    void set_for_process(pid_t process, const relay_behavior& behavior);

    // Undoes `set_for_process`.
    void clear_process(pid_t process);

    // Resets all open connections.
    void cut();

    [[nodiscard]] std::size_t open_connections();

private:
    class server;

    explicit relay(std::unique_ptr<server> running);

    std::unique_ptr<server> server_;
};

// {"to_target": "silent", "to_client": "pass", "delay_ms": 5,
//  "new_connections_too": false, "refuse_new": true}
// Other members are ignored.
[[nodiscard]] outcome<relay_behavior, boost::system::error_code>
parse_relay_behavior(std::string_view json);

} // namespace nutmegusher::test_support

#endif
