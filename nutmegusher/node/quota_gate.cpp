#include "nutmegusher/node/quota_gate.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>

#include <utility>

namespace nutmegusher::node
{

namespace
{

// How often a request that waits for a token looks for it; an exchange with the
// owner takes one round trip.
constexpr duration poll_interval = std::chrono::milliseconds(2);

} // namespace

// A request that waits, until it is destroyed.
class quota_gate::waiting_request
{
public:
    waiting_request(quota_gate& gate, const std::string& team)
        : gate_(gate)
        , team_(team)
    {
    }

    waiting_request(const waiting_request&) = delete;
    waiting_request& operator=(const waiting_request&) = delete;

    ~waiting_request()
    {
        const std::scoped_lock lock(gate_.mutex_);
        gate_.holder_.leave(team_);
    }

    [[nodiscard]] token_result poll()
    {
        const std::scoped_lock lock(gate_.mutex_);
        return gate_.holder_.poll(team_, uptime_clock().now());
    }

private:
    quota_gate& gate_;
    const std::string& team_;
};

quota_gate::quota_gate(host_id self)
    : holder_(std::move(self))
{
}

asio::awaitable<token_result>
quota_gate::take(std::string team, duration max_wait)
{
    token_result result;
    {
        const std::scoped_lock lock(mutex_);
        result = holder_.arrive(team, uptime_clock().now());
    }
    if (result.state != token_state::pending)
    {
        co_return result;
    }
    waiting_request request(*this, team);
    on_waiting();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const auto until = host_clock().now() + max_wait;
    while (result.state == token_state::pending && host_clock().now() < until)
    {
        timer.expires_after(poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
        result = request.poll();
    }
    co_return result;
}

void quota_gate::refund(const std::string& team)
{
    const std::scoped_lock lock(mutex_);
    holder_.refund(team, uptime_clock().now());
}

void quota_gate::set_owner(std::optional<asio::ip::tcp::endpoint> owner)
{
    const std::scoped_lock lock(mutex_);
    owner_ = std::move(owner);
}

std::optional<asio::ip::tcp::endpoint> quota_gate::owner() const
{
    const std::scoped_lock lock(mutex_);
    return owner_;
}

std::optional<duration> quota_gate::until_next_exchange() const
{
    const std::scoped_lock lock(mutex_);
    const auto now = uptime_clock().now();
    const auto next = holder_.next_exchange(now);
    return next ? std::optional<duration>(*next - now) : std::nullopt;
}

messages::quota_request quota_gate::make_request(incarnation run)
{
    const std::scoped_lock lock(mutex_);
    return holder_.make_request(run, uptime_clock().now());
}

bool quota_gate::on_reply(const messages::quota_reply& reply)
{
    const std::scoped_lock lock(mutex_);
    return holder_.on_reply(reply, uptime_clock().now());
}

void quota_gate::on_no_reply()
{
    const std::scoped_lock lock(mutex_);
    holder_.on_no_reply();
}

void quota_gate::stop()
{
    const std::scoped_lock lock(mutex_);
    holder_.stop();
}

boost::json::value quota_gate::dump() const
{
    const std::scoped_lock lock(mutex_);
    return boost::json::object{
        {"teams", holder_.teams()},
        {"tokens", holder_.held(uptime_clock().now())}};
}

} // namespace nutmegusher::node
