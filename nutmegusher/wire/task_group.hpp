// The coroutines that an owner has started and that haven't ended yet.
//
// A coroutine that still waits when its io_context is destroyed is destroyed
// with it, after most of what its local variables refer to. Coroutines that
// wait for one on another io_context are destroyed by that one. No order of
// destruction is right for both, so their owner ends them first:
//
//     task_group tasks(context);
//     tasks.spawn(serve(peer));
//
//     // On the context's thread, while it runs:
//     co_await tasks.end();
//
// Belongs to one io_context; use it on the context's thread, or before the
// context runs.
#ifndef NUTMEGUSHER_WIRE_TASK_GROUP_HPP
#define NUTMEGUSHER_WIRE_TASK_GROUP_HPP

#include "nutmegusher/wire/interruptible.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace nutmegusher::wire
{

namespace internal
{
class task_group_state;
} // namespace internal

class task_group
{
public:
    explicit task_group(boost::asio::io_context& context);
    task_group(const task_group&) = delete;
    task_group& operator=(const task_group&) = delete;
    // The coroutines go on if `end` wasn't awaited.
    ~task_group();

    // Starts a coroutine, at once if called on the context's thread. Returns
    // false, and destroys the coroutine unstarted, if `end` was called.
    bool spawn(boost::asio::awaitable<void> task);

    // Likewise, for a coroutine that runs parts of itself by `work.run`. Calls
    // `finished` once the coroutine has ended and its frame is destroyed.
    bool spawn(
        boost::asio::awaitable<void> task,
        std::shared_ptr<interruptible> work,
        std::function<void()> finished);

    // The number of coroutines that haven't ended.
    [[nodiscard]] std::size_t size() const;

    // Cancels all coroutines and waits until they have ended. The waits that
    // they are in fail with `operation_aborted`, and each later `co_await`
    // throws it. Requires: isn't called by one of the coroutines.
    [[nodiscard]] boost::asio::awaitable<void> end();

private:
    std::shared_ptr<internal::task_group_state> state_;
};

} // namespace nutmegusher::wire

#endif
