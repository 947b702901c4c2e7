// The messages of all groups to the other control hosts: one batch a host.
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

// Batches to one host that wait for their answers at once. More than one, so
// that entries flow while a follower syncs the ones before.
inline constexpr std::size_t max_batches_in_flight = 4;

// Messages to one host that wait to be sent; more are dropped, as the log
// expects of a network.
inline constexpr std::size_t max_queued_messages = 4096;

// For the logs' thread. The answers of a follower travel back in the response
// to the batch that they answer, which spares a second stream.
class control_transport
{
public:
    using endpoint = asio::ip::tcp::endpoint;
    // Takes the messages that came back in a response.
    using receiver = std::function<void(const messages::replica_batch&)>;

    control_transport(asio::io_context& context, receiver receive);

    // From now on batches carry this cluster, and others' are dropped.
    void join(std::uint64_t cluster);

    // Where a member can be reached.
    void update_addresses(const messages::replica_set& members);
    [[nodiscard]] std::optional<endpoint> find(replica_id id) const;

    // Queues; sent by `flush`.
    void post(messages::replica_message message);

    // Sends what is queued: answers to those that wait for one, the rest as
    // batches of our own.
    void flush();

    // Waits for the next `flush`, and gives what is queued for `from` then.
    [[nodiscard]] asio::awaitable<std::string> answer(replica_id from);

    [[nodiscard]] wire::session_pool& sessions()
    {
        return sessions_;
    }

private:
    struct peer
    {
        std::optional<endpoint> address;
        std::deque<messages::replica_message> queue;
        std::deque<std::shared_ptr<async_value<std::string>>> waiting;
        std::size_t in_flight = 0;
    };

    [[nodiscard]] std::string dequeue_batch(peer& from, bool with_snapshots);
    void send_next(replica_id to, peer& target);
    asio::awaitable<void>
    send_batch(replica_id to, endpoint at, std::string body);

    asio::io_context& context_;
    receiver receive_;
    wire::session_pool sessions_;
    std::uint64_t cluster_ = 0;
    std::map<replica_id, peer> peers_;
};

// "ip:port".
[[nodiscard]] std::string to_text(const asio::ip::tcp::endpoint& address);

} // namespace nutmegusher::node::internal

#endif
