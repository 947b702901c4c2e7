// Asks the claim logs on the control hosts. Belongs to one worker.
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

// The log that keeps a key's claims: all hosts must agree on it, so that the
// number of groups is fixed when the control hosts first start.
[[nodiscard]] std::uint32_t
claim_group_of(const messages::claim_key& key, std::uint32_t groups);

// Where the claim logs are led and where control hosts are, as the last sync
// told. Safe from every thread.
class claim_directory
{
public:
    using endpoint = asio::ip::tcp::endpoint;

    // Requires: `control_hosts` isn't empty.
    explicit claim_directory(std::vector<endpoint> control_hosts);

    void update(
        std::vector<std::optional<endpoint>> leaders,
        std::vector<endpoint> control_hosts);

    // The leader of the key's log first, then the other control hosts: they
    // pass a command on to the leader that they know.
    [[nodiscard]] std::vector<endpoint>
    hosts_for(const messages::claim_key& key) const;

    [[nodiscard]] std::vector<endpoint> control_hosts() const;

private:
    mutable std::mutex mutex_;
    std::vector<std::optional<endpoint>> leaders_;
    std::vector<endpoint> control_hosts_;
};

// Proposes the command to the log of its key, at several control hosts until
// one gives a verdict or `time_left` is over. Nothing: it isn't known whether
// the command was or will be applied; sending it again is safe.
asio::awaitable<std::optional<messages::claim_result>> propose_claim(
    wire::session_pool& peers,
    const claim_directory& directory,
    messages::claim_command command,
    duration time_left);

} // namespace nutmegusher::node

#endif
