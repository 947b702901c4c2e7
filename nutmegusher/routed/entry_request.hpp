// A request at its entry: the state that the steps of serving it share.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_REQUEST_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_REQUEST_HPP

#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/routed/peer_exchange.hpp"
#include "nutmegusher/routed/routed_state.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace nutmegusher::routed::internal
{

struct entry_request
{
    entry_request(
        node::worker& worker,
        routed_state& state,
        node::caller_exchange& exchange)
        : worker(worker)
        , state(state)
        , exchange(exchange)
        , arrived(host_clock().now())
        , memory(state.process.request_memory, exchange)
    {
    }

    entry_request(const entry_request&) = delete;
    entry_request& operator=(const entry_request&) = delete;

    // Takes the configuration in force, and before it its age.
    void take_view();

    // Whether an upstream may have begun to work on the request, or says that
    // it didn't.
    [[nodiscard]] bool may_have_reached_upstream() const;

    // Whether the daemon had a document of routes when `view` was taken.
    [[nodiscard]] bool has_routes() const
    {
        return view->routes().version() != 0;
    }

    // The value of a field of the caller's request; empty if it is missing.
    [[nodiscard]] std::string_view field(std::string_view name) const
    {
        return wire::find_header(exchange.head().fields, name).value_or("");
    }

    // The class in metrics and logs; "(none)" if no route was found, as for
    // calls without a class.
    [[nodiscard]] class_name metrics_class() const
    {
        return class_name(route == nullptr ? "(none)" : route->name);
    }

    // What admission and routing decisions see of the request.
    [[nodiscard]] call_info facts() const;

    node::worker& worker;
    routed_state& state;
    node::caller_exchange& exchange;
    const time_point arrived;
    // What `call` holds.
    node::held_memory memory;
    // Keeps `route` alive.
    std::shared_ptr<const node::configuration_view> view;
    const request_route* route = nullptr;
    // Null: the request has no key. `view` keeps it alive.
    const team* caller_team = nullptr;
    // Upper bound when `view` was taken; known only where requests with a key
    // need it.
    duration configuration_age{0};
    service_name service;
    routed_call call;
    std::vector<upstream_handle> tried;
    // Of the upstream that was tried last.
    std::optional<host_id> last_host;
    node::request_phase phase = node::request_phase::admission;
    std::uint32_t sent_tries = 0;
    // Of these, further ones to an upstream that had rejected the request.
    std::uint32_t resent_tries = 0;
    // The upstream that gets the next try; none: the router chooses.
    std::optional<upstream_handle> resend_to;
    std::size_t refusals = 0;
    // A call of a run that is itself a repeat; see `repeat_share`.
    bool inherits_repeat = false;
    bool may_have_run = false;
    bool answered_by_upstream = false;
    // The try that is in flight.
    std::optional<peer_feedback> current_try;
    std::optional<node::refusal> last_failure;
    // An error answer of an upstream after which the call was retried
    // elsewhere; forwarded if no retry gives a better one.
    std::optional<routed_answer> error_answer;
};

} // namespace nutmegusher::routed::internal

#endif
