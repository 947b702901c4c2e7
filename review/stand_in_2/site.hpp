// A small deployment on loopback addresses: control hosts and daemons are the
// project's program, started as the deploy file says; upstreams, callers and
// the operator are stand-ins.
#ifndef REVIEW_STAND_IN_2_SITE_HPP
#define REVIEW_STAND_IN_2_SITE_HPP

#include <sys/types.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http.hpp"

namespace stand_in
{

// What was sent, answered and run, with the time since the start.
class record
{
public:
    explicit record(const std::string& path);

    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::string path_;
    clock::time_point started_ = clock::now();
};

// One process of the project's program.
class process
{
public:
    process() = default;
    ~process();

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    // Runs `target/bin/nutmegusherd` in the folder `root`.
    bool start(
        const std::string& root,
        const std::string& settings,
        const std::string& log);
    void signal(int number) const;
    // Kills it and waits for its end.
    void kill();
    // Returns whether it has ended by itself.
    [[nodiscard]] bool has_ended();

private:
    pid_t id_ = -1;
};

struct route
{
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
};

struct site_options
{
    std::size_t control_hosts = 3;
    // The service beside each daemon.
    std::vector<std::string> services;
    std::vector<route> routes;
    int timeout_ms = 5000;
    // Further resources of the configuration, each followed by a comma.
    std::string more_resources;
    std::string daemon_settings;
};

class site
{
public:
    // `root` is the repository, `folder` an empty folder for settings and data.
    site(
        site_options options,
        std::string root,
        std::string folder,
        record& events);

    // Starts all processes.
    bool start();
    // Sends the first configuration until it is accepted.
    bool configure(milliseconds timeout);
    // Waits until the daemon says that it is ready.
    bool wait_until_ready(std::size_t daemon, milliseconds timeout);

    bool start_control(std::size_t index);
    bool start_daemon(std::size_t index);

    // Sends a configuration of this version; returns the status, 0 for none.
    int put_configuration(
        std::size_t control_host, int version, int base, milliseconds timeout);

    [[nodiscard]] address control(std::size_t index) const;
    [[nodiscard]] address callers(std::size_t daemon) const;
    [[nodiscard]] address reports(std::size_t daemon) const;
    [[nodiscard]] address readiness(std::size_t daemon) const;
    [[nodiscard]] address upstream(std::size_t daemon) const;

    process& control_process(std::size_t index)
    {
        return *controls_[index];
    }
    process& daemon_process(std::size_t index)
    {
        return *daemons_[index];
    }

    site_options& options()
    {
        return options_;
    }

private:
    [[nodiscard]] std::string control_ip(std::size_t index) const;
    [[nodiscard]] std::string daemon_ip(std::size_t index) const;
    [[nodiscard]] std::string seeds() const;
    [[nodiscard]] std::string configuration(int version, int base) const;

    site_options options_;
    std::string root_;
    std::string folder_;
    record& events_;
    // The second byte of all addresses.
    int block_;
    bool bootstrap_ = true;
    std::vector<std::unique_ptr<process>> controls_;
    std::vector<std::unique_ptr<process>> daemons_;
};

// The host name of all routes.
inline constexpr const char* host_name = "members.example";

} // namespace stand_in

#endif
