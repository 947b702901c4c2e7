// The state of one daemon process, shared by the files that implement `daemon`.
#ifndef NUTMEGUSHER_NODE_DAEMON_STATE_HPP
#define NUTMEGUSHER_NODE_DAEMON_STATE_HPP

#include "nutmegusher/node/control_service.hpp"
#include "nutmegusher/node/daemon.hpp"
#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/operator_api.hpp"
#include "nutmegusher/node/quota_client.hpp"
#include "nutmegusher/node/stop_sequence.hpp"
#include "nutmegusher/node/sync_client.hpp"
#include "nutmegusher/node/withdrawal_client.hpp"
#include "nutmegusher/node/worker.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace nutmegusher::node
{

inline constexpr auto as_tuple_awaitable = asio::as_tuple(asio::use_awaitable);

// The listeners of one worker.
struct listeners
{
    std::unique_ptr<http_server> callers;
    std::unique_ptr<http_server> upstream;
    std::unique_ptr<wire::server> peers;
};

struct daemon::state
{
    state(
        const settings& from,
        incarnation run,
        std::unique_ptr<extension> owned_extension)
        : shared(from, run)
        , optional_extension(std::move(owned_extension))
    {
        for (std::size_t i = 0; i < from.host.threads; ++i)
        {
            workers.push_back(std::make_unique<worker>(shared, i));
        }
        listeners_by_worker.resize(workers.size());
        sync = std::make_unique<sync_client>(first());
        shared.request_sync = [this]
        {
            asio::post(
                first().context,
                [this]
                {
                    sync->sync_now();
                });
        };
        shared.crashes.on_change = shared.request_sync;
        withdrawals = std::make_unique<withdrawal_client>(first());
        quotas = std::make_unique<quota_client>(first());
        shared.quotas.on_waiting = [this]
        {
            asio::post(
                first().context,
                [this]
                {
                    quotas->wake();
                });
        };
    }

    // The worker that also runs the tasks that exist once per process: signals,
    // ticks, sync and the operators' listener.
    worker& first()
    {
        return *workers.front();
    }

    leaf::result<void> open();
    leaf::result<void> open_worker(std::size_t index);
    operator_callbacks make_operator_callbacks();

    void attach_extension();
    asio::awaitable<void>
    serve_caller(worker& current_worker, caller_exchange& exchange);
    asio::awaitable<void>
    serve_operators(worker& current_worker, caller_exchange& exchange);
    asio::awaitable<void> serve_peer(
        worker& current_worker, std::shared_ptr<wire::server_stream> stream);
    asio::awaitable<void>
    serve_own_upstream(worker& current_worker, caller_exchange& exchange);
    asio::awaitable<void> handle_announcement(caller_exchange& exchange);
    void
    apply_upstream_change(upstream_change change, const service_name& service);

    asio::awaitable<void> run_ticks();
    asio::awaitable<void> watch_upstream();
    asio::awaitable<void> wait_for_signal();
    void begin_shut_down();

    // Defined in daemon_stop.cpp.
    asio::awaitable<void> shut_down();
    // Closes the sources of requests that belong to `step`.
    asio::awaitable<void> enter_step(stop_step step);
    asio::awaitable<void> close_callers();
    asio::awaitable<void> close_peers();
    asio::awaitable<void> close_upstream();
    asio::awaitable<void> give_up();
    asio::awaitable<void> run_on_each_worker(void (*action)(listeners&));
    [[nodiscard]] asio::awaitable<open_counts> count_open();
    asio::awaitable<void> end(const stop_sequence& stop, open_counts left);
    // Ends all tasks of one worker, on its thread.
    asio::awaitable<void> end_tasks(std::size_t index);

    controllers shared;
    std::unique_ptr<extension> optional_extension;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<listeners> listeners_by_worker;
    std::unique_ptr<sync_client> sync;
    std::unique_ptr<quota_client> quotas;
    std::unique_ptr<withdrawal_client> withdrawals;
    std::unique_ptr<control_service> control;
    std::unique_ptr<http_server> operators;
    std::unique_ptr<http_server> metrics_server;
    operator_callbacks callbacks;
    std::optional<asio::signal_set> signals;
    bool shutting_down = false;
};

} // namespace nutmegusher::node

#endif
