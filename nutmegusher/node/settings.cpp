#include "nutmegusher/node/settings.hpp"

#include "nutmegusher/node/settings_reader.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace nutmegusher::node
{

namespace
{

namespace pt = boost::property_tree;
using internal::settings_reader;
using internal::trimmed;

constexpr std::array setting_table{
    known_setting{"host", "id", "", "name of this host, unique"},
    known_setting{"host", "data_center", "", "data centre of this host"},
    known_setting{"host", "region", "", "region of the data centre"},
    known_setting{"host", "threads", "2", "worker threads, 1 to 64"},
    known_setting{"listen", "callers", "", "ip:port for members and clerks"},
    known_setting{
        "listen",
        "upstream",
        "",
        "ip:port for the upstream on this host: announcements and sub-calls"},
    known_setting{"listen", "peers", "", "ip:port for daemons"},
    known_setting{"listen", "operators", "", "ip:port for operators"},
    known_setting{
        "listen", "metrics", "", "ip:port that serves /metrics alone"},
    known_setting{
        "control_hosts",
        "addresses",
        "",
        "ip:port of the control hosts' peer listeners, comma separated"},
    known_setting{
        "control_hosts",
        "peer_port",
        "",
        "replaces the port of each address, for when the addresses name "
        "another listener"},
    known_setting{
        "control",
        "data_folder",
        "",
        "folder of the replicated logs; makes this process a control host"},
    known_setting{
        "control",
        "initial",
        "",
        "host=ip:port of the control hosts at the first start"},
    known_setting{
        "control", "claim_groups", "4", "replicated logs of claims, 0 to 64"},
    known_setting{
        "control",
        "bootstrap",
        "no",
        "yes: if 'initial' is empty, the control hosts under [control_hosts] "
        "found the cluster; only at the first start"},
    known_setting{
        "control",
        "tolerated_losses",
        "0",
        "simultaneous host failures that the voters must survive, 0 to 7; the "
        "control hosts keep twice as many voters plus one by themselves; 0: an "
        "operator does"},
    known_setting{"control", "role", "voter", "voter or relay"},
    known_setting{"log", "format", "json", "json or text"},
    known_setting{
        "log",
        "lines_per_second",
        "20",
        "lines of one event a second, 1 to 100000"},
    known_setting{
        "limits", "connections", "4096", "callers' connections at a time"},
    known_setting{
        "limits", "header_bytes", "16384", "request line and headers, bytes"},
    known_setting{
        "limits",
        "buffered_body_bytes",
        "65536",
        "largest body that is buffered for a retry, bytes"},
    known_setting{
        "limits",
        "claimed_body_bytes",
        "1048576",
        "largest request of a class that may not be repeated, bytes"},
    known_setting{
        "limits",
        "memory_mb",
        "0",
        "memory that the process may use, in 10^6 bytes, 0 to 1000000; from it "
        "and from the largest body follows how much requests and answers may "
        "hold; 0: the machine's"},
    known_setting{
        "listen",
        "dialect",
        "own",
        "own or platform: whose names and formats the listeners speak"},
    known_setting{
        "upstream",
        "service",
        "",
        "service of the upstream on this host, as routes name it"},
    known_setting{
        "shutdown",
        "accept_ms",
        "0",
        "how long connections are still accepted and kept after the stop has "
        "begun; at least half a second"},
    known_setting{
        "shutdown",
        "killed_after_ms",
        "66000",
        "when the supervisor kills the process after the stop has begun; what "
        "is in flight an eleventh of it before is cut"},
    known_setting{
        "teams",
        "revocation_ms",
        "0",
        "how long after its removal from the configuration a key may still let "
        "requests in, on every host; requests with a key are refused where the "
        "configuration may be older than nine tenths of it; 0: no bound"},
    known_setting{
        "teams",
        "quota_window_s",
        "5",
        "length of the windows in which quotas are bounded, seconds, 0.1 "
        "to "
        "3600; on control hosts, as the two below"},
    known_setting{
        "teams",
        "quota_overage",
        "0.1",
        "what may run in a window beyond a quota, as a fraction of it, 0 "
        "to 10"},
    known_setting{
        "teams",
        "quota_slack",
        "20",
        "requests that may run in a window beyond that, 0 to 1000000"},
    known_setting{
        "measurement",
        "naive",
        "no",
        "yes: naive decisions, as a baseline of measurements only"},
};

constexpr std::uint32_t max_threads = 64;
constexpr std::uint32_t max_claim_groups = 64;
constexpr std::uint32_t max_tolerated_losses = 7;
constexpr std::uint32_t max_lines_per_second = 100000;
constexpr std::uint32_t max_connections = 1000000;
constexpr std::uint32_t min_header_bytes = 1024;
constexpr std::uint32_t max_header_bytes = 1048576;
constexpr std::uint32_t max_memory_mb = 1000000;
constexpr std::uint32_t max_shutdown_ms = 3600000;
constexpr std::uint32_t default_killed_after_ms = 66000;
constexpr std::uint32_t min_killed_after_ms = 1000;
constexpr std::uint32_t max_port = 65535;
constexpr std::uint32_t max_revocation_ms = 3600000;
constexpr double min_quota_window_s = 0.1;
constexpr double max_quota_window_s = 3600;
constexpr double max_quota_overage = 10;
constexpr double max_quota_slack = 1000000;
constexpr std::uint32_t max_body_bytes = 16777216;

std::string_view problem_text(settings_problem problem)
{
    switch (problem)
    {
    case settings_problem::unreadable_file:
        return "can't be read";
    case settings_problem::not_ini:
        return "isn't an INI line";
    case settings_problem::unknown_section:
        return "unknown section";
    case settings_problem::unknown_key:
        return "unknown key";
    case settings_problem::missing_key:
        return "missing";
    case settings_problem::repeated_key:
        return "is set more than once";
    case settings_problem::bad_address:
        return "isn't ip:port";
    case settings_problem::bad_number:
        return "isn't a non-negative number";
    case settings_problem::out_of_range:
        return "out of range";
    case settings_problem::bad_name:
        return "isn't a name (1 to 64 of a-z, A-Z, 0-9, '-', '_', '.')";
    case settings_problem::bad_choice:
        return "isn't an allowed value";
    case settings_problem::empty_list:
        return "is an empty list";
    }
    return "refused";
}

leaf::result<host_settings> read_host(const settings_reader& in)
{
    host_settings host;
    BOOST_LEAF_ASSIGN(host.id, in.required_name<host_id>("host", "id"));
    BOOST_LEAF_ASSIGN(
        host.data_center,
        in.required_name<data_center_name>("host", "data_center"));
    BOOST_LEAF_ASSIGN(
        host.region, in.required_name<region_name>("host", "region"));
    BOOST_LEAF_ASSIGN(
        host.threads,
        in.count("host", "threads", host.threads, 1, max_threads));
    return host;
}

leaf::result<listen_settings> read_listen(const settings_reader& in)
{
    listen_settings listen;
    BOOST_LEAF_ASSIGN(listen.callers, in.optional_address("listen", "callers"));
    BOOST_LEAF_ASSIGN(
        listen.upstream, in.optional_address("listen", "upstream"));
    BOOST_LEAF_ASSIGN(listen.peers, in.address("listen", "peers"));
    BOOST_LEAF_ASSIGN(listen.operators, in.address("listen", "operators"));
    BOOST_LEAF_ASSIGN(listen.metrics, in.optional_address("listen", "metrics"));
    return listen;
}

leaf::result<control_host_settings> read_control(const settings_reader& in)
{
    control_host_settings control;
    BOOST_LEAF_AUTO(folder, in.required("control", "data_folder"));
    control.data_folder = folder;
    BOOST_LEAF_ASSIGN(
        control.bootstrap,
        in.choice("control", "bootstrap", "yes", "no", false));
    BOOST_LEAF_ASSIGN(
        control.tolerated_losses,
        in.count("control", "tolerated_losses", 0, 0, max_tolerated_losses));
    // With tolerated losses set, control hosts form the cluster by themselves,
    // so `initial` is optional.
    if (control.tolerated_losses == 0 || in.text("control", "initial"))
    {
        BOOST_LEAF_ASSIGN(
            control.initial, in.named_addresses("control", "initial"));
    }
    BOOST_LEAF_ASSIGN(
        control.claim_groups,
        in.count(
            "control",
            "claim_groups",
            control.claim_groups,
            0,
            max_claim_groups));
    BOOST_LEAF_ASSIGN(
        control.voter, in.choice("control", "role", "voter", "relay", true));
    return control;
}

leaf::result<limit_settings> read_limits(const settings_reader& in)
{
    limit_settings limits;
    BOOST_LEAF_ASSIGN(
        limits.connections,
        in.count(
            "limits", "connections", limits.connections, 1, max_connections));
    BOOST_LEAF_ASSIGN(
        limits.header_bytes,
        in.count(
            "limits",
            "header_bytes",
            limits.header_bytes,
            min_header_bytes,
            max_header_bytes));
    BOOST_LEAF_ASSIGN(
        limits.buffered_body_bytes,
        in.count(
            "limits",
            "buffered_body_bytes",
            limits.buffered_body_bytes,
            0,
            max_body_bytes));
    BOOST_LEAF_ASSIGN(
        limits.claimed_body_bytes,
        in.count(
            "limits",
            "claimed_body_bytes",
            limits.claimed_body_bytes,
            0,
            max_body_bytes));
    BOOST_LEAF_ASSIGN(
        limits.memory_mb, in.count("limits", "memory_mb", 0, 0, max_memory_mb));
    return limits;
}

leaf::result<shutdown_settings> read_shutdown(const settings_reader& in)
{
    shutdown_settings shutdown;
    BOOST_LEAF_AUTO(
        accept, in.count("shutdown", "accept_ms", 0, 0, max_shutdown_ms));
    BOOST_LEAF_AUTO(
        killed_after,
        in.count(
            "shutdown",
            "killed_after_ms",
            default_killed_after_ms,
            min_killed_after_ms,
            max_shutdown_ms));
    shutdown.accept_for = std::chrono::milliseconds(accept);
    // The last eleventh is reserved for closing connections.
    shutdown.limit = std::chrono::milliseconds(killed_after) * 10 / 11;
    return shutdown;
}

leaf::result<team_settings> read_teams(const settings_reader& in)
{
    team_settings teams;
    BOOST_LEAF_AUTO(
        revocation,
        in.count("teams", "revocation_ms", 0, 0, max_revocation_ms));
    // The last tenth is for clocks that run at unequal speeds.
    teams.max_configuration_age =
        std::chrono::milliseconds(revocation) * 9 / 10;
    return teams;
}

leaf::result<quota_bounds> read_quotas(const settings_reader& in)
{
    quota_bounds bounds;
    using seconds = std::chrono::duration<double>;
    BOOST_LEAF_AUTO(
        window,
        in.fraction(
            "teams",
            "quota_window_s",
            seconds(bounds.window).count(),
            min_quota_window_s,
            max_quota_window_s));
    bounds.window = std::chrono::duration_cast<duration>(seconds(window));
    BOOST_LEAF_ASSIGN(
        bounds.overage,
        in.fraction(
            "teams", "quota_overage", bounds.overage, 0, max_quota_overage));
    BOOST_LEAF_ASSIGN(
        bounds.slack,
        in.fraction("teams", "quota_slack", bounds.slack, 0, max_quota_slack));
    return bounds;
}

leaf::result<settings> read_all(const settings_reader& in)
{
    settings all;
    BOOST_LEAF_CHECK(in.check_keys());
    BOOST_LEAF_ASSIGN(all.host, read_host(in));
    BOOST_LEAF_ASSIGN(all.listen, read_listen(in));
    BOOST_LEAF_ASSIGN(
        all.control_hosts, in.addresses("control_hosts", "addresses"));
    BOOST_LEAF_AUTO(
        peer_port, in.count("control_hosts", "peer_port", 0, 1, max_port));
    if (peer_port != 0)
    {
        for (auto& address : all.control_hosts)
        {
            address.port(static_cast<std::uint16_t>(peer_port));
        }
    }
    if (in.has("control"))
    {
        BOOST_LEAF_ASSIGN(all.control, read_control(in));
    }
    BOOST_LEAF_AUTO(json, in.choice("log", "format", "json", "text", true));
    all.log.format = json ? log_format::json : log_format::text;
    BOOST_LEAF_ASSIGN(
        all.log.lines_per_second,
        in.count(
            "log",
            "lines_per_second",
            all.log.lines_per_second,
            1,
            max_lines_per_second));
    BOOST_LEAF_ASSIGN(all.limits, read_limits(in));
    BOOST_LEAF_ASSIGN(all.shutdown, read_shutdown(in));
    BOOST_LEAF_ASSIGN(all.teams, read_teams(in));
    BOOST_LEAF_ASSIGN(all.quotas, read_quotas(in));
    BOOST_LEAF_AUTO(
        own, in.choice("listen", "dialect", "own", "platform", true));
    all.dialect = own ? "own" : "platform";
    all.upstream.service =
        service_name(in.text("upstream", "service").value_or(""));
    BOOST_LEAF_ASSIGN(
        all.measurement.naive,
        in.choice("measurement", "naive", "yes", "no", false));
    return all;
}

settings_problem problem_of(const pt::ini_parser_error& error)
{
    return error.message().find("duplicate") != std::string::npos
               ? settings_problem::repeated_key
               : settings_problem::not_ini;
}

// PropertyTree's INI parser supports only ';' comments.
std::string without_hash_comments(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::string out;
    std::string line;
    while (std::getline(in, line))
    {
        const auto item = trimmed(line);
        if (!item.empty() && item.front() == '#')
        {
            line = ";";
        }
        out += line;
        out += '\n';
    }
    return out;
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const auto digits = text.substr(colon + 1);
    const auto* const end = digits.data() + digits.size();
    const auto [rest, code] = std::from_chars(digits.data(), end, port);
    if (code != std::errc() || rest != end || digits.empty())
    {
        return std::nullopt;
    }
    auto host = std::string(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failed;
    const auto address = boost::asio::ip::make_address(host, failed);
    if (failed)
    {
        return std::nullopt;
    }
    return endpoint(address, port);
}

std::string to_string(const settings_error& error)
{
    std::string text = error.file;
    if (error.line > 0)
    {
        text += ":" + std::to_string(error.line);
    }
    text += ": ";
    if (!error.section.empty())
    {
        text += "[" + error.section + "] ";
    }
    if (!error.key.empty())
    {
        text += error.key + ": ";
    }
    if (!error.value.empty())
    {
        text += "'" + error.value + "' ";
    }
    text += problem_text(error.problem);
    return text;
}

std::span<const known_setting> known_settings()
{
    return setting_table;
}

leaf::result<settings>
parse_settings(std::string_view file_name, std::string_view text)
{
    pt::ptree tree;
    try
    {
        std::istringstream in(without_hash_comments(text));
        pt::read_ini(in, tree);
    }
    catch (const pt::ini_parser_error& error)
    {
        return leaf::new_error(settings_error{
            std::string(file_name),
            static_cast<std::size_t>(error.line()),
            "",
            "",
            "",
            problem_of(error)});
    }
    return read_all(settings_reader(file_name, text, tree));
}

leaf::result<settings> read_settings(const std::filesystem::path& file)
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf()))
    {
        return leaf::new_error(settings_error{
            file.string(), 0, "", "", "", settings_problem::unreadable_file});
    }
    return parse_settings(file.string(), text.str());
}

} // namespace nutmegusher::node
