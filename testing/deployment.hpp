// A deployment of processes on loopback: control hosts, and a daemon for each
// stand-in upstream.
//
//     auto cluster = deployment::start({.upstreams = {{"disbursement"}}});
//     (*cluster)->declare(association_classes()); // association.hpp
//     (*cluster)->daemon(0).kill();
//     (*cluster)->restart_daemon(0);
#ifndef NUTMEGUSHER_TESTING_DEPLOYMENT_HPP
#define NUTMEGUSHER_TESTING_DEPLOYMENT_HPP

#include "testing/address_block.hpp"
#include "testing/execution_log.hpp"
#include "testing/load_client.hpp"
#include "testing/operator_client.hpp"
#include "testing/process.hpp"
#include "testing/relay.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegusher::test_support
{

// A daemon and its local upstream.
struct deployed_upstream
{
    // Empty: a daemon without an upstream.
    std::string service;
    // JSON as for POST /stand-in/control.
    std::string behavior = "{}";
    std::string data_center = "dc-1";
};

struct deployment_options
{
    std::uint32_t control_hosts = 3;
    std::vector<deployed_upstream> upstreams;
    // Baseline mode of the daemons (`naive = yes`).
    bool naive = false;
    // Each daemon reaches its upstream through a relay.
    bool relay_to_upstreams = false;
    // How long stopping daemons still accept connections; 0: the default.
    std::uint32_t accept_ms = 0;
    // Time from the stop signal to the kill of a control host; 0: the default.
    std::uint32_t control_killed_after_ms = 0;
    // Threads of each daemon.
    std::uint32_t threads = 2;
    // Each control host is reached through a relay.
    bool relay_to_control = false;
};

// All processes are killed on destruction.
class deployment
{
public:
    // Starts all processes; doesn't wait until they serve.
    [[nodiscard]] static outcome<
        std::unique_ptr<deployment>,
        boost::system::error_code>
    start(const deployment_options& options);

    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    [[nodiscard]] std::size_t control_count() const;
    [[nodiscard]] std::size_t daemon_count() const;

    [[nodiscard]] child_process& control(std::size_t index);
    [[nodiscard]] child_process& daemon(std::size_t index);
    [[nodiscard]] child_process& upstream(std::size_t index);

    // Names of the processes that are crashed now, or were when restarted since
    // the last call.
    [[nodiscard]] std::vector<std::string> crashes();

    // Restart a process with the same settings and folders.
    bool restart_control(std::size_t index);
    bool restart_daemon(std::size_t index);
    bool restart_upstream(std::size_t index);

    // Removes the data folder. Requires: the process has exited.
    void remove_control_data(std::size_t index);

    [[nodiscard]] std::string control_operators(std::size_t index) const;
    [[nodiscard]] std::vector<std::string> all_control_operators() const;
    [[nodiscard]] std::string daemon_operators(std::size_t index) const;
    [[nodiscard]] std::string daemon_callers(std::size_t index) const;
    [[nodiscard]] std::vector<std::string> all_daemon_callers() const;
    [[nodiscard]] std::string upstream_address(std::size_t index) const;

    // Requires: `relay_to_upstreams`.
    [[nodiscard]] relay& upstream_relay(std::size_t index);

    // Silently drops, or forwards again, all traffic between a control host
    // and all other hosts. Requires: `relay_to_control`.
    void isolate_control(std::size_t index, bool isolated);

    // Silently drops, or forwards again, the traffic between a control host
    // and the other control hosts; daemons still reach all.
    // Requires: `relay_to_control`.
    void partition_control(std::size_t index, bool partitioned);

    // Declares the classes and waits until every daemon runs them and knows
    // its own upstream. False if a change is refused or a time limit
    // passes.
    [[nodiscard]] bool declare(const std::vector<declared_class>& classes);

    // Waits until every running daemon runs `revision` or a later one; false
    // if one crashed or `limit` has passed.
    [[nodiscard]] bool wait_in_force(
        std::uint64_t revision,
        std::chrono::milliseconds limit = std::chrono::seconds(30)) const;

    // Waits until a call of the class completes through each running daemon;
    // false if one crashed or after 30 s each.
    [[nodiscard]] bool wait_served(const offered_class& offered) const;

    void control_upstream(std::size_t index, const std::string& behavior) const;

    // Sum of the executions of a service's upstreams, including those before a
    // kill. An empty name selects all upstreams.
    [[nodiscard]] execution_counts
    executions_by_token(std::string_view service = {}) const;

    // The ends of the logs of all control hosts and daemons, for messages of
    // failed tests.
    [[nodiscard]] std::string logs() const;

    // A settings file, log or journal in the deployment's folder.
    [[nodiscard]] std::string path(std::string_view name) const;
    [[nodiscard]] std::string file(std::string_view name) const;

private:
    struct state;

    explicit deployment(std::unique_ptr<state> state);

    // False if a daemon crashed or didn't meet the condition within `limit`;
    // stopped daemons are skipped.
    [[nodiscard]] bool wait_for_each_daemon(
        const std::function<bool(std::size_t)>& condition,
        std::chrono::milliseconds limit) const;

    std::unique_ptr<state> state_;
};

} // namespace nutmegusher::test_support

#endif
