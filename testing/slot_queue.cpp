#include "testing/slot_queue.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace nutmegusher::test_support::internal
{

namespace asio = boost::asio;

void slot_queue::resize(std::uint32_t slots)
{
    slots_ = slots;
    admit_waiting();
}

asio::awaitable<bool> slot_queue::acquire(std::shared_ptr<running_call> call)
{
    waiting_.push_back(call);
    admit_waiting();
    while (!call->has_slot && !call->cancelled)
    {
        boost::system::error_code ignored;
        auto token = asio::redirect_error(asio::use_awaitable, ignored);
        call->wake.expires_at(asio::steady_timer::time_point::max());
        co_await call->wake.async_wait(token);
    }
    if (call->has_slot && call->cancelled)
    {
        release();
    }
    else if (call->cancelled)
    {
        std::erase(waiting_, call);
    }
    co_return call->has_slot && !call->cancelled;
}

void slot_queue::release()
{
    --busy_;
    admit_waiting();
}

void slot_queue::admit_waiting()
{
    while (busy_ < slots_ && !waiting_.empty())
    {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        next->has_slot = true;
        next->wake.cancel();
        ++busy_;
    }
}

} // namespace nutmegusher::test_support::internal
