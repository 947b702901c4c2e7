// The client of the claim logs on the control hosts.
#ifndef NUTMEGUSHER_NODE_CLAIM_CLIENT_HPP
#define NUTMEGUSHER_NODE_CLAIM_CLIENT_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/execution.pb.h"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <mutex>
#include <optional>
#include <vector>

namespace nutmegusher::node
{

namespace asio = boost::asio;

// The number, from 1, of the claim log (Raft group) that stores the claims of
// `key`. All hosts must compute the same number, so the number of groups is
// fixed when the control hosts first start.
[[nodiscard]] std::uint32_t
claim_group_of(const messages::claim_key& key, std::uint32_t groups);

// The leaders of the claim logs and the addresses of the control hosts, as the
// latest sync reported them. Thread-safe.
class claim_directory
{
public:
    using endpoint = asio::ip::tcp::endpoint;

    // Requires: `control_hosts` isn't empty.
    explicit claim_directory(std::vector<endpoint> control_hosts);

    void update(
        std::vector<std::optional<endpoint>> leaders,
        std::vector<endpoint> control_hosts);

    // The leader of the key's log, if known, followed by the other control
    // hosts, which forward a command to the leader they know.
    [[nodiscard]] std::vector<endpoint>
    hosts_for(const messages::claim_key& key) const;

    [[nodiscard]] std::vector<endpoint> control_hosts() const;

private:
    mutable std::mutex mutex_;
    std::vector<std::optional<endpoint>> leaders_;
    std::vector<endpoint> control_hosts_;
};

// Proposes the command to the log of its key, trying control hosts in turn
// until one returns a verdict or `time_left` has passed. Empty: the command may
// or may not have been applied, now or later; resending it is safe.
asio::awaitable<std::optional<messages::claim_result>> propose_claim(
    wire::session_pool& peers,
    const claim_directory& directory,
    messages::claim_command command,
    duration time_left);

} // namespace nutmegusher::node

#endif
