// The settings of one process, read from an INI file and checked whole before
// anything starts. `docs/SETTINGS.md` is the reference; a test holds it
// against `known_settings()`.
//
//     leaf::result<settings> read = read_settings("/etc/nutmegusher.ini");
//
// Fails with `settings_error`, which names the file, the line and the key.
#ifndef NUTMEGUSHER_NODE_SETTINGS_HPP
#define NUTMEGUSHER_NODE_SETTINGS_HPP

#include "nutmegusher/base/base.hpp"

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

// Why a settings file is refused.
struct settings_error
{
    std::string file;
    std::size_t line = 0; // 0: the file as a whole
    std::string section;
    std::string key;
    std::string value;
    settings_problem problem = settings_problem::not_ini;
};

// One line for a person: "node.ini:7: [listen] peers: bad address 'x'".
[[nodiscard]] std::string to_string(const settings_error& error);

// Who this process is.
struct host_settings
{
    host_id id;
    data_center_name data_center;
    region_name region;
    std::uint32_t threads = 2;
};

// Where it listens. Absent listeners aren't opened.
struct listen_settings
{
    std::optional<endpoint> callers;
    std::optional<endpoint> upstream;
    endpoint peers;
    endpoint operators;
    // Serves counters and times to whoever collects them.
    std::optional<endpoint> metrics;
};

// A control host by name, as in `initial`.
struct named_address
{
    host_id host;
    endpoint address;
};

// The part of a control host.
struct control_host_settings
{
    std::filesystem::path data_folder;
    std::vector<named_address> initial;
    std::uint32_t claim_groups = 4;
    // With an empty `initial`: the control hosts under [control_hosts] found
    // the cluster.
    bool bootstrap = false;
    // Losses at a time that the voters bear, twice as many and one; 0: no
    // voter is added or removed without an operator.
    std::uint32_t tolerated_losses = 0;
    bool voter = true;
};

struct log_settings
{
    log_format format = log_format::json;
    std::uint32_t lines_per_second = default_event_rate_limit;
};

// Upper bounds on what comes from outside.
struct limit_settings
{
    std::uint32_t connections = 4096;
    std::uint32_t header_bytes = 16384;
    // Bodies up to this size are kept whole, so that a call can be tried again
    // and an answer is passed on only when it is complete.
    std::uint32_t buffered_body_bytes = 65536;
    // The largest request of a class that may not be repeated.
    std::uint32_t claimed_body_bytes = 1048576;
};

// Switches the decisions under load to naive ones, as the baseline of
// measurements; never for production.
struct measurement_settings
{
    bool naive = false;
};

// The upstream on this host.
struct upstream_settings
{
    // What its sub-calls say where they come from; also what members and
    // clerks on this host call as.
    service_name service;
};

// How the process ends.
struct shutdown_settings
{
    // New connections are still accepted for so long, as callers hear of the
    // stop only then.
    duration accept_for{0};
    // What is in flight afterwards is cut.
    duration limit = std::chrono::seconds(60);
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
    // Whose names and formats callers, upstreams and operators use.
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

// "127.0.0.1:80" or "[::1]:80"; names aren't looked up.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

// Errors: `settings_error`.
[[nodiscard]] leaf::result<settings>
read_settings(const std::filesystem::path& file);

// The same over a text; `file_name` is for the errors.
[[nodiscard]] leaf::result<settings>
parse_settings(std::string_view file_name, std::string_view text);

} // namespace nutmegusher::node

#endif
