// Names, addresses and settings of a deployment's processes.
#ifndef NUTMEGUSHER_TESTING_DEPLOYMENT_PLAN_HPP
#define NUTMEGUSHER_TESTING_DEPLOYMENT_PLAN_HPP

#include "testing/deployment.hpp"

#include <memory>
#include <string>
#include <vector>

namespace nutmegusher::test_support::internal
{

// Addresses of the relay in front of a control host.
struct control_relay_addresses
{
    std::string listen;
    std::string target;
};

class deployment_plan
{
public:
    deployment_plan(const deployment_options& options, address_block block);

    [[nodiscard]] const deployment_options& options() const
    {
        return options_;
    }

    [[nodiscard]] std::string control_name(std::size_t index) const;
    [[nodiscard]] std::string daemon_name(std::size_t index) const;
    [[nodiscard]] std::string control_operators(std::size_t index) const;
    [[nodiscard]] std::string daemon_operators(std::size_t index) const;
    [[nodiscard]] std::string daemon_callers(std::size_t index) const;
    [[nodiscard]] std::string daemon_upstream(std::size_t index) const;
    [[nodiscard]] std::string upstream_address(std::size_t index) const;
    [[nodiscard]] std::string upstream_relay(std::size_t index) const;
    // The relay's address if there is a relay, else the upstream's.
    [[nodiscard]] std::string announced_address(std::size_t index) const;

    [[nodiscard]] std::size_t relayed_upstreams() const;
    [[nodiscard]] std::vector<control_relay_addresses> control_relays() const;

    [[nodiscard]] std::string
    control_settings(std::size_t index, const std::string& data_folder) const;
    [[nodiscard]] std::string daemon_settings(std::size_t index) const;

private:
    [[nodiscard]] std::string control_peers(std::size_t index) const;
    // The address under which other hosts reach a control host.
    [[nodiscard]] std::string control_address(std::size_t index) const;
    [[nodiscard]] std::string control_addresses() const;

    deployment_options options_;
    address_block block_;
};

// Writes "<name>.ini" into the folder and returns its path.
[[nodiscard]] std::string write_settings(
    const temporary_folder& folder,
    const std::string& name,
    const std::string& text);

} // namespace nutmegusher::test_support::internal

#endif
