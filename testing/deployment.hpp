// A whole deployment as processes on loopback: control hosts, and a daemon
// beside each stand-in upstream.
//
//     auto here = deployment::start({.upstreams = {{"disbursement"}}});
//     (*here)->declare(association_classes()); // association.hpp
//     (*here)->daemon(0).kill();
//     (*here)->restart_daemon(0);
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

// A daemon and the upstream beside it.
struct deployed_upstream
{
    // Empty: a daemon without an upstream.
    std::string service;
    // As for POST /stand-in/control.
    std::string behavior = "{}";
    std::string data_center = "dc-1";
};

struct deployment_options
{
    std::uint32_t control_hosts = 3;
    std::vector<deployed_upstream> upstreams;
    // Naive decisions, as a baseline.
    bool naive = false;
    // Each daemon reaches its upstream through a relay.
    bool relay_to_upstreams = false;
    // Daemons that stop accept connections for so long.
    std::uint32_t accept_ms = 0;
    // When control hosts are killed after the signal; 0: the default.
    std::uint32_t control_killed_after_ms = 0;
    // Threads of each daemon.
    std::uint32_t threads = 2;
    // A relay stands before each control host.
    bool relay_to_control = false;
};

// All processes end with the value.
class deployment
{
public:
    // Starts all processes; doesn't wait for them.
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

    // Names of the processes that ended by themselves, up to now.
    [[nodiscard]] std::vector<std::string> crashes();

    // Start again what has ended, on the same settings and folders.
    bool restart_control(std::size_t index);
    bool restart_daemon(std::size_t index);
    bool restart_upstream(std::size_t index);

    // Removes the data folder. Requires: the process has ended.
    void remove_control_data(std::size_t index);

    [[nodiscard]] std::string control_operators(std::size_t index) const;
    [[nodiscard]] std::vector<std::string> all_control_operators() const;
    [[nodiscard]] std::string daemon_operators(std::size_t index) const;
    [[nodiscard]] std::string daemon_callers(std::size_t index) const;
    [[nodiscard]] std::vector<std::string> all_daemon_callers() const;
    [[nodiscard]] std::string upstream_address(std::size_t index) const;

    // Requires: `relay_to_upstreams`.
    [[nodiscard]] relay& upstream_relay(std::size_t index);

    // Cuts a control host off silently from all others and from the daemons,
    // or joins it again. Requires: `relay_to_control`.
    void isolate_control(std::size_t index, bool isolated);

    // Cuts a control host off silently from the other control hosts only;
    // daemons still reach all. Requires: `relay_to_control`.
    void partition_control(std::size_t index, bool partitioned);

    // Declares the classes and waits until every daemon runs them and knows
    // its own upstream. False where it doesn't happen.
    [[nodiscard]] bool declare(const std::vector<declared_class>& classes);

    // Until every running daemon runs `revision` or a later one; false where
    // one crashed.
    [[nodiscard]] bool wait_in_force(
        std::uint64_t revision,
        std::chrono::milliseconds limit = std::chrono::seconds(30)) const;

    // Until a call of the class through each running daemon is completed; false
    // where one crashed.
    [[nodiscard]] bool wait_served(const offered_class& offered) const;

    void control_upstream(std::size_t index, const std::string& behavior) const;

    // Sum of the executions of a service's upstreams, killed ones included;
    // without a name, of all upstreams.
    [[nodiscard]] execution_counts
    executions_by_token(std::string_view service = {}) const;

    // The logs of all processes, for a test that fails.
    [[nodiscard]] std::string logs() const;

    // A settings file, log or journal in the deployment's folder.
    [[nodiscard]] std::string path(std::string_view name) const;
    [[nodiscard]] std::string file(std::string_view name) const;

private:
    struct state;

    explicit deployment(std::unique_ptr<state> state);

    // False where a daemon crashed or didn't come to hold it within `limit`;
    // one that was ended is left out.
    [[nodiscard]] bool wait_for_each_daemon(
        const std::function<bool(std::size_t)>& condition,
        std::chrono::milliseconds limit) const;

    std::unique_ptr<state> state_;
};

} // namespace nutmegusher::test_support

#endif
