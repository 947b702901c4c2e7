#include "nutmegusher/wire/wire_test_support.hpp"

#include <boost/asio/as_tuple.hpp>

namespace nutmegusher::wire
{
namespace
{

// Far longer than a test takes.
constexpr std::chrono::hours long_wait(1);

// Counts the frames that exist.
class frame_count
{
public:
    explicit frame_count(int& count)
        : count_(count)
    {
        ++count_;
    }

    frame_count(const frame_count&) = delete;
    frame_count& operator=(const frame_count&) = delete;

    ~frame_count()
    {
        --count_;
    }

private:
    int& count_;
};

asio::awaitable<void> wait_long(int& frames)
{
    const frame_count counted(frames);
    co_await sleep_for(long_wait);
}

// Ignores the failure of each wait.
asio::awaitable<void> wait_again_and_again(int& frames)
{
    const frame_count counted(frames);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const auto token = asio::as_tuple(asio::use_awaitable);
    while (true)
    {
        timer.expires_after(long_wait);
        co_await timer.async_wait(token);
    }
}

asio::awaitable<void> wait_after_interruption(
    std::shared_ptr<interruptible> work, int& frames, int& interruptions)
{
    const frame_count counted(frames);
    while (!co_await work->run(wait_long(frames)))
    {
        ++interruptions;
    }
}

TEST(task_group, end_waits_until_no_coroutine_is_left)
{
    asio::io_context context(1);
    task_group tasks(context);
    int frames = 0;
    const auto test = [&]() -> asio::awaitable<void>
    {
        tasks.spawn(wait_long(frames));
        tasks.spawn(wait_again_and_again(frames));
        co_await sleep_for(std::chrono::milliseconds(1));
        EXPECT_EQ(tasks.size(), 2U);
        EXPECT_EQ(frames, 2);
        co_await tasks.end();
        EXPECT_EQ(tasks.size(), 0U);
        EXPECT_EQ(frames, 0);
    };
    run(context, test());
}

TEST(task_group, end_cancels_what_follows_an_interruption)
{
    asio::io_context context(1);
    task_group tasks(context);
    int frames = 0;
    int interruptions = 0;
    const auto test = [&]() -> asio::awaitable<void>
    {
        const auto work = std::make_shared<interruptible>();
        tasks.spawn(
            wait_after_interruption(work, frames, interruptions),
            work,
            nullptr);
        co_await sleep_for(std::chrono::milliseconds(1));
        work->interrupt();
        co_await tasks.end();
        EXPECT_EQ(interruptions, 1);
        EXPECT_EQ(frames, 0);
    };
    run(context, test());
}

TEST(task_group, starts_nothing_once_it_has_ended)
{
    asio::io_context context(1);
    task_group tasks(context);
    int frames = 0;
    const auto test = [&]() -> asio::awaitable<void>
    {
        co_await tasks.end();
        EXPECT_FALSE(tasks.spawn(wait_long(frames)));
        EXPECT_EQ(tasks.size(), 0U);
    };
    run(context, test());
}

} // namespace
} // namespace nutmegusher::wire
