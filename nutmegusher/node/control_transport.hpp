// Sends the messages of all groups to the other control hosts, batched by host.
#ifndef NUTMEGUSHER_NODE_CONTROL_TRANSPORT_HPP
#define NUTMEGUSHER_NODE_CONTROL_TRANSPORT_HPP

#include "nutmegusher/control/control.hpp"
#include "nutmegusher/node/async_value.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegusher::node::internal
{

inline constexpr std::string_view raft_path = "/control/raft";

// The maximum number of batches to one host that await their response. More
// than one, so that entries keep flowing while a follower syncs the previous
// ones.
inline constexpr std::size_t max_batches_in_flight = 4;

// The maximum number of messages to one host that wait to be sent; further ones
// are dropped, as the replication protocol tolerates loss.
inline constexpr std::size_t max_queued_messages = 4096;

// Used on the logs' thread. A follower's replies travel in the response to the
// batch that they answer, which avoids a second stream.
class control_transport
{
public:
    using endpoint = asio::ip::tcp::endpoint;
    // Receives the messages that came back in a response.
    using receiver = std::function<void(const messages::replica_batch&)>;

    control_transport(asio::io_context& context, receiver receive);

    // Sets the cluster that batches carry; batches of other clusters are
    // dropped.
    void join(std::uint64_t cluster);

    // Records the addresses of the members.
    void update_addresses(const messages::replica_set& members);
    [[nodiscard]] std::optional<endpoint> find(replica_id id) const;

    // Queues a message; `flush` sends it.
    void post(messages::replica_message message);

    // Sends the queued messages: in the responses that are being awaited, and
    // the rest in batches of this host's own.
    void flush();

    // Waits for the next `flush` and returns the messages that are queued for
    // `from` at that time.
    [[nodiscard]] asio::awaitable<std::string> answer(replica_id from);

    // Closes all sessions and ends the batches in flight.
    [[nodiscard]] asio::awaitable<void> end();

    [[nodiscard]] wire::session_pool& sessions()
    {
        return sessions_;
    }

private:
    struct peer
    {
        std::optional<endpoint> address;
        std::deque<messages::replica_message> queue;
        std::deque<std::shared_ptr<async_value<std::string>>> pending_responses;
        std::size_t in_flight = 0;
    };

    [[nodiscard]] std::string dequeue_batch(peer& from, bool with_snapshots);
    void send_next(replica_id to, peer& target);
    asio::awaitable<void>
    send_batch(replica_id to, endpoint at, std::string body);

    asio::io_context& context_;
    receiver receive_;
    wire::session_pool sessions_;
    wire::task_group batches_;
    std::uint64_t cluster_ = 0;
    std::map<replica_id, peer> peers_;
};

// Formats the address as "ip:port".
[[nodiscard]] std::string to_text(const asio::ip::tcp::endpoint& address);

} // namespace nutmegusher::node::internal

#endif
