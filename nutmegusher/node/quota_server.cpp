#include "nutmegusher/node/quota_server.hpp"

#include "nutmegusher/node/peer_message.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <sstream>
#include <utility>

namespace nutmegusher::node
{

namespace
{

constexpr std::size_t max_request_bytes = 1024 * 1024;
// A lower limit must be in force within seconds of its acceptance.
constexpr duration follow_interval = std::chrono::milliseconds(50);
constexpr duration cut_log_interval = std::chrono::seconds(1);
// Rates fluctuate; a team that keeps this share of its demand isn't logged.
constexpr double max_admitted_of_cut = 0.95;
// In requests a second.
constexpr double min_logged_demand = 1;

std::string to_text(const std::optional<asio::ip::tcp::endpoint>& address)
{
    std::ostringstream text;
    if (address)
    {
        text << *address;
    }
    return text.str();
}

} // namespace

quota_server::quota_server(quota_source source, const quota_bounds& bounds)
    : source_(std::move(source))
    , bounds_(bounds)
{
}

asio::awaitable<void>
quota_server::serve(const std::shared_ptr<wire::server_stream>& stream)
{
    const auto body = co_await read_message(*stream, max_request_bytes);
    messages::quota_request request;
    if (!body || !request.ParseFromString(*body) || request.host().empty())
    {
        co_await send_bad_request(*stream);
        co_return;
    }
    const auto reply = answer(request).SerializeAsString();
    co_await write_message(*stream, reply);
}

asio::awaitable<void> quota_server::follow()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true)
    {
        {
            const auto leadership = source_.leadership();
            const std::scoped_lock lock(mutex_);
            if (current_owner(leadership) != nullptr)
            {
                log_cuts(uptime_clock().now());
            }
        }
        timer.expires_after(follow_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

messages::quota_reply
quota_server::answer(const messages::quota_request& request)
{
    const auto leadership = source_.leadership();
    const std::scoped_lock lock(mutex_);
    auto* const owner = current_owner(leadership);
    if (owner != nullptr)
    {
        const auto now = uptime_clock().now();
        auto accepted = owner->answer(request, now);
        if (accepted.accepted())
        {
            shares_->on_request(request, now);
            shares_->add_cuts(request, accepted, now);
        }
        return accepted;
    }
    messages::quota_reply reply;
    reply.set_sequence(request.sequence());
    reply.set_owner(to_text(leadership.leader));
    return reply;
}

quota_owner*
quota_server::current_owner(const configuration_leadership& leadership)
{
    if (!leadership.confirmed_at)
    {
        return nullptr;
    }
    const auto confirmed_at = *leadership.confirmed_at;
    const auto age =
        host_clock().now() - confirmed_at + suspensions_.since(confirmed_at);
    if (age >= times_.ownership_lifetime)
    {
        return nullptr;
    }
    const auto now = uptime_clock().now();
    const bool is_new = !owner_ || owner_->term() != leadership.term;
    if (is_new)
    {
        owner_.emplace(leadership.term, now, bounds_, times_);
        shares_.emplace(now);
        log_event(event::quotas_owned, {{"term", leadership.term}});
    }
    const auto present = source_.present();
    if (is_new || present != limits_at_)
    {
        limits_at_ = present;
        owner_->set_limits(source_.teams().teams(), now);
    }
    return &*owner_;
}

void quota_server::log_cuts(time_point now)
{
    if (now < next_cut_log_)
    {
        return;
    }
    next_cut_log_ = now + cut_log_interval;
    for (const auto& each : shares_->state(now))
    {
        if (each.admitted < each.demand * max_admitted_of_cut &&
            each.demand >= min_logged_demand)
        {
            log_event(
                event::team_cut,
                {{"team", each.of.team},
                 {"rank", std::uint64_t{each.of.rank}},
                 {"demand", each.demand},
                 {"admitted", each.admitted}});
        }
    }
}

boost::json::value quota_server::dump()
{
    const auto leadership = source_.leadership();
    const std::scoped_lock lock(mutex_);
    auto* const owner = current_owner(leadership);
    if (owner == nullptr)
    {
        return nullptr;
    }
    boost::json::array teams;
    for (const auto& each : owner->state(uptime_clock().now()))
    {
        teams.push_back(boost::json::object{
            {"team", each.team},
            {"rate", each.limit.rate},
            {"burst", each.limit.burst},
            {"available", each.available},
            {"held", each.held}});
    }
    boost::json::array shares;
    for (const auto& each : shares_->state(uptime_clock().now()))
    {
        shares.push_back(boost::json::object{
            {"team", each.of.team},
            {"rank", each.of.rank},
            {"demand", each.demand},
            {"admitted", each.admitted},
            {"shed", each.shed}});
    }
    return boost::json::object{
        {"term", owner->term()},
        {"daemons", owner->holders()},
        {"shares", std::move(shares)},
        {"teams", std::move(teams)}};
}

} // namespace nutmegusher::node
