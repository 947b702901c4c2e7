#include "nutmegusher/node/sync_server.hpp"

#include "nutmegusher/node/peer_message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>

namespace nutmegusher::node
{

namespace
{

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

// Between two exchanges with another control host. A new upstream is known on
// all control hosts within twice this time.
constexpr duration exchange_interval = std::chrono::milliseconds(100);
constexpr duration exchange_timeout = std::chrono::milliseconds(500);
// Added to a deadline, so that the clock has passed it when the timer fires.
constexpr duration clock_resolution = std::chrono::milliseconds(1);
constexpr std::size_t max_request_bytes = 1024 * 1024;
// The maximum time that a control host holds a sync, whatever the daemon asks
// for.
constexpr duration max_wait = std::chrono::seconds(5);

lease_options make_lease_options(const control_source& source)
{
    lease_options options;
    const auto hosts = source.control_hosts().size();
    options.other_control_hosts = hosts > 0 ? hosts - 1 : 0;
    return options;
}

} // namespace

// A sync that is held until there are updates.
struct sync_server::waiter
{
    explicit waiter(const asio::any_io_executor& on)
        : executor(on)
        , timer(on)
    {
    }

    asio::any_io_executor executor;
    asio::steady_timer timer;

    static void wake(std::shared_ptr<waiter> self)
    {
        auto& executor = self->executor;
        asio::post(
            executor,
            [self = std::move(self)]
            {
                self->timer.cancel();
            });
    }
};

sync_server::sync_server(host_id self, incarnation run, control_source source)
    : self_(std::move(self))
    , crash_epoch_(stable_hash(self_.str(), run.value()))
    , source_(std::move(source))
    , registry_(
          self_, run.value(), host_clock().now(), make_lease_options(source_))
{
}

sync_server::~sync_server() = default;

asio::awaitable<void>
sync_server::serve(const std::shared_ptr<wire::server_stream>& stream)
{
    const auto body = co_await read_message(*stream, max_request_bytes);
    if (!body)
    {
        co_await send_bad_request(*stream);
        co_return;
    }
    if (stream->head().path == "/control/registry")
    {
        messages::registry_exchange registry_request;
        if (!registry_request.ParseFromString(*body))
        {
            co_await send_bad_request(*stream);
            co_return;
        }
        std::string reply;
        {
            const std::scoped_lock lock(mutex_);
            const auto now = host_clock().now();
            auto update = registry_.update(now, registry_request);
            const bool is_same_run =
                registry_request.crash_epoch() == crash_epoch_;
            add_records(
                crashes_,
                is_same_run ? registry_request.known_crash_stamp() : 0,
                {},
                now,
                *update.mutable_crashes());
            update.set_crash_epoch(crash_epoch_);
            update.set_crash_stamp(crashes_.stamp());
            reply = update.SerializeAsString();
        }
        co_await write_message(*stream, reply);
        co_return;
    }
    messages::sync_request request;
    if (!request.ParseFromString(*body) || request.host().empty())
    {
        co_await send_bad_request(*stream);
        co_return;
    }
    const auto reply = co_await answer(std::move(request));
    const auto text = reply.SerializeAsString();
    co_await write_message(*stream, text);
}

asio::awaitable<messages::sync_reply>
sync_server::answer(messages::sync_request request)
{
    const auto arrived = host_clock().now();
    messages::sync_reply reply;
    bool changed = false;
    {
        const std::scoped_lock lock(mutex_);
        const auto old_stamp = registry_.counts().stamp;
        const auto renewal = registry_.renew(arrived, request);
        reply.set_accepted(renewal == renewal_result::accepted);
        if (!reply.accepted())
        {
            reply.set_known_incarnation(
                registry_.known_incarnation(request.host()));
        }
        changed = registry_.counts().stamp != old_stamp;
        changed = merge_crashes(request.crashes()) || changed;
    }
    if (!reply.accepted())
    {
        co_return reply;
    }
    if (changed)
    {
        notify();
    }
    // A host that is not current answers at once: a daemon that starts can ask
    // others.
    const bool may_confirm = request.linearizable() && !is_stale(arrived);
    if (may_confirm)
    {
        reply.set_linearizable(co_await source_.confirm());
    }
    const duration wait = std::chrono::milliseconds(request.wait_ms());
    const auto until = host_clock().now() + std::min(wait, max_wait);
    co_await wait_for_news(request, until);
    // Read before the delta is built, which may then contain more but never
    // less.
    const auto confirmed = reply.linearizable() ? arrived : time_point();
    const auto current_at = std::max(source_.known_current_at(), confirmed);
    reply.set_current_after_ms(
        std::chrono::floor<std::chrono::milliseconds>(current_at - arrived)
            .count());
    *reply.mutable_delta() =
        source_.changes_since(revision(request.configuration_revision()));
    for (auto& leader : source_.claim_leaders())
    {
        reply.add_claim_leaders(std::move(leader));
    }
    if (reply.linearizable())
    {
        for (auto& withdrawal : source_.withdrawals_of(request.host()))
        {
            *reply.add_withdrawals() = std::move(withdrawal);
        }
    }
    reply.set_quota_owner(source_.quota_owner());
    for (auto& host : source_.control_hosts())
    {
        *reply.add_control_hosts() = std::move(host);
    }
    const std::scoped_lock lock(mutex_);
    registry_.answer(request, reply);
    add_crashes(request, reply);
    co_return reply;
}

std::vector<std::string>
sync_server::crash_services(const messages::sync_request& request)
{
    std::vector<std::string> services(
        request.services().begin(), request.services().end());
    services.push_back(request.own().service());
    return services;
}

std::uint64_t
sync_server::known_crash_stamp(const messages::sync_request& request) const
{
    return request.crash_epoch() == crash_epoch_ ? request.known_crash_stamp()
                                                 : 0;
}

bool sync_server::has_crash_news(const messages::sync_request& request) const
{
    const auto known = known_crash_stamp(request);
    if (crashes_.stamp() <= known)
    {
        return false;
    }
    messages::sync_reply reply;
    add_crashes(request, reply);
    return reply.crashes_size() > 0;
}

void sync_server::add_crashes(
    const messages::sync_request& request, messages::sync_reply& reply) const
{
    const auto services = crash_services(request);
    add_records(
        crashes_,
        known_crash_stamp(request),
        services,
        host_clock().now(),
        *reply.mutable_crashes());
    reply.set_crash_epoch(crash_epoch_);
    reply.set_crash_stamp(crashes_.stamp());
}

bool sync_server::merge_crashes(
    const google::protobuf::RepeatedPtrField<messages::crash_record>& records)
{
    const auto now = host_clock().now();
    bool changed = false;
    for (const auto& each : records)
    {
        changed = crashes_.merge(from_message(each, now), now) || changed;
    }
    if (changed)
    {
        persist_crashes();
    }
    return changed;
}

void sync_server::persist_crashes()
{
    auto records = crashes_.quarantined(host_clock().now());
    std::set<std::uint64_t> digests;
    for (const auto& each : records)
    {
        digests.insert(each.digest);
    }
    if (digests != persisted_digests_)
    {
        persisted_digests_ = std::move(digests);
        source_.persist_crashes(std::move(records));
    }
}

void sync_server::restore(std::span<const crash_record> persisted)
{
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    for (const auto& each : persisted)
    {
        crashes_.merge(each, now);
        persisted_digests_.insert(each.digest);
    }
}

bool sync_server::is_stale(time_point now) const
{
    return now - source_.known_current_at() > max_hold_age;
}

bool sync_server::has_news(const messages::sync_request& request) const
{
    const revision known(request.configuration_revision());
    if (source_.present() > known || is_stale(host_clock().now()))
    {
        return true;
    }
    const std::scoped_lock lock(mutex_);
    return registry_.has_news(request) || has_crash_news(request) || stopped_;
}

asio::awaitable<void> sync_server::wait_for_news(
    const messages::sync_request& request, time_point until)
{
    const auto own_waiter =
        std::make_shared<waiter>(co_await asio::this_coro::executor);
    {
        const std::scoped_lock lock(mutex_);
        waiters_.push_back(own_waiter);
    }
    while (host_clock().now() < until && !has_news(request))
    {
        // A sync is not held any longer once this host's state has become too
        // old.
        const auto stale_at =
            source_.known_current_at() + max_hold_age + clock_resolution;
        own_waiter->timer.expires_at(std::min(until, stale_at));
        co_await own_waiter->timer.async_wait(as_tuple_awaitable);
    }
}

void sync_server::notify()
{
    const std::scoped_lock lock(mutex_);
    for (auto& each : waiters_)
    {
        if (auto waiting = each.lock())
        {
            waiter::wake(std::move(waiting));
        }
    }
}

asio::awaitable<void>
sync_server::exchange_leases(wire::session_pool& peers, wire::task_group& tasks)
{
    asio::steady_timer interval_timer(co_await asio::this_coro::executor);
    while (true)
    {
        for (auto& other : source_.control_hosts())
        {
            // Exchanges run concurrently, so that a host that does not answer
            // does not delay the others.
            if (other.host() != self_.str() && begin_exchange(other.host()))
            {
                tasks.spawn(exchange_with(peers, std::move(other)));
            }
        }
        bool changed = false;
        {
            const std::scoped_lock lock(mutex_);
            if (stopped_)
            {
                co_return;
            }
            const auto old_stamp = registry_.counts().stamp;
            registry_.expire(host_clock().now());
            crashes_.expire(host_clock().now());
            changed = registry_.counts().stamp != old_stamp;
            std::erase_if(
                waiters_,
                [](const auto& each)
                {
                    return each.expired();
                });
        }
        if (changed)
        {
            notify();
        }
        interval_timer.expires_after(exchange_interval);
        co_await interval_timer.async_wait(as_tuple_awaitable);
    }
}

bool sync_server::begin_exchange(const std::string& host)
{
    const std::scoped_lock lock(mutex_);
    return exchanging_.insert(host).second;
}

void sync_server::end_exchange(const std::string& host)
{
    const std::scoped_lock lock(mutex_);
    exchanging_.erase(host);
}

asio::awaitable<void> sync_server::exchange_with(
    wire::session_pool& peers, messages::control_host other)
{
    const auto at = parse_endpoint(other.address());
    std::string body;
    {
        const std::scoped_lock lock(mutex_);
        auto registry_request = registry_.exchange(host_id(other.host()));
        const auto& position = crash_positions_[other.host()];
        registry_request.set_crash_epoch(position.epoch);
        registry_request.set_known_crash_stamp(position.stamp);
        body = registry_request.SerializeAsString();
    }
    outcome<std::string, wire::stream_failure> answer =
        wire::stream_failure::not_connected;
    if (at)
    {
        answer = co_await wire::call(
            peers, *at, "/control/registry", body, exchange_timeout);
    }
    end_exchange(other.host());
    messages::registry_update update;
    if (!answer || !update.ParseFromString(*answer))
    {
        co_return;
    }
    bool changed = false;
    {
        const std::scoped_lock lock(mutex_);
        const auto old_stamp = registry_.counts().stamp;
        registry_.apply(host_clock().now(), host_id(other.host()), update);
        changed = registry_.counts().stamp != old_stamp;
        changed = merge_crashes(update.crashes()) || changed;
        crash_positions_[other.host()] = {
            update.crash_epoch(), update.crash_stamp()};
    }
    if (changed)
    {
        notify();
    }
}

void sync_server::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopped_ = true;
    }
    notify();
}

std::vector<crash_record> sync_server::quarantined() const
{
    const std::scoped_lock lock(mutex_);
    return crashes_.quarantined(host_clock().now());
}

bool sync_server::release(std::uint64_t digest)
{
    {
        const std::scoped_lock lock(mutex_);
        if (!crashes_.release(digest, host_clock().now()))
        {
            return false;
        }
        persist_crashes();
    }
    notify();
    return true;
}

rollout_tally sync_server::rollout() const
{
    const std::scoped_lock lock(mutex_);
    return registry_.rollout();
}

boost::json::value sync_server::dump() const
{
    const std::scoped_lock lock(mutex_);
    const auto counts = registry_.counts();
    return boost::json::object{
        {"leases", counts.leases},
        {"owned", counts.owned},
        {"upstreams", counts.upstreams},
        {"services", counts.services},
        {"stamp", counts.stamp},
        {"crash_records", crashes_.size()},
        {"settled", counts.settled}};
}

} // namespace nutmegusher::node
