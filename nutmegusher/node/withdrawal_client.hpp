// Stores at the control hosts which upstreams have left this daemon's host.
#ifndef NUTMEGUSHER_NODE_WITHDRAWAL_CLIENT_HPP
#define NUTMEGUSHER_NODE_WITHDRAWAL_CLIENT_HPP

#include "nutmegusher/messages/configuration.pb.h"
#include "nutmegusher/node/worker.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace nutmegusher::node
{

// Where control hosts take an `upstream_withdrawal`; the answer is a
// `change_result`, accepted once a majority has stored it.
inline constexpr std::string_view withdrawal_path = "/control/withdraw";

// How long `withdrawal_client::store` waits: an upstream takes an answer that
// comes within a second for an acknowledgement.
inline constexpr duration withdrawal_wait = std::chrono::milliseconds(800);

// Makes withdrawals durable before they are acknowledged, as the process that
// acknowledges one may be killed the moment after.
class withdrawal_client
{
public:
    // Runs on the worker `owner`, which must outlive it.
    explicit withdrawal_client(worker& owner);

    // Returns whether a majority of the control hosts has stored the
    // withdrawal. Returns false after `withdrawal_wait`, but goes on trying, so
    // that a later call for the same lifetime succeeds. Without control hosts
    // it returns true: nothing outlives the process then. Safe from every
    // thread.
    asio::awaitable<bool> store(messages::upstream_withdrawal withdrawal);

private:
    // One lifetime of an upstream: its id and its start.
    using lifetime = std::pair<std::string, std::uint64_t>;

    struct attempt
    {
        bool stored = false;
        std::vector<std::weak_ptr<asio::steady_timer>> waiting;
    };
    using attempt_pointer = std::shared_ptr<attempt>;

    asio::awaitable<bool> store_here(messages::upstream_withdrawal withdrawal);
    attempt_pointer find_or_begin(messages::upstream_withdrawal withdrawal);
    asio::awaitable<void> propose_until_stored(
        attempt_pointer current, messages::upstream_withdrawal withdrawal);
    asio::awaitable<bool> propose(const std::string& body);

    worker& worker_;
    std::map<lifetime, attempt_pointer> attempts_;
    std::size_t next_host_ = 0;
};

} // namespace nutmegusher::node

#endif
