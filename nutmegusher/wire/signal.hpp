// Wakes coroutines of one thread that wait for a change of state.
#ifndef NUTMEGUSHER_WIRE_SIGNAL_HPP
#define NUTMEGUSHER_WIRE_SIGNAL_HPP

#include "nutmegusher/wire/asio_types.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace nutmegusher::wire::internal
{

enum class wait_result : std::uint8_t
{
    notified,
    timed_out,
    // The waiting coroutine was cancelled.
    cancelled
};

// The waiter checks its condition, waits, and checks again. A notification sent
// before the wait begins is not remembered.
class signal
{
public:
    explicit signal(asio::io_context& context)
        : timer_(context, std::chrono::steady_clock::time_point::max())
    {
    }

    // Returns false if the waiting coroutine was cancelled. The signal must
    // outlive the wait.
    [[nodiscard]] asio::awaitable<bool> wait();

    // Waits until notified, at most until `deadline`. Requires: no other
    // coroutine waits.
    [[nodiscard]] asio::awaitable<wait_result>
    wait_until(std::chrono::steady_clock::time_point deadline);

    // Wakes all waiters, in a later turn of the event loop.
    void notify()
    {
        timer_.cancel();
    }

private:
    timer timer_;
};

} // namespace nutmegusher::wire::internal

#endif
