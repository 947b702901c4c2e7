// The settings of one process, read from an INI file and validated completely
// before anything starts. `docs/SETTINGS.md` is the reference; a test compares
// it with `known_settings()`.
//
//     leaf::result<settings> read = read_settings("/etc/nutmegusher.ini");
//
// Fails with `settings_error`, which names the file, the line and the key.
#ifndef NUTMEGUSHER_NODE_SETTINGS_HPP
#define NUTMEGUSHER_NODE_SETTINGS_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/teams/teams.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher::node
{

using endpoint = boost::asio::ip::tcp::endpoint;

enum class settings_problem : std::uint8_t
{
    unreadable_file,
    not_ini,
    unknown_section,
    unknown_key,
    missing_key,
    repeated_key,
    bad_address,
    bad_number,
    out_of_range,
    bad_name,
    bad_choice,
    empty_list
};

// Why a settings file is rejected.
struct settings_error
{
    std::string file;
    std::size_t line = 0; // 0: the error concerns the whole file
    std::string section;
    std::string key;
    std::string value;
    settings_problem problem = settings_problem::not_ini;
};

// One readable line: "node.ini:7: [listen] peers: 'x' isn't ip:port".
[[nodiscard]] std::string to_string(const settings_error& error);

// Identity, location and threads of this process.
struct host_settings
{
    host_id id;
    data_center_name data_center;
    region_name region;
    std::uint32_t threads = 2;
};

// Listen addresses of the process. Absent listeners aren't opened.
struct listen_settings
{
    std::optional<endpoint> callers;
    std::optional<endpoint> upstream;
    endpoint peers;
    endpoint operators;
    // Serves only /metrics, to metrics collectors.
    std::optional<endpoint> metrics;
};

// Name and address of a control host, as listed in `initial`.
struct named_address
{
    host_id host;
    endpoint address;
};

// Section [control]; present only on a control host.
struct control_host_settings
{
    std::filesystem::path data_folder;
    std::vector<named_address> initial;
    std::uint32_t claim_groups = 4;
    // If `initial` is empty, the control hosts under [control_hosts] found the
    // cluster.
    bool bootstrap = false;
    // Simultaneous host failures that the quorum must survive: the control
    // hosts keep 2 * tolerated_losses + 1 voters by themselves. 0: only an
    // operator adds or removes voters.
    std::uint32_t tolerated_losses = 0;
    bool voter = true;
};

struct log_settings
{
    log_format format = log_format::json;
    std::uint32_t lines_per_second = default_event_rate_limit;
};

// Upper bounds on connections and requests from outside.
struct limit_settings
{
    std::uint32_t connections = 4096;
    std::uint32_t header_bytes = 16384;
    // Bodies up to this size are buffered, so that a call can be retried and an
    // answer is forwarded only when it is complete.
    std::uint32_t buffered_body_bytes = 65536;
    // Largest request body in bytes of a class that may not be repeated.
    std::uint32_t claimed_body_bytes = 1048576;
    // Memory that the process may use, in 10^6 bytes; 0: the machine's.
    std::uint32_t memory_mb = 0;
};

// Replaces the decisions under load by naive ones, as a baseline for
// measurements; not for production.
struct measurement_settings
{
    bool naive = false;
};

// The upstream on this host.
struct upstream_settings
{
    // Calling service of the upstream's sub-calls, and of requests by members
    // and clerks on this host.
    service_name service;
};

// Time limits of a graceful shutdown.
struct shutdown_settings
{
    // How long new connections are still accepted, for callers that haven't
    // yet learned of the shutdown.
    duration accept_for{0};
    // Requests still in flight after this time are cut off.
    duration limit = std::chrono::seconds(60);
};

// Teams, on daemons.
struct team_settings
{
    // Requests with a key are refused once the daemon's configuration may lack
    // changes that are older than this; zero: never.
    duration max_configuration_age{0};
};

struct settings
{
    host_settings host;
    listen_settings listen;
    std::vector<endpoint> control_hosts;
    std::optional<control_host_settings> control;
    log_settings log;
    limit_settings limits;
    upstream_settings upstream;
    shutdown_settings shutdown;
    team_settings teams;
    // On control hosts.
    quota_bounds quotas;
    // Names and formats that the listeners speak to callers, upstreams and
    // operators: "own" or "platform".
    std::string dialect = "own";
    measurement_settings measurement;
};

// One key that a settings file may hold.
struct known_setting
{
    std::string_view section;
    std::string_view key;
    std::string_view default_value; // empty: none
    std::string_view meaning;
};

[[nodiscard]] std::span<const known_setting> known_settings();

// Parses "127.0.0.1:80" or "[::1]:80"; host names aren't resolved. Returns
// nothing if the text isn't an address and a port.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

// Reads and validates a settings file.
// Errors: `settings_error`.
[[nodiscard]] leaf::result<settings>
read_settings(const std::filesystem::path& file);

// Like `read_settings`, for a text in memory; `file_name` is used in errors.
[[nodiscard]] leaf::result<settings>
parse_settings(std::string_view file_name, std::string_view text);

} // namespace nutmegusher::node

#endif
