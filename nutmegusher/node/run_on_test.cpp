#include "nutmegusher/node/run_on.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <stdexcept>
#include <thread>

namespace nutmegusher::node
{
namespace
{

constexpr std::chrono::hours long_wait(1);

// An io_context with a thread, beside the one that the test runs itself.
class run_on_other_thread : public testing::Test
{
protected:
    run_on_other_thread()
        : thread_(
              [this]
              {
                  const auto guard = asio::make_work_guard(other);
                  other.run();
              })
    {
    }

    ~run_on_other_thread() override
    {
        other.stop();
        thread_.join();
    }

    // Runs a coroutine of this thread's context to its end.
    void run(asio::awaitable<void> test)
    {
        const auto ended = [](const std::exception_ptr& thrown)
        {
            EXPECT_FALSE(thrown);
        };
        asio::co_spawn(context, std::move(test), ended);
        context.run();
        context.restart();
    }

    static asio::awaitable<void> wait(duration length)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, length);
        co_await timer.async_wait(asio::use_awaitable);
    }

    static asio::awaitable<std::thread::id> thread_id()
    {
        co_return std::this_thread::get_id();
    }

    static asio::awaitable<int> fail()
    {
        throw std::runtime_error("no result");
        co_return 0;
    }

    asio::io_context context{1};
    asio::io_context other{1};

private:
    std::thread thread_;
};

TEST_F(run_on_other_thread, returns_the_result_on_the_callers_thread)
{
    const auto test = [this]() -> asio::awaitable<void>
    {
        const auto elsewhere = co_await run_on(other, thread_id());
        EXPECT_NE(elsewhere, std::this_thread::get_id());
        EXPECT_EQ(co_await thread_id(), std::this_thread::get_id());
    };
    run(test());
}

TEST_F(run_on_other_thread, passes_exceptions_on)
{
    bool caught = false;
    const auto test = [this, &caught]() -> asio::awaitable<void>
    {
        try
        {
            static_cast<void>(co_await run_on(other, fail()));
        }
        catch (const std::runtime_error&)
        {
            caught = true;
        }
    };
    run(test());
    EXPECT_TRUE(caught);
}

TEST_F(run_on_other_thread, is_cancelled_with_the_caller)
{
    wire::task_group tasks(context);
    const auto test = [&]() -> asio::awaitable<void>
    {
        tasks.spawn(run_on(other, wait(long_wait)));
        co_await wait(std::chrono::milliseconds(1));
        co_await tasks.end();
        EXPECT_EQ(tasks.size(), 0U);
    };
    run(test());
}

// Guards against a cancellation that reached the other thread after the
// coroutine there had ended, through memory that was freed.
TEST_F(run_on_other_thread, may_end_while_it_is_cancelled)
{
    constexpr int rounds = 1000;
    for (int i = 0; i < rounds; ++i)
    {
        wire::task_group tasks(context);
        const auto test = [&]() -> asio::awaitable<void>
        {
            for (int k = 0; k < 4; ++k)
            {
                tasks.spawn(
                    run_on(other, wait(std::chrono::microseconds(20 * k))));
            }
            co_await wait(std::chrono::microseconds(i % 100));
            co_await tasks.end();
        };
        run(test());
    }
}

} // namespace
} // namespace nutmegusher::node
