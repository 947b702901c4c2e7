#include "nutmegusher/wire/interruptible.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>

#include <utility>

namespace nutmegusher::wire
{

namespace
{

// Sets a flag for the lifetime of this object.
class scoped_flag
{
public:
    explicit scoped_flag(bool& flag)
        : flag_(flag)
    {
        flag_ = true;
    }

    ~scoped_flag()
    {
        flag_ = false;
    }

    scoped_flag(const scoped_flag&) = delete;
    scoped_flag& operator=(const scoped_flag&) = delete;

private:
    bool& flag_;
};

} // namespace

boost::asio::awaitable<bool>
interruptible::run(boost::asio::awaitable<void> body)
{
    interrupted_ = false;
    {
        const scoped_flag running(running_);
        try
        {
            co_await std::move(body);
        }
        catch (const boost::system::system_error&)
        {
            if (!interrupted_)
            {
                throw;
            }
        }
    }
    if (interrupted_)
    {
        co_await boost::asio::this_coro::reset_cancellation_state();
    }
    co_return !interrupted_;
}

void interruptible::interrupt()
{
    if (running_ && !std::exchange(interrupted_, true))
    {
        signal_.emit(boost::asio::cancellation_type::terminal);
    }
}

void interruptible::cancel()
{
    signal_.emit(boost::asio::cancellation_type::terminal);
}

boost::asio::awaitable<void> interruption_point()
{
    co_return;
}

} // namespace nutmegusher::wire
