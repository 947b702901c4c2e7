// The HTTP API for operators; `docs/INTERFACE.md` lists its resources.
#ifndef NUTMEGUSHER_NODE_OPERATOR_API_HPP
#define NUTMEGUSHER_NODE_OPERATOR_API_HPP

#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/worker.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace nutmegusher::node
{

// What a control host does for the operator API. The functions are empty on a
// daemon that isn't a control host.
struct control_callbacks
{
    // Submits a change to the quorum and returns its verdict, or
    // `change_unavailable` if the verdict isn't known.
    std::function<asio::awaitable<messages::change_result>(messages::change)>
        propose;
    // The configuration in force, confirmed by a quorum; nothing if no quorum
    // answers.
    std::function<asio::awaitable<std::optional<messages::configuration>>()>
        read;

    std::function<boost::json::value()> state;
    std::function<boost::json::value()> history;
    std::function<boost::json::value()> rollout;
    // The teams' quotas; null on a host that doesn't own them.
    std::function<boost::json::value()> quotas;
    // Handles the body of `POST /v1/control/replace`; returns the status and
    // body of the answer.
    std::function<asio::awaitable<std::pair<unsigned, boost::json::value>>(
        std::string body)>
        replace;
    // The quarantined requests of all services; see `crash_tracker`.
    std::function<std::vector<crash_record>()> quarantined;
    // Releases a request from quarantine; false if the digest is unknown.
    std::function<bool(std::uint64_t digest)> release;
};

// What the process does for the operator API.
struct operator_callbacks
{
    std::function<boost::json::value()> sync;
    std::function<void()> drain;
    // State of the daemon's extension; empty if it has none.
    std::function<boost::json::value()> extension;
    control_callbacks control;
};

// Serves `GET /metrics`; other requests get 404.
asio::awaitable<void>
serve_metrics(worker& current_worker, caller_exchange& exchange);

// Serves one request of an operator. Runs on the thread of `current_worker`.
asio::awaitable<void> serve_operator(
    worker& current_worker,
    const operator_callbacks& callbacks,
    caller_exchange& exchange);

} // namespace nutmegusher::node

#endif
