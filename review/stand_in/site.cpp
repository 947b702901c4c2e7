#include "site.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <random>
#include <regex>
#include <sstream>
#include <stdexcept>

namespace review
{

namespace
{

constexpr const char* program = "target/bin/nutmegusherd";
// Runs a program that is killed when its parent exits; on every Debian system.
constexpr const char* setpriv_path = "/usr/bin/setpriv";
constexpr int log_mode = 0644;

constexpr int control_count = 5;
constexpr int seed_count = 3;
constexpr int first_control = 1;
constexpr int first_sidecar = 11;
constexpr int reservation_host = 254;

constexpr std::uint16_t application_port = 8301;
constexpr std::uint16_t readiness_port = 8302;
constexpr std::uint16_t outbound_port = 8304;
constexpr std::uint16_t control_port = 8306;
constexpr std::uint16_t peer_port = 7620;
constexpr std::uint16_t reservation_port = 8300;

constexpr milliseconds report_interval(1500);
constexpr milliseconds poll_interval(20);
constexpr milliseconds start_limit(30000);
constexpr milliseconds ready_limit(20000);
constexpr unsigned status_ok = 200;
constexpr unsigned http_11 = 11;

tcp::endpoint endpoint_of(const std::string& ip, std::uint16_t port)
{
    return {asio::ip::make_address(ip), port};
}

std::string text_of(const tcp::endpoint& from)
{
    return from.address().to_string() + ":" + std::to_string(from.port());
}

std::string read_file(const std::string& name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void replace_all(
    std::string& text, const std::string& from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
    {
        text.replace(at, from.size(), to);
    }
}

std::int64_t milliseconds_since_epoch()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

std::string make_folder()
{
    std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    return name;
}

std::string zone_of_control(int index)
{
    constexpr std::array zones{"lhr-a", "lhr-b", "isb-a", "khi-a", "lhr-a"};
    return zones.at(static_cast<std::size_t>(index));
}

} // namespace

record::record(const std::string& file)
    : file_(file)
{
}

void record::line(const std::string& text)
{
    const std::scoped_lock lock(mutex_);
    const std::chrono::duration<double> since = steady::now() - start_;
    file_ << std::fixed << std::setprecision(3) << std::setw(8) << since.count()
          << " " << text << "\n";
    file_.flush();
}

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

address_block::address_block()
{
    std::random_device device;
    for (int tries = 0; tries < 1000; ++tries)
    {
        const auto second = 16 + device() % 200;
        const auto third = device() % 250;
        prefix_ =
            "127." + std::to_string(second) + "." + std::to_string(third) + ".";
        boost::system::error_code failed;
        reservation_ = tcp::acceptor(context_);
        reservation_.open(tcp::v4(), failed);
        reservation_.bind(
            endpoint_of(ip(reservation_host), reservation_port), failed);
        if (!failed)
        {
            reservation_.listen(1, failed);
        }
        if (!failed)
        {
            return;
        }
    }
    throw std::runtime_error("no free addresses");
}

std::string address_block::ip(int host) const
{
    return prefix_ + std::to_string(host);
}

daemon_process::daemon_process(
    const std::string& settings_file, const std::string& log_file)
{
    std::array<std::string, 6> words{
        setpriv_path,
        "--pdeathsig",
        "KILL",
        program,
        "--settings-variable",
        "NUTMEGUSHER_NODE_FILE"};
    std::array<char*, 7> arguments{};
    std::transform(
        words.begin(),
        words.end(),
        arguments.begin(),
        [](std::string& word)
        {
            return word.data();
        });
    std::string variable = "NUTMEGUSHER_NODE_FILE=" + settings_file;
    std::string path = "PATH=/usr/bin:/bin";
    std::array<char*, 3> environment{variable.data(), path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions,
        STDOUT_FILENO,
        log_file.c_str(),
        O_WRONLY | O_CREAT | O_APPEND,
        log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failed = posix_spawn(
        &id_,
        setpriv_path,
        &actions,
        nullptr,
        arguments.data(),
        environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        throw std::runtime_error("can't start the daemon");
    }
}

daemon_process::~daemon_process()
{
    kill();
}

void daemon_process::signal(int number) const
{
    if (!ended_)
    {
        ::kill(id_, number);
    }
}

void daemon_process::kill()
{
    if (ended_)
    {
        return;
    }
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
    ended_ = true;
}

bool daemon_process::running()
{
    if (!ended_ && ::waitpid(id_, nullptr, WNOHANG) == id_)
    {
        ended_ = true;
    }
    return !ended_;
}

std::uint64_t daemon_process::resident_mib() const
{
    std::ifstream file("/proc/" + std::to_string(id_) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    const auto page = static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
    return resident * page / (1024 * 1024);
}

std::optional<text_response>
send_once(const tcp::endpoint& to, const text_request& request)
{
    return client_connection(to).exchange(request);
}

client_connection::client_connection(tcp::endpoint to)
    : to_(std::move(to))
{
}

std::optional<text_response>
client_connection::exchange(const text_request& request)
{
    boost::system::error_code failed;
    if (!socket_.is_open())
    {
        buffer_.clear();
        socket_.connect(to_, failed);
    }
    if (!failed)
    {
        http::write(socket_, request, failed);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    if (!failed)
    {
        http::read(socket_, buffer_, parser, failed);
    }
    const bool keeps = !failed && parser.keep_alive();
    if (!keeps)
    {
        socket_ = tcp::socket(context_);
    }
    if (failed)
    {
        return std::nullopt;
    }
    return parser.release();
}

text_request make_request(
    http::verb method,
    const std::string& path,
    const std::string& id,
    milliseconds timeout)
{
    text_request request(method, path, http_11);
    request.set(http::field::host, "members.example");
    request.set(attempt_id, id);
    request.set(time_left, std::to_string(timeout.count()));
    return request;
}

site::site(std::vector<sidecar_plan> sidecars, record& notes)
    : notes_(notes)
    , folder_(make_folder())
    , folder_guard_(
          nullptr,
          [folder = folder_](void*)
          {
              std::error_code ignored;
              std::filesystem::remove_all(folder, ignored);
          })
    , plans_(std::move(sidecars))
{
    for (int index = 0; index < control_count; ++index)
    {
        const auto name = "core-" + std::to_string(index);
        const auto ip = block_.ip(first_control + index);
        auto fields = common_values(name, ip, zone_of_control(index));
        fields["data_directory"] = folder_ + "/" + name;
        const auto file = write_settings("platform/core.ini", name, fields);
        controls_.push_back(std::make_unique<daemon_process>(
            file, folder_ + "/" + name + ".log"));
    }
    for (std::size_t index = 0; index < plans_.size(); ++index)
    {
        sidecars_.push_back(start_sidecar(index));
    }
}

site::values site::common_values(
    const std::string& name,
    const std::string& ip,
    const std::string& zone) const
{
    const auto address = [&ip](std::uint16_t port)
    {
        return ip + ":" + std::to_string(port);
    };
    return {
        {"node_name", name},
        {"zone", zone},
        {"region", "pk-central"},
        {"ip_address", ip},
        {"listen_addresses.outbound", address(outbound_port)},
        {"listen_addresses.readiness", address(readiness_port)},
        {"listen_addresses.control_plane", address(control_port)},
        {"internal_port_range.0", std::to_string(peer_port)},
        {"fault_tolerance.machines", "2"},
        {"bounds.grace_period_s", "6"}};
}

// Fills in a template as the platform does, as far as the project's templates
// need it: single values, the list of seeds, `bootstrap`, and sections for
// bounds that a small deployment doesn't have.
std::string site::write_settings(
    const std::string& template_file,
    const std::string& name,
    const values& fields) const
{
    std::string seeds;
    for (int index = 0; index < seed_count; ++index)
    {
        seeds += (index == 0 ? "" : ",") + block_.ip(first_control + index) +
                 ":" + std::to_string(control_port);
    }
    std::string text = read_file(template_file);
    replace_all(text, "{{#seed_nodes}}{{.}}{{,}}{{/seed_nodes}}", seeds);
    replace_all(
        text,
        "{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}",
        "yes");
    for (const auto& [field, value] : fields)
    {
        replace_all(text, "{{" + field + "}}", value);
    }
    const std::regex section(R"(\{\{#([a-z_.]+)\}\}[^#]*\{\{/\1\}\}\n?)");
    text = std::regex_replace(text, section, "");
    auto file = folder_ + "/" + name + ".ini";
    std::ofstream(file) << text;
    return file;
}

std::unique_ptr<daemon_process> site::start_sidecar(std::size_t index) const
{
    const auto name = "side-" + std::to_string(index);
    const auto ip = block_.ip(first_sidecar + static_cast<int>(index));
    auto fields = common_values(name, ip, plans_.at(index).zone);
    fields["service"] = plans_.at(index).service;
    const auto file = write_settings("platform/sidecar.ini", name, fields);
    return std::make_unique<daemon_process>(
        file, folder_ + "/" + name + ".log");
}

bool site::configure(const std::vector<route_plan>& routes)
{
    std::string resources;
    int number = 0;
    for (const auto& each : routes)
    {
        resources +=
            R"({"resource_type":"routes","metadata":{"name":"r-)" +
            std::to_string(++number) +
            R"("},"specification":{"host":"members.example","path_prefix":")" +
            each.path_prefix + R"(","kind":")" + each.kind +
            R"(","timeout_ms":)" + std::to_string(each.timeout_ms) +
            R"(,"target_latency_ms":1500,"priority":0,"service":")" +
            each.service + R"(","max_attempts":)" +
            std::to_string(each.max_attempts) + "}},";
    }
    std::vector<std::string> services;
    for (const auto& each : plans_)
    {
        const bool is_new =
            std::find(services.begin(), services.end(), each.service) ==
            services.end();
        if (is_new)
        {
            services.push_back(each.service);
            resources +=
                R"({"resource_type":"services","metadata":{"name":")" +
                each.service +
                R"("},"specification":{"health_check_path":"/health",)"
                R"("connection_limit":652,"protocol":"h1","tls":false}},)";
        }
    }
    resources += R"({"resource_type":"limits","metadata":{},"specification":)"
                 R"({"max_header_bytes":16384,"max_body_bytes":67108864,)"
                 R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    text_request order(http::verb::put, "/api/configuration", http_11);
    order.set(http::field::host, "control");
    order.set(http::field::content_type, "application/json");
    order.body() =
        R"({"version":1,"base_version":0,"resources":[)" + resources + "]}";
    order.prepare_payload();
    int next = 0;
    const bool accepted = wait_until(
        [&]
        {
            const auto to = endpoint_of(
                block_.ip(first_control + next++ % seed_count), control_port);
            const auto answer = send_once(to, order);
            return answer && answer->result_int() == status_ok;
        },
        start_limit);
    notes_.line(
        accepted ? "configuration accepted" : "configuration not accepted");
    text_request question(http::verb::get, "/api/readiness", http_11);
    question.set(http::field::host, "readiness");
    const auto is_ready = [&](std::size_t index)
    {
        const auto ip = block_.ip(first_sidecar + static_cast<int>(index));
        const auto answer =
            send_once(endpoint_of(ip, readiness_port), question);
        return answer && answer->result_int() == status_ok;
    };
    bool ready = accepted;
    for (std::size_t index = 0; ready && index < plans_.size(); ++index)
    {
        ready = wait_until(
            [&]
            {
                return is_ready(index);
            },
            ready_limit);
    }
    return ready;
}

tcp::endpoint site::outbound(std::size_t sidecar) const
{
    return endpoint_of(
        block_.ip(first_sidecar + static_cast<int>(sidecar)), outbound_port);
}

tcp::endpoint site::application(std::size_t sidecar) const
{
    return endpoint_of(
        block_.ip(first_sidecar + static_cast<int>(sidecar)), application_port);
}

tcp::endpoint site::reports(std::size_t sidecar) const
{
    return endpoint_of(
        block_.ip(first_sidecar + static_cast<int>(sidecar)), control_port);
}

const sidecar_plan& site::plan(std::size_t sidecar) const
{
    return plans_.at(sidecar);
}

daemon_process& site::sidecar(std::size_t index)
{
    return *sidecars_.at(index);
}

void site::restart_sidecar(std::size_t index)
{
    sidecars_.at(index)->kill();
    sidecars_.at(index) = start_sidecar(index);
}

std::size_t site::size() const
{
    return plans_.size();
}

backend::backend(backend_options options, script serve)
    : options_(std::move(options))
    , serve_(std::move(serve))
    , acceptor_(context_, options_.address)
    , born_(milliseconds_since_epoch())
    , accept_thread_(
          [this]
          {
              accept_all();
          })
    , report_thread_(
          [this]
          {
              send_reports();
          })
{
}

backend::~backend()
{
    end();
}

void backend::end()
{
    if (stopping_.exchange(true))
    {
        return;
    }
    boost::system::error_code ignored;
    tcp::socket wake(context_);
    wake.connect(options_.address, ignored);
    accept_thread_.join();
    report_thread_.join();
    acceptor_.close(ignored);
    for (auto& socket : sockets_)
    {
        socket->shutdown(tcp::socket::shutdown_both, ignored);
    }
    for (auto& each : connection_threads_)
    {
        each.join();
    }
}

void backend::stop_reports()
{
    reporting_ = false;
}

const backend_options& backend::options() const
{
    return options_;
}

bool backend::is_known() const
{
    return known_;
}

void backend::accept_all()
{
    while (!stopping_)
    {
        boost::system::error_code failed;
        auto socket = std::make_shared<tcp::socket>(context_);
        acceptor_.accept(*socket, failed);
        if (failed || stopping_)
        {
            continue;
        }
        socket->set_option(tcp::no_delay(true), failed);
        const std::scoped_lock lock(mutex_);
        sockets_.push_back(socket);
        connection_threads_.emplace_back(
            [this, socket]
            {
                serve_(*socket);
                boost::system::error_code ignored;
                socket->shutdown(tcp::socket::shutdown_both, ignored);
            });
    }
}

text_request backend::make_report()
{
    text_request report(
        http::verb::put, "/api/instances/" + options_.id, http_11);
    report.set(http::field::host, "control");
    report.set(http::field::content_type, "application/json");
    report.body() = R"({"address":")" + text_of(options_.address) +
                    R"(","born":)" + std::to_string(born_) +
                    R"(,"server_info":{"service":")" + options_.service +
                    R"(","version":"v1","zone":")" + options_.zone +
                    R"(","slots":)" + std::to_string(options_.slots) +
                    R"(},"status":{"state":"ready","sequence":)" +
                    std::to_string(++sequence_) + R"(,"cold_remaining_ms":0}})";
    report.prepare_payload();
    return report;
}

text_request backend::make_withdrawal() const
{
    text_request withdrawal(
        http::verb::delete_, "/api/instances/" + options_.id, http_11);
    withdrawal.set(http::field::host, "control");
    withdrawal.set(http::field::content_type, "application/json");
    withdrawal.body() = R"({"born":)" + std::to_string(born_) + "}";
    withdrawal.prepare_payload();
    return withdrawal;
}

void backend::send_reports()
{
    auto next = steady::now();
    while (!stopping_)
    {
        if (!reporting_ || steady::now() < next)
        {
            std::this_thread::sleep_for(poll_interval);
            continue;
        }
        next = steady::now() + report_interval;
        const auto answer = send_once(options_.reports, make_report());
        known_ = known_ || (answer && answer->result_int() == status_ok);
    }
}

text_response
make_answer(const backend_options& of, const text_request& request)
{
    text_response answer(http::status::ok, http_11);
    answer.set(attempt_id, request[attempt_id]);
    const auto expected = request[expected_instance];
    if (!expected.empty() && expected != of.id)
    {
        answer.result(http::status::misdirected_request);
        answer.set(not_executed, "1");
    }
    else
    {
        answer.set(signature, "signed." + of.id);
        answer.body() = "ran at " + of.id;
    }
    answer.keep_alive(request.keep_alive());
    answer.prepare_payload();
    return answer;
}

bool wait_until(const std::function<bool()>& condition, milliseconds limit)
{
    const auto end = steady::now() + limit;
    while (!condition())
    {
        if (steady::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace review
