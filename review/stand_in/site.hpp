// A small deployment on loopback addresses: the project's own daemon as
// separate processes, and stand-ins for the platform, backends and clients.
#ifndef REVIEW_STAND_IN_SITE_HPP
#define REVIEW_STAND_IN_SITE_HPP

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;
using text_request = http::request<http::string_body>;
using text_response = http::response<http::string_body>;

constexpr const char* attempt_id = "nutmegusher-attempt-id";
constexpr const char* expected_instance = "nutmegusher-expected-instance";
constexpr const char* not_executed = "nutmegusher-not-executed";
constexpr const char* signature = "nutmegusher-response-signature";
constexpr const char* time_left = "nutmegusher-timeout-remaining-ms";
constexpr const char* server_load = "nutmegusher-server-load";

// Writes `record.txt`; each line begins with the time since the start.
class record
{
public:
    explicit record(const std::string& file);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point start_ = steady::now();
};

// True unless the variable TROUBLE is 0.
[[nodiscard]] bool has_trouble();

// Addresses 127.a.b.1 to 127.a.b.250, reserved by a listener at 127.a.b.254.
class address_block
{
public:
    address_block();
    [[nodiscard]] std::string ip(int host) const;

private:
    asio::io_context context_;
    tcp::acceptor reservation_{context_};
    std::string prefix_;
};

// A process of the project. Killed on destruction.
class daemon_process
{
public:
    daemon_process(
        const std::string& settings_file, const std::string& log_file);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    void signal(int number) const;
    // Kills the process and waits until it has ended.
    void kill();
    // False once the process has ended.
    [[nodiscard]] bool running();
    // Resident memory in MiB.
    [[nodiscard]] std::uint64_t resident_mib() const;

private:
    pid_t id_ = -1;
    bool ended_ = false;
};

// Sends one request on a new connection; no value on failure.
[[nodiscard]] std::optional<text_response>
send_once(const tcp::endpoint& to, const text_request& request);

// A client's connection, kept for many requests.
class client_connection
{
public:
    explicit client_connection(tcp::endpoint to);

    // Connects if needed, sends the request and reads the answer. No value if
    // the connection ended without a complete answer.
    [[nodiscard]] std::optional<text_response>
    exchange(const text_request& request);

private:
    tcp::endpoint to_;
    asio::io_context context_;
    tcp::socket socket_{context_};
    beast::flat_buffer buffer_;
};

// A request of a client with a new attempt id.
[[nodiscard]] text_request make_request(
    http::verb method,
    const std::string& path,
    const std::string& id,
    milliseconds timeout);

struct sidecar_plan
{
    std::string service;
    std::string zone;
};

struct route_plan
{
    std::string path_prefix;
    std::string kind;
    std::string service;
    int timeout_ms = 5000;
    int max_attempts = 2;
};

// Five control hosts, of which three are the seeds, and the given sidecars.
class site
{
public:
    explicit site(std::vector<sidecar_plan> sidecars, record& notes);

    // Sends the first configuration until it is accepted. Waits until every
    // sidecar is ready.
    [[nodiscard]] bool configure(const std::vector<route_plan>& routes);

    [[nodiscard]] tcp::endpoint outbound(std::size_t sidecar) const;
    [[nodiscard]] tcp::endpoint application(std::size_t sidecar) const;
    // The address at which the sidecar takes its backend's reports.
    [[nodiscard]] tcp::endpoint reports(std::size_t sidecar) const;
    [[nodiscard]] const sidecar_plan& plan(std::size_t sidecar) const;
    [[nodiscard]] daemon_process& sidecar(std::size_t index);
    void restart_sidecar(std::size_t index);
    [[nodiscard]] std::size_t size() const;

private:
    using values = std::map<std::string, std::string>;

    [[nodiscard]] values common_values(
        const std::string& name,
        const std::string& ip,
        const std::string& zone) const;
    [[nodiscard]] std::string write_settings(
        const std::string& template_file,
        const std::string& name,
        const values& fields) const;
    [[nodiscard]] std::unique_ptr<daemon_process>
    start_sidecar(std::size_t index) const;

    record& notes_;
    address_block block_;
    std::string folder_;
    std::shared_ptr<void> folder_guard_;
    std::vector<sidecar_plan> plans_;
    std::vector<std::unique_ptr<daemon_process>> controls_;
    std::vector<std::unique_ptr<daemon_process>> sidecars_;
};

struct backend_options
{
    std::string id;
    std::string service;
    std::string zone;
    tcp::endpoint address;
    tcp::endpoint reports;
    int slots = 64;
};

// A backend that listens, reports itself each 1.5 s, and serves each
// connection on a thread of its own.
class backend
{
public:
    // Serves one connection until it ends.
    using script = std::function<void(tcp::socket&)>;

    backend(backend_options options, script serve);
    ~backend();
    backend(const backend&) = delete;
    backend& operator=(const backend&) = delete;

    [[nodiscard]] const backend_options& options() const;
    // Whether a report was acknowledged.
    [[nodiscard]] bool is_known() const;

    // Sends no further reports by itself.
    void stop_reports();
    // The next report, to be sent at any time later.
    [[nodiscard]] text_request make_report();
    // What a backend that leaves sends.
    [[nodiscard]] text_request make_withdrawal() const;
    // Ends the backend: closes its listener and all connections.
    void end();

private:
    void accept_all();
    void send_reports();

    backend_options options_;
    script serve_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> reporting_ = true;
    std::atomic<bool> known_ = false;
    std::atomic<std::uint64_t> sequence_ = 0;
    std::int64_t born_ = 0;
    std::mutex mutex_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::vector<std::thread> connection_threads_;
    std::thread accept_thread_;
    std::thread report_thread_;
};

// The answer that a sound backend gives: 421 if the request names another
// instance, otherwise a signed 200.
[[nodiscard]] text_response
make_answer(const backend_options& of, const text_request& request);

[[nodiscard]] bool
wait_until(const std::function<bool()>& condition, milliseconds limit);

} // namespace review

#endif
