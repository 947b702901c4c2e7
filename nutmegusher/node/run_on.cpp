#include "nutmegusher/node/run_on.hpp"

#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/associated_cancellation_slot.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegusher::node
{

namespace
{

// Starts the coroutine; `handler` is the continuation of the one that waits.
struct start_on_context
{
    template <class Handler>
    void operator()(Handler handler, asio::awaitable<void> action) const
    {
        const auto work = std::make_shared<wire::interruptible>();
        auto slot = asio::get_associated_cancellation_slot(handler);
        if (slot.is_connected())
        {
            // The post owns `work`, as the slot may be cleared meanwhile.
            slot.assign(
                [work, &context = context](asio::cancellation_type)
                {
                    asio::post(
                        context,
                        [work]
                        {
                            work->cancel();
                        });
                });
        }
        auto guard =
            asio::make_work_guard(asio::get_associated_executor(handler));
        auto ended =
            [work, guard = std::move(guard), handler = std::move(handler)](
                const std::exception_ptr& thrown) mutable
        {
            const auto executor = guard.get_executor();
            asio::post(
                executor,
                [guard = std::move(guard),
                 handler = std::move(handler),
                 thrown]() mutable
                {
                    std::move(handler)(thrown);
                });
        };
        asio::co_spawn(
            context,
            std::move(action),
            asio::bind_cancellation_slot(work->slot(), std::move(ended)));
    }

    asio::io_context& context;
};

} // namespace

asio::awaitable<void>
run_on(asio::io_context& context, asio::awaitable<void> action)
{
    start_on_context start{context};
    co_await asio::
        async_initiate<const asio::use_awaitable_t<>, void(std::exception_ptr)>(
            start, asio::use_awaitable, std::move(action));
}

} // namespace nutmegusher::node
