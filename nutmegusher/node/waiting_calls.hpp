// The calls that are suspended until an admission controller decides on them.
#ifndef NUTMEGUSHER_NODE_WAITING_CALLS_HPP
#define NUTMEGUSHER_NODE_WAITING_CALLS_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/policy/policy.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>

namespace nutmegusher::node
{

namespace asio = boost::asio;

// The caller disconnected while its call was queued.
struct caller_left
{
};

using gate_verdict = std::variant<admitted, refused, caller_left>;

// Belongs to one admission controller and is used under its lock, except for
// `wait`.
class waiting_calls
{
public:
    struct waiter;

    // Registers a queued call. `executor` is that of its coroutine.
    [[nodiscard]] std::shared_ptr<waiter>
    add(ticket_id ticket, const asio::any_io_executor& executor);

    // Suspends until there is a verdict or the time is `until`; empty in the
    // latter case, and it may then be called again. Call it on the waiter's
    // executor and without the lock.
    [[nodiscard]] static asio::awaitable<std::optional<gate_verdict>> wait(
        std::shared_ptr<waiter> own_waiter,
        time_point until = time_point::max());

    // Resumes the calls that were decided on.
    void deliver(std::span<const queue_outcome> outcomes);

    // Resumes a call with `caller_left`. Returns false if the call isn't
    // waiting here.
    bool withdraw(ticket_id ticket);

private:
    std::unordered_map<ticket_id, std::shared_ptr<waiter>> waiting_;
};

} // namespace nutmegusher::node

#endif
