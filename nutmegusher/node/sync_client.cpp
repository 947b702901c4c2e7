#include "nutmegusher/node/sync_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>

#include <array>
#include <utility>

namespace nutmegusher::node
{

namespace
{

constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

// How long a control host may hold a sync if there are no updates: half of the
// lease's renewal interval, so that one lost exchange does not cost the lease.
constexpr duration poll_wait = std::chrono::seconds(1);
// Added to that before the control host counts as failed. Also the longest
// pause between two chunks of a reply.
constexpr duration answer_timeout = std::chrono::milliseconds(1500);
// A reply whose state is older than this comes from a host that is not current.
// Larger than `max_hold_age` by the travel time of the reply.
constexpr duration max_accepted_age = std::chrono::milliseconds(1200);
// The maximum number of hedge requests in flight beside the poll.
constexpr std::size_t max_hedges_in_flight = 2;
constexpr std::size_t chunk_bytes = 16384;
constexpr std::size_t max_reply_bytes = 64 * 1024 * 1024;

std::vector<control_host> seeds(const settings& from)
{
    std::vector<control_host> hosts;
    for (const auto& address : from.control_hosts)
    {
        std::ostringstream text;
        text << address;
        control_host host;
        host.host = host_id(text.str());
        host.address = text.str();
        hosts.push_back(std::move(host));
    }
    return hosts;
}

locality locality_of(const host_settings& host)
{
    return {host.data_center, host.region};
}

} // namespace

sync_client::sync_client(worker& owner)
    : worker_(owner)
    , upstreams_(
          owner.shared.configured.host.id,
          locality_of(owner.shared.configured.host))
    , schedule_(
          owner.shared.configured.host.id,
          locality_of(owner.shared.configured.host))
    , poll_timer_(owner.context)
    , age_timer_(owner.context)
{
    schedule_.set_hosts(seeds(owner.shared.configured));
}

asio::awaitable<void> sync_client::run()
{
    while (!stopped_)
    {
        const auto plan = schedule_.plan(host_clock().now());
        if (plan.target == nullptr)
        {
            co_return;
        }
        if (plan.at > host_clock().now())
        {
            poll_timer_.expires_at(plan.at);
            co_await poll_timer_.async_wait(as_tuple_awaitable);
            continue;
        }
        const auto target = *plan.target;
        co_await sync_with(target);
    }
}

void sync_client::sync_now()
{
    has_unsent_changes_ = true;
    if (poll_)
    {
        poll_->cancel();
    }
}

void sync_client::stop()
{
    stopped_ = true;
    poll_timer_.cancel();
    age_timer_.cancel();
    sync_now();
}

asio::awaitable<void> sync_client::sync_with(const control_host& target)
{
    const auto at = parse_endpoint(target.address);
    has_unsent_changes_ = false;
    const auto sent_at = host_clock().now();
    hedges_.request_sent(sent_at);
    schedule_.request_sent(sent_at);
    messages::sync_request request;
    std::optional<messages::sync_reply> reply;
    polling_ = true;
    poll_abandoned_ = false;
    session_pointer session;
    if (at)
    {
        session = co_await session_with(*at);
    }
    if (session && !poll_abandoned_)
    {
        // The request is built now, so that it includes changes made while the
        // session was opened.
        has_unsent_changes_ = false;
        request = make_request(true);
        reply = co_await exchange(*session, request, poll_);
    }
    polling_ = false;
    if (poll_abandoned_ || (!reply && has_unsent_changes_))
    {
        co_return; // the poll was ended on purpose
    }
    const bool answered = reply && reply->accepted();
    const bool is_current = answered && apply_configuration(*reply, sent_at);
    if (answered)
    {
        apply_members(request, *reply);
    }
    if (!answered && reply && reply->known_incarnation() > 0)
    {
        log_event(
            event::run_was_overtaken,
            {{"run", request.incarnation()},
             {"known", reply->known_incarnation()},
             {"control_host", target.address}});
        worker_.shared.upstream.supersede_run(reply->known_incarnation());
    }
    // A host that is not current still knows the leases, but may have missed
    // configuration changes.
    if (is_current)
    {
        schedule_.succeeded(host_clock().now(), worker_.random);
    }
    else
    {
        schedule_.failed(host_clock().now(), worker_.random);
    }
    record_reached(target.address, answered);
}

asio::awaitable<void> sync_client::monitor_age()
{
    while (!stopped_)
    {
        update_age();
        const auto now = host_clock().now();
        const auto due = hedges_.due();
        if (due > now)
        {
            age_timer_.expires_at(due);
            co_await age_timer_.async_wait(as_tuple_awaitable);
            continue;
        }
        hedges_.hedge_sent(now, worker_.random);
        if (hedges_in_flight_ >= max_hedges_in_flight)
        {
            continue;
        }
        if (auto other = schedule_.pick_alternate(now))
        {
            worker_.tasks.spawn(send_hedge(*std::move(other)));
        }
    }
}

asio::awaitable<void> sync_client::send_hedge(control_host target)
{
    const auto at = parse_endpoint(target.address);
    if (!at)
    {
        co_return;
    }
    ++hedges_in_flight_;
    const auto sent_at = host_clock().now();
    std::unique_ptr<wire::client_stream> open;
    messages::sync_request request;
    std::optional<messages::sync_reply> reply;
    const auto session = co_await session_with(*at);
    if (session)
    {
        request = make_request(false);
        reply = co_await exchange(*session, request, open);
    }
    --hedges_in_flight_;
    const auto now = host_clock().now();
    // The poll, or another hedge, may already have brought newer state.
    const bool was_stale = hedges_.is_stale(now);
    const bool is_current =
        reply && reply->accepted() && apply_configuration(*reply, sent_at);
    if (!is_current)
    {
        schedule_.alternate_failed(target.host, now, worker_.random);
    }
    else if (was_stale)
    {
        abandon_poll();
        apply_members(request, *reply);
        schedule_.switch_to(target.host, now, worker_.random);
        record_reached(target.address, true);
    }
}

// Ignores the reply of the poll in flight: its list of upstreams is a delta
// against earlier replies of the host that is being left.
void sync_client::abandon_poll()
{
    poll_abandoned_ = polling_;
    if (poll_)
    {
        poll_->cancel();
    }
    poll_timer_.cancel();
}

bool sync_client::is_age_known() const
{
    return hedges_.current_at() > time_point();
}

void sync_client::update_age()
{
    const auto now = host_clock().now();
    const auto current_at = hedges_.current_at();
    const bool is_stale = is_age_known() && hedges_.is_stale(now);
    const auto report = age_monitor_.update(is_stale, now);
    const std::scoped_lock lock(mutex_);
    current_at_ = current_at;
    if (!report)
    {
        return;
    }
    using std::chrono::milliseconds;
    const auto age = std::chrono::duration_cast<milliseconds>(now - current_at);
    const bool lasts = report->state == lag_state::ongoing;
    log_event(
        lasts ? event::configuration_may_be_old : event::configuration_current,
        {{"age_ms", std::int64_t{age.count()}},
         {"source", std::string_view(source_)},
         {"revision", worker_.shared.configuration.current()->at().value()}});
}

asio::awaitable<sync_client::session_pointer>
sync_client::session_with(endpoint at)
{
    const auto session = co_await worker_.peers.get(std::move(at));
    if (!session)
    {
        co_return nullptr;
    }
    co_return *session;
}

asio::awaitable<std::optional<messages::sync_reply>> sync_client::exchange(
    wire::client_session& session,
    const messages::sync_request& request,
    std::unique_ptr<wire::client_stream>& open)
{
    const wire::request_head head{"POST", "/control/sync", {}};
    auto opened = session.open(head, false);
    if (!opened)
    {
        co_return std::nullopt;
    }
    open = *std::move(opened);
    open->expire_after(
        std::chrono::milliseconds(request.wait_ms()) + answer_timeout);
    const auto body = request.SerializeAsString();
    const auto sent =
        co_await open->write(std::as_bytes(std::span(body)), true);
    const auto answer = co_await open->read_head();
    std::string text;
    bool is_complete = false;
    std::array<std::byte, chunk_bytes> chunk;
    while (sent && answer && answer->status == 200 &&
           text.size() <= max_reply_bytes)
    {
        // The timeout applies to each chunk. One timeout for a whole large
        // configuration expired every time when many daemons started beside one
        // control host.
        open->expire_after(answer_timeout);
        if (!is_age_known())
        {
            // Restarts the hedge timer, as another control host would send the
            // same large configuration again.
            hedges_.request_sent(host_clock().now());
        }
        const auto read_size = co_await open->read_some(chunk);
        if (!read_size || *read_size == 0)
        {
            is_complete = read_size.has_value();
            break;
        }
        text.append(reinterpret_cast<const char*>(chunk.data()), *read_size);
    }
    open.reset();
    messages::sync_reply reply;
    if (!is_complete || !reply.ParseFromString(text))
    {
        co_return std::nullopt;
    }
    co_return reply;
}

messages::sync_request sync_client::make_request(bool may_wait)
{
    for (const auto& service : worker_.shared.routes.requested_services())
    {
        upstreams_.add_service(service);
    }
    const auto& shared = worker_.shared;
    const auto& host = shared.configured.host;
    const auto running = shared.configuration.current()->at();
    messages::sync_request request;
    request.set_host(host.id.str());
    request.set_incarnation(shared.upstream.run());
    request.set_data_center(host.data_center.str());
    request.set_region(host.region.str());
    request.set_configuration_revision(running.value());
    if (const auto own = shared.upstream.record())
    {
        *request.mutable_own() = *own;
    }
    upstreams_.fill_request(request);
    shared.crashes.fill_request(request);
    request.set_linearizable(!confirmed_);
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(poll_wait);
    request.set_wait_ms(
        confirmed_ && may_wait ? static_cast<std::uint32_t>(wait.count()) : 0);
    return request;
}

bool sync_client::apply_configuration(
    const messages::sync_reply& reply, time_point sent_at)
{
    // A process that starts without a configuration must not apply one older
    // than the one it ran before: control hosts that start at the same time are
    // still replaying their logs.
    if (!confirmed_ && !reply.linearizable())
    {
        return false;
    }
    auto& shared = worker_.shared;
    if (!std::exchange(confirmed_, true))
    {
        shared.on_withdrawals(
            {reply.withdrawals().begin(), reply.withdrawals().end()});
    }
    if (shared.configuration.accept(reply.delta()))
    {
        log_event(
            event::configuration_in_force,
            {{"revision", shared.configuration.current()->at().value()}});
    }
    const std::chrono::milliseconds after(reply.current_after_ms());
    const auto current_at = sent_at + after;
    hedges_.advance_current_at(current_at);
    shared.age_of_configuration.advance(current_at);
    return host_clock().now() - current_at <= max_accepted_age;
}

void sync_client::apply_members(
    const messages::sync_request& request, const messages::sync_reply& reply)
{
    apply_control_hosts(reply);
    upstreams_.apply(reply);
    update_routes();
    const bool has_more = worker_.shared.crashes.on_reply(request, reply);
    if (has_more)
    {
        sync_now();
    }
}

void sync_client::apply_control_hosts(const messages::sync_reply& reply)
{
    std::vector<control_host> hosts;
    std::vector<endpoint> addresses;
    for (const auto& item : reply.control_hosts())
    {
        control_host host;
        host.host = host_id(item.host());
        host.address = item.address();
        host.at = {
            data_center_name(item.data_center()), region_name(item.region())};
        hosts.push_back(std::move(host));
        if (const auto parsed = parse_endpoint(item.address()))
        {
            addresses.push_back(*parsed);
        }
    }
    std::vector<std::optional<endpoint>> leaders;
    for (const auto& leader : reply.claim_leaders())
    {
        leaders.push_back(parse_endpoint(leader));
    }
    worker_.shared.claims.update(std::move(leaders), std::move(addresses));
    worker_.shared.quotas.set_owner(parse_endpoint(reply.quota_owner()));
    if (!hosts.empty())
    {
        schedule_.set_hosts(hosts);
    }
}

// Includes services without upstreams, so that they are known to be empty.
void sync_client::update_routes()
{
    messages::sync_request subscribed;
    upstreams_.fill_request(subscribed);
    for (const auto& service : subscribed.services())
    {
        std::vector<messages::upstream_record> records;
        for (const auto* record : upstreams_.subset(service_name(service)))
        {
            records.push_back(*record);
        }
        worker_.shared.routes.update(service_name(service), records);
    }
}

void sync_client::record_reached(const std::string& address, bool reached)
{
    const std::scoped_lock lock(mutex_);
    control_address_ = address;
    if (reached)
    {
        last_reply_ = host_clock().now();
        record_source(address);
    }
    if (reached_ != reached)
    {
        reached_ = reached;
        log_event(
            reached ? event::control_reached : event::control_unreachable,
            {{"control_host", address}});
    }
}

void sync_client::record_source(const std::string& address)
{
    if (!source_.empty() && source_ != address)
    {
        log_event(
            event::control_moved,
            {{"from", std::string_view(source_)}, {"to", address}});
    }
    source_ = address;
}

boost::json::value sync_client::dump() const
{
    const std::scoped_lock lock(mutex_);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        host_clock().now() - last_reply_);
    const auto current_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            host_clock().now() - current_at_);
    const bool has_current_at = current_at_ > time_point();
    return boost::json::object{
        {"control_host", control_address_},
        {"reached", reached_},
        {"last_reply_ms_ago", reached_ ? age.count() : -1},
        {"known_current_ms_ago", has_current_at ? current_age.count() : -1}};
}

} // namespace nutmegusher::node
