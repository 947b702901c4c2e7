#include "nutmegusher/wire/task_group.hpp"

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/wire/signal.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>

#include <list>
#include <utility>

namespace nutmegusher::wire
{
namespace internal
{
namespace
{

// A coroutine that handles an interruption of its own can wait once more, so
// cancellation is repeated.
constexpr std::chrono::milliseconds cancel_interval{5};

} // namespace

// Shared with the completion handlers, which may run after the group is
// destroyed.
class task_group_state : public std::enable_shared_from_this<task_group_state>
{
public:
    explicit task_group_state(asio::io_context& context)
        : context_(context)
        , task_ended_(context)
    {
    }

    bool spawn(
        asio::awaitable<void> task,
        std::shared_ptr<interruptible> work,
        std::function<void()> finished)
    {
        if (ending_)
        {
            return false;
        }
        const auto slot = work->slot();
        const auto position = running_.insert(running_.end(), std::move(work));
        auto ended = [self = shared_from_this(),
                      position,
                      finished = std::move(finished)](
                         const std::exception_ptr& /*thrown*/)
        {
            self->running_.erase(position);
            self->task_ended_.notify();
            if (finished)
            {
                finished();
            }
        };
        asio::co_spawn(
            context_,
            std::move(task),
            asio::bind_cancellation_slot(slot, std::move(ended)));
        return true;
    }

    [[nodiscard]] std::size_t size() const
    {
        return running_.size();
    }

    asio::awaitable<void> end()
    {
        const auto self = shared_from_this();
        ending_ = true;
        while (!running_.empty())
        {
            cancel_all();
            static_cast<void>(co_await task_ended_.wait_until(
                std::chrono::steady_clock::now() + cancel_interval));
        }
    }

private:
    void cancel_all()
    {
        // A copy, as a coroutine may end while it is cancelled.
        const auto running = running_;
        for (const auto& work : running)
        {
            work->cancel();
        }
    }

    asio::io_context& context_;
    signal task_ended_;
    std::list<std::shared_ptr<interruptible>> running_;
    bool ending_ = false;
};

} // namespace internal

task_group::task_group(boost::asio::io_context& context)
    : state_(std::make_shared<internal::task_group_state>(context))
{
}

task_group::~task_group() = default;

bool task_group::spawn(boost::asio::awaitable<void> task)
{
    return state_->spawn(
        std::move(task), std::make_shared<interruptible>(), nullptr);
}

bool task_group::spawn(
    boost::asio::awaitable<void> task,
    std::shared_ptr<interruptible> work,
    std::function<void()> finished)
{
    return state_->spawn(std::move(task), std::move(work), std::move(finished));
}

std::size_t task_group::size() const
{
    return state_->size();
}

boost::asio::awaitable<void> task_group::end()
{
    return state_->end();
}

} // namespace nutmegusher::wire
