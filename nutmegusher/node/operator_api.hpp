// What operators ask of a process over HTTP; `docs/INTERFACE.md` lists it.
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

// A control host's own answers; empty functions on a plain daemon.
struct control_callbacks
{
    // Judged by a majority; `change_unavailable` where that isn't known.
    std::function<asio::awaitable<messages::change_result>(messages::change)>
        propose;
    // What is in force, confirmed by a majority; nothing where none answers.
    std::function<asio::awaitable<std::optional<messages::configuration>>()>
        read;

    std::function<boost::json::value()> state;
    std::function<boost::json::value()> history;
    std::function<boost::json::value()> rollout;
    // Body of `POST /v1/control/replace`; the answer's status and body.
    std::function<asio::awaitable<std::pair<unsigned, boost::json::value>>(
        std::string body)>
        replace;
    // See `crash_tracker`; of all services.
    std::function<std::vector<crash_record>()> quarantined;
    std::function<bool(std::uint64_t digest)> release;
};

struct operator_callbacks
{
    std::function<boost::json::value()> sync;
    std::function<void()> drain;
    control_callbacks control;
};

// Serves one request of whoever collects metrics; all others get 404.
asio::awaitable<void>
serve_metrics(worker& current_worker, caller_exchange& exchange);

// Serves one request of an operator. Runs on the worker `current_worker`.
asio::awaitable<void> serve_operator(
    worker& current_worker,
    const operator_callbacks& callbacks,
    caller_exchange& exchange);

} // namespace nutmegusher::node

#endif
