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

// Exit codes of the program.
enum class exit_code : std::uint8_t
{
    success = 0,
    failed = 1,    // unavailable or unreachable; a change may be resent
    bad_usage = 2, // wrong arguments, or input that the system rejects
    conflict = 3,  // the state has changed, as by another change
    timed_out = 4  // not in force everywhere within `--wait-seconds`
};

// The I/O of a command: output, connections, time and randomness.
struct environment
{
    // The command's result: a table, text or JSON.
    std::ostream& out;
    // Progress and errors.
    std::ostream& error;
    // Errors: `bad_address`.
    std::function<leaf::result<http_exchange>(const std::string& address)>
        connect;
    std::function<time_point()> now;
    std::function<void(duration)> sleep;
    std::function<std::uint64_t()> random;
    // Used if `--address` isn't given; may be empty.
    std::string default_address;
    // Default author of changes, for the history.
    std::string author;
};

// Runs the command that `arguments` (without the program's name) describe, and
// prints its result or error.
[[nodiscard]] exit_code
run(std::span<const std::string> arguments, const environment& env);

} // namespace nutmegusher::ctl

#endif
