// Wakes the coroutines of one thread that wait for a change of state.
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

// The waiter checks its condition, waits, and checks again: what is notified
// before the wait begins isn't remembered.
class signal
{
public:
    explicit signal(asio::io_context& context)
        : timer_(context, std::chrono::steady_clock::time_point::max())
    {
    }

    // False where the waiting coroutine was cancelled. The signal must outlive
    // the wait.
    [[nodiscard]] asio::awaitable<bool> wait();

    // Waits until `deadline` at most. Requires: nobody else waits.
    [[nodiscard]] asio::awaitable<wait_result>
    wait_until(std::chrono::steady_clock::time_point deadline);

    // All that wait go on, in a later turn of the loop.
    void notify()
    {
        timer_.cancel();
    }

private:
    timer timer_;
};

} // namespace nutmegusher::wire::internal

#endif
