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
// Between two exchanges while requests are shed: demand changes within a
// second.
constexpr duration cut_interval = std::chrono::milliseconds(250);
// How long a daemon counts as one that sheds after its last such request.
constexpr duration shed_retention = std::chrono::seconds(1);
constexpr double share_scale = 1000;

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

bool quota_gate::sheds(const team_rank& of, double shed_share, double fraction)
{
    bool begins = false;
    bool is_shed = false;
    {
        const auto now = uptime_clock().now();
        const std::scoped_lock lock(mutex_);
        demand_.on_request(of, now);
        if (shed_share > 0)
        {
            begins = !is_shedding(now);
            shed_at_ = now;
            sheds_[of.rank] = {shed_share, now};
            is_shed = cut_.shed_share(of, shed_share, now) > fraction;
        }
        if (is_shed)
        {
            demand_.on_shed(of);
        }
    }
    if (begins)
    {
        on_waiting();
    }
    return is_shed;
}

bool quota_gate::is_shedding(time_point now) const
{
    return now - shed_at_ < shed_retention;
}

void quota_gate::add_sheds(messages::quota_request& to, time_point now) const
{
    for (const auto& [rank, shed] : sheds_)
    {
        if (now - shed.at < shed_retention)
        {
            auto& added = *to.add_sheds();
            added.set_rank(rank);
            added.set_share(
                static_cast<std::uint32_t>(shed.share * share_scale));
        }
    }
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
    auto next = holder_.next_exchange(now);
    if (is_shedding(now) && !holder_.is_in_flight())
    {
        const auto for_cuts = holder_.last_exchange() + cut_interval;
        next = std::min(next.value_or(for_cuts), for_cuts);
    }
    return next ? std::optional<duration>(*next - now) : std::nullopt;
}

messages::quota_request quota_gate::make_request(incarnation run)
{
    const std::scoped_lock lock(mutex_);
    const auto now = uptime_clock().now();
    auto request = holder_.make_request(run, now);
    demand_.report(request, now);
    add_sheds(request, now);
    return request;
}

bool quota_gate::on_reply(const messages::quota_reply& reply)
{
    const std::scoped_lock lock(mutex_);
    const auto now = uptime_clock().now();
    if (!holder_.on_reply(reply, now))
    {
        return false;
    }
    cut_.on_reply(reply, now);
    return true;
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
        {"teams_with_demand", demand_.size()},
        {"shedding", is_shedding(uptime_clock().now())},
        {"tokens", holder_.held(uptime_clock().now())}};
}

} // namespace nutmegusher::node
