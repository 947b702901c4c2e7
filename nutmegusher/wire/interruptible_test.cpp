#include "nutmegusher/base/base.hpp"
#include "nutmegusher/wire/interruptible.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <vector>

namespace nutmegusher::wire
{
namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Far longer than a test takes.
constexpr std::chrono::hours long_wait(1);

class interruptible_work : public ::testing::Test
{
protected:
    // Runs `body` in a coroutine to its end.
    void run(const std::function<asio::awaitable<void>()>& body)
    {
        auto finished = [this](const std::exception_ptr& thrown)
        {
            threw = thrown != nullptr;
        };
        asio::co_spawn(
            context,
            serve(body),
            asio::bind_cancellation_slot(work.slot(), std::move(finished)));
        context.run();
    }

    // Runs `body`, and interrupts it after this many turns of the event loop.
    void run_interrupted(
        const std::function<asio::awaitable<void>()>& body, int turns)
    {
        interrupt_after(turns);
        run(body);
    }

    asio::awaitable<void> serve(std::function<asio::awaitable<void>()> body)
    {
        was_finished = co_await work.run(body());
        co_await wait_for(milliseconds(1));
        waited_afterwards = true;
    }

    void interrupt_after(int turns)
    {
        if (turns == 0)
        {
            work.interrupt();
            return;
        }
        asio::post(
            context,
            [this, turns]
            {
                interrupt_after(turns - 1);
            });
    }

    asio::awaitable<void> wait_for(duration time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    // Like `wait_for`, but reports an interruption by value.
    asio::awaitable<bool> waited_for(duration time)
    {
        asio::steady_timer timer(context, time);
        const auto token = asio::as_tuple(asio::use_awaitable);
        const auto [failed] = co_await timer.async_wait(token);
        co_return !failed;
    }

    asio::io_context context;
    interruptible work;
    bool was_finished = false;
    bool waited_afterwards = false;
    bool threw = false;
};

// Records the destruction of a scope.
class scope_log
{
public:
    explicit scope_log(std::vector<std::string>& log)
        : log_(log)
    {
    }

    ~scope_log()
    {
        log_.emplace_back("left scope");
    }

    scope_log(const scope_log&) = delete;
    scope_log& operator=(const scope_log&) = delete;

private:
    std::vector<std::string>& log_;
};

TEST_F(interruptible_work, finishes_if_nothing_interrupts_it)
{
    const auto body = [this]
    {
        return wait_for(milliseconds(1));
    };
    run(body);
    EXPECT_TRUE(was_finished);
    EXPECT_TRUE(waited_afterwards);
}

TEST_F(interruptible_work, a_wait_ends_and_scopes_are_left)
{
    std::vector<std::string> log;
    const auto body = [this, &log]() -> asio::awaitable<void>
    {
        const scope_log scope(log);
        co_await wait_for(long_wait);
        log.emplace_back("went on");
    };
    run_interrupted(body, 5);
    EXPECT_EQ(log, std::vector<std::string>{"left scope"});
    EXPECT_FALSE(was_finished);
    EXPECT_TRUE(waited_afterwards);
    EXPECT_FALSE(threw);
}

// A wait that reports its failure by value doesn't throw; the next one does.
TEST_F(interruptible_work, no_wait_begins_after_an_interruption)
{
    std::vector<std::string> log;
    const auto body = [this, &log]() -> asio::awaitable<void>
    {
        log.emplace_back(co_await waited_for(long_wait) ? "waited" : "ended");
        co_await interruption_point();
        log.emplace_back("went on");
    };
    run_interrupted(body, 5);
    EXPECT_EQ(log, std::vector<std::string>{"ended"});
    EXPECT_FALSE(was_finished);
    EXPECT_TRUE(waited_afterwards);
}

TEST_F(interruptible_work, an_interruption_without_work_has_no_effect)
{
    work.interrupt();
    const auto body = [this]
    {
        return wait_for(milliseconds(1));
    };
    run(body);
    EXPECT_TRUE(was_finished);
}

TEST_F(interruptible_work, other_exceptions_pass)
{
    const auto body = [this]() -> asio::awaitable<void>
    {
        co_await wait_for(milliseconds(1));
        throw std::runtime_error("not an interruption");
    };
    run(body);
    EXPECT_TRUE(threw);
}

} // namespace
} // namespace nutmegusher::wire
