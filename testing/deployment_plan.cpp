#include "testing/deployment_plan.hpp"

#include <fstream>

namespace nutmegusher::test_support::internal
{

namespace
{

constexpr std::uint32_t first_control = 1;
constexpr std::uint32_t first_daemon = 11;
constexpr std::uint16_t callers_port = 8000;
constexpr std::uint16_t upstream_port = 8001;
constexpr std::uint16_t peers_port = 8002;
constexpr std::uint16_t operators_port = 8003;
constexpr std::uint16_t service_port = 9000;
constexpr std::uint16_t relay_port = 9100;

std::uint32_t control_ip(std::size_t index)
{
    return first_control + static_cast<std::uint32_t>(index);
}

std::uint32_t daemon_ip(std::size_t index)
{
    return first_daemon + static_cast<std::uint32_t>(index);
}

std::string host_section(const std::string& name, const std::string& place)
{
    return "[host]\nid = " + name + "\ndata_center = " + place +
           "\nregion = region-1\n";
}

} // namespace

deployment_plan::deployment_plan(
    const deployment_options& options, address_block block)
    : options_(options)
    , block_(std::move(block))
{
}

std::string deployment_plan::control_name(std::size_t index) const
{
    return "c" + std::to_string(index);
}

std::string deployment_plan::daemon_name(std::size_t index) const
{
    return "d" + std::to_string(index);
}

std::string deployment_plan::control_operators(std::size_t index) const
{
    return block_.address(control_ip(index), operators_port);
}

std::string deployment_plan::daemon_operators(std::size_t index) const
{
    return block_.address(daemon_ip(index), operators_port);
}

std::string deployment_plan::daemon_callers(std::size_t index) const
{
    return block_.address(daemon_ip(index), callers_port);
}

std::string deployment_plan::daemon_upstream(std::size_t index) const
{
    return block_.address(daemon_ip(index), upstream_port);
}

std::string deployment_plan::upstream_address(std::size_t index) const
{
    return block_.address(daemon_ip(index), service_port);
}

std::string deployment_plan::upstream_relay(std::size_t index) const
{
    return block_.address(daemon_ip(index), relay_port);
}

std::string deployment_plan::announced_address(std::size_t index) const
{
    return options_.relay_to_upstreams ? upstream_relay(index)
                                       : upstream_address(index);
}

std::size_t deployment_plan::relayed_upstreams() const
{
    return options_.relay_to_upstreams ? options_.upstreams.size() : 0;
}

std::string deployment_plan::control_peers(std::size_t index) const
{
    return block_.address(control_ip(index), peers_port);
}

std::string deployment_plan::control_address(std::size_t index) const
{
    return options_.relay_to_control
               ? block_.address(control_ip(index), relay_port)
               : control_peers(index);
}

std::vector<control_relay_addresses> deployment_plan::control_relays() const
{
    std::vector<control_relay_addresses> relays;
    if (options_.relay_to_control)
    {
        for (std::size_t i = 0; i < options_.control_hosts; ++i)
        {
            relays.push_back({control_address(i), control_peers(i)});
        }
    }
    return relays;
}

std::string deployment_plan::control_addresses() const
{
    std::string text;
    for (std::size_t i = 0; i < options_.control_hosts; ++i)
    {
        text += (i == 0 ? "" : ", ") + control_address(i);
    }
    return text;
}

std::string deployment_plan::control_settings(
    std::size_t index, const std::string& data_folder) const
{
    std::string initial;
    for (std::size_t to = 0; to < options_.control_hosts; ++to)
    {
        initial += (to == 0 ? "" : ", ") + control_name(to) + "=" +
                   control_address(to);
    }
    const std::string shutdown =
        options_.control_killed_after_ms == 0
            ? ""
            : "\n[shutdown]\nkilled_after_ms = " +
                  std::to_string(options_.control_killed_after_ms) + "\n";
    return host_section(control_name(index), "dc-1") +
           "\n[listen]\npeers = " + control_peers(index) +
           "\noperators = " + control_operators(index) +
           "\n\n[control_hosts]\naddresses = " + control_addresses() +
           "\n\n[control]\ndata_folder = " + data_folder +
           "\ninitial = " + initial + "\n" + shutdown;
}

std::string deployment_plan::daemon_settings(std::size_t index) const
{
    const auto& deployed = options_.upstreams[index];
    const auto peers = block_.address(daemon_ip(index), peers_port);
    std::string text =
        host_section(daemon_name(index), deployed.data_center) +
        "threads = " + std::to_string(options_.threads) + "\n" +
        "\n[listen]\ncallers = " + daemon_callers(index) +
        "\nupstream = " + daemon_upstream(index) + "\npeers = " + peers +
        "\noperators = " + daemon_operators(index) +
        "\n\n[control_hosts]\naddresses = " + control_addresses() + "\n";
    if (options_.accept_ms > 0)
    {
        text +=
            "\n[shutdown]\naccept_ms = " + std::to_string(options_.accept_ms) +
            "\n";
    }
    if (options_.naive)
    {
        text += "\n[measurement]\nnaive = yes\n";
    }
    return text;
}

std::string write_settings(
    const temporary_folder& folder,
    const std::string& name,
    const std::string& text)
{
    auto path = folder.path(name + ".ini");
    std::ofstream(path) << text;
    return path;
}

} // namespace nutmegusher::test_support::internal
