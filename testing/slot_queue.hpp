// The slots of a stand-in upstream and the calls that wait for one.
#ifndef NUTMEGUSHER_TESTING_SLOT_QUEUE_HPP
#define NUTMEGUSHER_TESTING_SLOT_QUEUE_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>

namespace nutmegusher::test_support::internal
{

// A call in the upstream. It waits on the timer, which a cancellation
// interrupts at once.
struct running_call
{
    explicit running_call(const boost::asio::any_io_executor& executor)
        : wake(executor)
    {
    }

    boost::asio::steady_timer wake;
    bool cancelled = false;
    bool has_slot = false;
};

// First in, first out. Not thread-safe.
class slot_queue
{
public:
    explicit slot_queue(std::uint32_t slots)
        : slots_(slots)
    {
    }

    [[nodiscard]] std::size_t busy() const
    {
        return busy_;
    }

    [[nodiscard]] std::size_t waiting() const
    {
        return waiting_.size();
    }

    // Added slots are given to waiting calls at once.
    void resize(std::uint32_t slots);

    // True if the call got a slot, false if it was cancelled before.
    boost::asio::awaitable<bool> acquire(std::shared_ptr<running_call> call);

    void release();

private:
    void admit_waiting();

    std::uint32_t slots_;
    std::size_t busy_ = 0;
    std::deque<std::shared_ptr<running_call>> waiting_;
};

} // namespace nutmegusher::test_support::internal

#endif
