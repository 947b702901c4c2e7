// A daemon's exchange with the owner of the teams' quotas.
#ifndef NUTMEGUSHER_NODE_QUOTA_CLIENT_HPP
#define NUTMEGUSHER_NODE_QUOTA_CLIENT_HPP

#include "nutmegusher/node/worker.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegusher::node
{

// Where control hosts serve `quota_request`. The path keeps its first name, as
// hosts of different releases talk to each other during an update.
inline constexpr std::string_view quota_path = "/control/allotment";

// Sends the requests of the process's `quota_gate` to the owner, one at a
// time, and looks for another owner where it doesn't answer. Idle while no
// request of a team with a quota arrives.
class quota_client
{
public:
    // Runs on the worker `owner`, which must outlive it.
    explicit quota_client(worker& owner);

    // Exchanges until `stop`.
    asio::awaitable<void> run();

    // Ends a wait, so that a request that is due is sent. Requires: called on
    // the worker's thread.
    void wake();

    // Gives all tokens back, as far as the owner answers, and ends `run`.
    // Requires: called on the worker's thread.
    void stop();

private:
    asio::awaitable<void> exchange();
    // The host to ask: the one that the last answer or sync has named, else one
    // control host after another.
    [[nodiscard]] std::optional<endpoint> choose_target();

    worker& worker_;
    asio::steady_timer timer_;
    std::optional<endpoint> target_;
    // The owner that the latest sync had named when it was last looked at.
    std::optional<endpoint> named_by_sync_;
    std::size_t next_host_ = 0;
    bool stopped_ = false;
};

} // namespace nutmegusher::node

#endif
