// Runs one command of `nutmegusherctl`.
#ifndef NUTMEGUSHER_CTL_RUN_HPP
#define NUTMEGUSHER_CTL_RUN_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/ctl/http_exchange.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <span>
#include <string>

namespace nutmegusher::ctl
{

// What the program ends with.
enum class exit_code : std::uint8_t
{
    success = 0,
    failed = 1,    // unavailable or unreachable; a change may be resent
    bad_usage = 2, // wrong arguments, or the system found the input invalid
    conflict = 3,  // somebody else's change came first
    timed_out = 4  // `--wait` ended before it was in force everywhere
};

// Everything that a command reaches outside for.
struct environment
{
    // The answer; a table or JSON.
    std::ostream& out;
    // Progress and errors.
    std::ostream& error;
    // Errors: `bad_address`.
    std::function<leaf::result<http_exchange>(const std::string& address)>
        connect;
    std::function<time_point()> now;
    std::function<void(duration)> sleep;
    std::function<std::uint64_t()> random;
    // Used where no `--address` is given; may be empty.
    std::string default_address;
    // Who makes the change, for the history.
    std::string author;
};

// `arguments`: without the program's name.
[[nodiscard]] exit_code
run(std::span<const std::string> arguments, const environment& env);

} // namespace nutmegusher::ctl

#endif
