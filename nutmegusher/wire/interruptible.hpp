// Work of a coroutine that can be ended from outside, whatever it waits for.
//
//     struct connection
//     {
//         interruptible work;
//     };
//     auto slot = asio::bind_cancellation_slot(each->work.slot(), done);
//     asio::co_spawn(context, serve(each), slot);
//
//     // In `serve`:
//     const bool finished = co_await each->work.run(handle(request));
//
//     // Anywhere else on the same thread, once nobody needs the result:
//     each->work.interrupt();
//
// The wait that the work is in ends at once, and no further one begins: each
// `co_await` from then on throws, so the work unwinds to `run`. What must be
// undone belongs into destructors. A step that follows a wait without a
// `co_await` in between still happens; `interruption_point` goes before it if
// it has an effect outside of the work.
#ifndef NUTMEGUSHER_WIRE_INTERRUPTIBLE_HPP
#define NUTMEGUSHER_WIRE_INTERRUPTIBLE_HPP

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>

namespace nutmegusher::wire
{

// Belongs to one coroutine, which it must outlive. Use it on the coroutine's
// thread only.
class interruptible
{
public:
    interruptible() = default;
    interruptible(const interruptible&) = delete;
    interruptible& operator=(const interruptible&) = delete;
    ~interruptible() = default;

    // The slot to bind to the completion handler of the coroutine's `co_spawn`.
    [[nodiscard]] boost::asio::cancellation_slot slot()
    {
        return signal_.slot();
    }

    // Runs `body`. Returns false if it was interrupted; the calling coroutine
    // can wait normally again. Requires: called by the coroutine, and no other
    // `run` is in progress.
    [[nodiscard]] boost::asio::awaitable<bool>
    run(boost::asio::awaitable<void> body);

    // Ends the body that `run` is running; without one it has no effect.
    void interrupt();

    // Ends the whole coroutine: `run` throws as well.
    void cancel();

private:
    boost::asio::cancellation_signal signal_;
    bool running_ = false;
    bool interrupted_ = false;
};

// Throws if the calling coroutine was interrupted. For use between a wait that
// reports its failure by value and a step that must not follow an interruption.
[[nodiscard]] boost::asio::awaitable<void> interruption_point();

} // namespace nutmegusher::wire

#endif
