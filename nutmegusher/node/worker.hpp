// The state of one worker thread, and the state that all workers share.
#ifndef NUTMEGUSHER_NODE_WORKER_HPP
#define NUTMEGUSHER_NODE_WORKER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/execution/execution.hpp"
#include "nutmegusher/node/admission_gate.hpp"
#include "nutmegusher/node/claim_client.hpp"
#include "nutmegusher/node/configuration_age.hpp"
#include "nutmegusher/node/configuration_controller.hpp"
#include "nutmegusher/node/crash_tracker.hpp"
#include "nutmegusher/node/decision_counters.hpp"
#include "nutmegusher/node/drain_window.hpp"
#include "nutmegusher/node/memory_account.hpp"
#include "nutmegusher/node/metrics.hpp"
#include "nutmegusher/node/own_upstream.hpp"
#include "nutmegusher/node/pressure_controller.hpp"
#include "nutmegusher/node/quota_gate.hpp"
#include "nutmegusher/node/route_controller.hpp"
#include "nutmegusher/node/settings.hpp"
#include "nutmegusher/node/upstream_client.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace nutmegusher::node
{

namespace asio = boost::asio;

// The controllers that hold this process's shared state. Each has its own lock
// and is thread-safe.
struct controllers
{
    controllers(const settings& from, incarnation run);

    const settings configured;
    const incarnation run;
    configuration_controller configuration;
    configuration_age age_of_configuration;
    quota_gate quotas;
    own_upstream upstream;
    admission_gate admission;
    request_ledger ledger;
    pressure_controller pressure;
    route_controller routes;
    claim_directory claims;
    crash_tracker crashes;
    // Of requests and their answers.
    memory_account request_memory;
    // Of reports of upstreams and calls of operators.
    memory_account control_memory;
    metrics request_metrics;
    decision_counters decisions;
    // Bounds what is handed to upstreams during a graceful shutdown.
    drain_window drain;
    // A graceful shutdown has begun.
    std::atomic<bool> stopping = false;
    // The shutdown has reached the step from which only sub-calls of the own
    // upstream are served.
    std::atomic<bool> refuses_callers = false;
    // Triggers a sync with a control host at once. Set before the workers run.
    std::function<void()> request_sync = [] {};
    // Called with the upstreams that have left this host, in all its daemon's
    // runs, before the first configuration is applied. Set before the workers
    // run.
    std::function<void(std::vector<messages::upstream_withdrawal>)>
        on_withdrawals = [](const auto&) {};
};

// State that one thread uses without locks.
struct worker
{
    worker(controllers& shared, std::size_t index);

    // The entry host named in attempts, such as "host#2": each worker numbers
    // its attempts separately.
    std::string attempt_name;
    controllers& shared;
    asio::io_context context;
    // The tasks of the process that run on this worker, apart from the handlers
    // of its listeners.
    wire::task_group tasks;
    wire::session_pool peers;
    upstream_pool upstreams;
    random_engine random;
    attempt_sequence attempts;
};

// The wall-clock time in ms since 1970. Use it only for data that outlives the
// process.
[[nodiscard]] std::uint64_t wall_milliseconds();

} // namespace nutmegusher::node

#endif
