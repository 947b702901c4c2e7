#include "nutmegusher/node/control_transport.hpp"

#include "nutmegusher/node/settings.hpp"

#include <algorithm>

namespace nutmegusher::node::internal
{

namespace
{

// Includes the follower's disk sync. A batch that takes longer counts as lost
// and its contents are sent again.
constexpr duration batch_timeout = std::chrono::seconds(1);
// The lowest assumed bandwidth; the transfer time is added to the timeout. With
// a timeout that did not grow with the size, large batches were lost every
// time.
constexpr double min_bytes_per_second = 1'000'000;
// The response to a batch never waits longer, as it would occupy one of the
// sender's batches in flight for nothing.
constexpr duration answer_timeout = std::chrono::milliseconds(500);
// A batch may exceed this by one message. It is small because a batch arrives
// or is lost as a whole.
constexpr std::size_t max_batch_bytes = 1024 * 1024;

duration timeout_for(std::size_t bytes)
{
    const std::chrono::duration<double> transfer(
        static_cast<double>(bytes) / min_bytes_per_second);
    return batch_timeout + std::chrono::duration_cast<duration>(transfer);
}

} // namespace

std::string to_text(const asio::ip::tcp::endpoint& address)
{
    const auto ip = address.address().to_string();
    const auto port = std::to_string(address.port());
    return address.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

control_transport::control_transport(
    asio::io_context& context, receiver receive)
    : context_(context)
    , receive_(std::move(receive))
    , sessions_(context, wire::session_options())
    , batches_(context)
{
}

void control_transport::join(std::uint64_t cluster)
{
    cluster_ = cluster;
}

void control_transport::update_addresses(const messages::replica_set& members)
{
    for (const auto& member : members.members())
    {
        if (const auto address = parse_endpoint(member.address()))
        {
            peers_[replica_id(member.identity())].address = address;
        }
    }
}

std::optional<control_transport::endpoint>
control_transport::find(replica_id id) const
{
    const auto known = peers_.find(id);
    return known == peers_.end() ? std::nullopt : known->second.address;
}

void control_transport::post(messages::replica_message message)
{
    auto& target = peers_[replica_id(message.to())];
    if (target.queue.size() < max_queued_messages)
    {
        target.queue.push_back(std::move(message));
    }
}

void control_transport::flush()
{
    for (auto& [id, target] : peers_)
    {
        if (!target.pending_responses.empty() && !target.queue.empty())
        {
            const auto first = std::move(target.pending_responses.front());
            target.pending_responses.pop_front();
            first->set(dequeue_batch(target, false));
        }
        while (!target.pending_responses.empty())
        {
            target.pending_responses.front()->set(std::string());
            target.pending_responses.pop_front();
        }
        send_next(id, target);
    }
}

asio::awaitable<std::string> control_transport::answer(replica_id from)
{
    const auto response = std::make_shared<async_value<std::string>>(context_);
    peers_[from].pending_responses.push_back(response);
    auto batch = co_await response->wait(host_clock().now() + answer_timeout);
    co_return batch ? std::move(*batch) : std::string();
}

// Takes as many messages as fit. Each snapshot travels in a batch of its own.
std::string control_transport::dequeue_batch(peer& from, bool with_snapshots)
{
    messages::replica_batch batch;
    batch.set_cluster(cluster_);
    std::size_t bytes = 0;
    while (!from.queue.empty() && bytes < max_batch_bytes)
    {
        auto& next = from.queue.front();
        if (next.has_install() &&
            (!with_snapshots || batch.messages_size() > 0))
        {
            break;
        }
        const bool is_snapshot = next.has_install();
        bytes += next.ByteSizeLong();
        *batch.add_messages() = std::move(next);
        from.queue.pop_front();
        if (is_snapshot)
        {
            break;
        }
    }
    return batch.SerializeAsString();
}

void control_transport::send_next(replica_id to, peer& target)
{
    if (!target.address)
    {
        target.queue.clear();
        return;
    }
    while (!target.queue.empty() && target.in_flight < max_batches_in_flight)
    {
        ++target.in_flight;
        auto body = dequeue_batch(target, true);
        if (!batches_.spawn(send_batch(to, *target.address, std::move(body))))
        {
            --target.in_flight;
        }
    }
}

asio::awaitable<void> control_transport::end()
{
    co_await batches_.end();
    co_await sessions_.end();
}

asio::awaitable<void>
control_transport::send_batch(replica_id to, endpoint at, std::string body)
{
    const auto timeout = timeout_for(body.size());
    const auto answer =
        co_await wire::call(sessions_, at, raft_path, body, timeout);
    auto& target = peers_[to];
    --target.in_flight;
    messages::replica_batch batch;
    if (answer && !answer->empty() && batch.ParseFromString(*answer) &&
        batch.cluster() == cluster_)
    {
        receive_(batch);
    }
    send_next(to, target);
}

} // namespace nutmegusher::node::internal
