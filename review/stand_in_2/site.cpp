#include "site.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <utility>

namespace stand_in
{

namespace
{

constexpr std::uint16_t application_port = 8301;
constexpr std::uint16_t readiness_port = 8302;
constexpr std::uint16_t callers_port = 8304;
constexpr std::uint16_t control_port = 8306;
constexpr std::uint16_t peers_port = 7620;
constexpr int first_block = 20;
constexpr int blocks = 200;
constexpr int status_ok = 200;
constexpr milliseconds pause(100);

// A block of loopback addresses of which the ports are free.
int free_block()
{
    const auto start = static_cast<int>(::getpid());
    for (int i = 0; i < blocks; ++i)
    {
        const int block = first_block + (start + i) % blocks;
        const auto ip = "127." + std::to_string(block) + ".1.1";
        const server probe({ip, peers_port}, nullptr);
        if (probe.is_listening())
        {
            return block;
        }
    }
    return first_block;
}

std::string common_settings(const std::string& name, const std::string& zone)
{
    return "[host]\nid = " + name + "\ndata_center = " + zone +
           "\nregion = region-1\nthreads = 1\n\n[listen]\n"
           "dialect = platform\n";
}

constexpr const char* end_of_settings =
    "\n[shutdown]\naccept_ms = 2500\nkilled_after_ms = 6000\n\n"
    "[limits]\nconnections = 3000\nmemory_mb = 260\n";

} // namespace

record::record(const std::string& path)
    : path_(path)
{
    std::ofstream(path_, std::ios::trunc).flush();
}

void record::line(const std::string& text)
{
    const std::chrono::duration<double> at = clock::now() - started_;
    const std::scoped_lock lock(mutex_);
    std::ofstream(path_, std::ios::app)
        << std::fixed << std::setprecision(3) << std::setw(8) << at.count()
        << " s  " << text << "\n";
}

process::~process()
{
    kill();
}

bool process::start(
    const std::string& root,
    const std::string& settings,
    const std::string& log)
{
    id_ = ::fork();
    if (id_ != 0)
    {
        return id_ > 0;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    if (::chdir(root.c_str()) != 0)
    {
        ::_exit(1);
    }
    ::setenv("NUTMEGUSHER_NODE_FILE", settings.c_str(), 1);
    ::execl(
        "target/bin/nutmegusherd",
        "nutmegusherd",
        "--settings-variable",
        "NUTMEGUSHER_NODE_FILE",
        nullptr);
    ::_exit(1);
}

void process::signal(int number) const
{
    if (id_ > 0)
    {
        ::kill(id_, number);
    }
}

void process::kill()
{
    if (id_ > 0)
    {
        ::kill(id_, SIGKILL);
        ::waitpid(id_, nullptr, 0);
        id_ = -1;
    }
}

bool process::has_ended()
{
    if (id_ > 0 && ::waitpid(id_, nullptr, WNOHANG) == id_)
    {
        id_ = -1;
    }
    return id_ <= 0;
}

site::site(
    site_options options, std::string root, std::string folder, record& events)
    : options_(std::move(options))
    , root_(std::move(root))
    , folder_(std::move(folder))
    , events_(events)
    , block_(free_block())
{
    for (std::size_t i = 0; i < options_.control_hosts; ++i)
    {
        controls_.push_back(std::make_unique<process>());
    }
    for (std::size_t i = 0; i < options_.services.size(); ++i)
    {
        daemons_.push_back(std::make_unique<process>());
    }
}

std::string site::control_ip(std::size_t index) const
{
    return "127." + std::to_string(block_) + ".1." + std::to_string(index + 1);
}

std::string site::daemon_ip(std::size_t index) const
{
    return "127." + std::to_string(block_) + ".2." + std::to_string(index + 1);
}

address site::control(std::size_t index) const
{
    return {control_ip(index), control_port};
}

address site::callers(std::size_t daemon) const
{
    return {daemon_ip(daemon), callers_port};
}

address site::reports(std::size_t daemon) const
{
    return {daemon_ip(daemon), control_port};
}

address site::readiness(std::size_t daemon) const
{
    return {daemon_ip(daemon), readiness_port};
}

address site::upstream(std::size_t daemon) const
{
    return {daemon_ip(daemon), application_port};
}

std::string site::seeds() const
{
    std::string text;
    for (std::size_t i = 0; i < std::min<std::size_t>(controls_.size(), 3); ++i)
    {
        text += (i == 0 ? "" : ",") + control(i).text();
    }
    return text;
}

bool site::start_control(std::size_t index)
{
    const auto name = "core-" + std::to_string(index + 1);
    const auto file = folder_ + "/" + name + ".ini";
    const auto data = folder_ + "/" + name;
    std::filesystem::create_directories(data);
    std::ofstream(file)
        << common_settings(name, "zone-" + std::to_string(index + 1))
        << "operators = " << control(index).text()
        << "\npeers = " << control_ip(index) << ":" << peers_port
        << "\n\n[control_hosts]\naddresses = " << seeds()
        << "\npeer_port = " << peers_port
        << "\n\n[control]\ndata_folder = " << data
        << "\nclaim_groups = 0\nbootstrap = " << (bootstrap_ ? "yes" : "no")
        << "\ntolerated_losses = " << options_.control_hosts / 2 << "\n"
        << end_of_settings;
    return controls_[index]->start(root_, file, folder_ + "/" + name + ".log");
}

bool site::start_daemon(std::size_t index)
{
    const auto name = "sidecar-" + std::to_string(index + 1);
    const auto file = folder_ + "/" + name + ".ini";
    std::ofstream(file) << common_settings(
                               name, "zone-" + std::to_string(index % 3 + 1))
                        << "callers = " << callers(index).text()
                        << "\nupstream = " << reports(index).text()
                        << "\noperators = " << readiness(index).text()
                        << "\npeers = " << daemon_ip(index) << ":" << peers_port
                        << "\n\n[upstream]\nservice = "
                        << options_.services[index]
                        << "\n\n[control_hosts]\naddresses = " << seeds()
                        << "\npeer_port = " << peers_port << "\n\n"
                        << options_.daemon_settings << end_of_settings;
    return daemons_[index]->start(root_, file, folder_ + "/" + name + ".log");
}

bool site::start()
{
    bool started = true;
    for (std::size_t i = 0; i < controls_.size(); ++i)
    {
        started = start_control(i) && started;
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        started = start_daemon(i) && started;
    }
    bootstrap_ = false;
    return started;
}

std::string site::configuration(int version, int base) const
{
    std::ostringstream text;
    text << "{\"version\":" << version << ",\"base_version\":" << base
         << ",\"resources\":[" << options_.more_resources;
    for (const auto& each : options_.routes)
    {
        text << "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\""
             << each.name << "\"},\"specification\":{\"host\":\"" << host_name
             << "\",\"path_prefix\":\"" << each.prefix << "\",\"kind\":\""
             << each.kind << "\",\"timeout_ms\":" << options_.timeout_ms
             << ",\"target_latency_ms\":1500,\"priority\":0,\"service\":\""
             << each.service << "\",\"max_attempts\":2}},";
    }
    std::vector<std::string> listed;
    for (const auto& each : options_.services)
    {
        if (std::find(listed.begin(), listed.end(), each) == listed.end())
        {
            listed.push_back(each);
            text << "{\"resource_type\":\"services\",\"metadata\":{\"name\":\""
                 << each
                 << "\"},\"specification\":{\"health_check_path\":\"/health\","
                    "\"connection_limit\":500,\"protocol\":\"h1\","
                    "\"tls\":false}},";
        }
    }
    text << "{\"resource_type\":\"limits\",\"metadata\":{},\"specification\":{"
            "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
            "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}]}";
    return text.str();
}

int site::put_configuration(
    std::size_t control_host, int version, int base, milliseconds timeout)
{
    const auto to = control(control_host);
    const auto request = make_request(
        "PUT",
        "/api/configuration",
        {{"host", to.text()}, {"content-type", "application/json"}},
        configuration(version, base));
    const auto answer = exchange(to, request, timeout);
    const int status = answer ? answer->status() : 0;
    events_.line(
        "operator: configuration " + std::to_string(version) + " on " +
        std::to_string(base) + " to core-" + std::to_string(control_host + 1) +
        ": " + std::to_string(status));
    return status;
}

bool site::configure(milliseconds timeout)
{
    const auto until = clock::now() + timeout;
    std::size_t next = 0;
    while (clock::now() < until)
    {
        const auto at = next++ % controls_.size();
        if (put_configuration(at, 1, 0, milliseconds(1000)) == status_ok)
        {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

bool site::wait_until_ready(std::size_t daemon, milliseconds timeout)
{
    const auto until = clock::now() + timeout;
    const auto at = readiness(daemon);
    while (clock::now() < until)
    {
        const auto request =
            make_request("GET", "/api/readiness", {{"host", at.text()}}, "");
        const auto answer = exchange(at, request, milliseconds(1000));
        if (answer && answer->status() == status_ok)
        {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

} // namespace stand_in
