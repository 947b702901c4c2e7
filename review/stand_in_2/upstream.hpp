// A stand-in for an application backend, as the platform's pages describe it.
#ifndef REVIEW_STAND_IN_2_UPSTREAM_HPP
#define REVIEW_STAND_IN_2_UPSTREAM_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "site.hpp"

namespace stand_in
{

struct upstream_options
{
    std::string id;
    std::string service;
    std::string zone;
    address at;
    // Where it reports.
    address reports;
    // Unix milliseconds of its start by its own clock; 0: not reported.
    std::int64_t born = 0;
    milliseconds work{20};
    // Runs a request and returns the answer's status; instead of `work`.
    std::function<int(const message&)> run;
    int slots = 32;
};

// A request that reached the upstream.
struct arrival
{
    clock::time_point at;
    std::string attempt;
    // False if it was rejected with 421.
    bool ran = false;
};

// One lifetime of a backend. It serves and reports from its construction on.
class upstream
{
public:
    upstream(upstream_options options, record& events);
    // Ends as a crash does.
    ~upstream();

    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;

    // Reports `draining` until it is acknowledged. Returns the time of the
    // acknowledgement; nullopt if there was none until `timeout`.
    std::optional<clock::time_point> drain(milliseconds timeout);
    // Sends DELETE; returns the status.
    int withdraw();

    [[nodiscard]] std::vector<arrival> arrivals() const;

private:
    void serve(connection& from);
    void report_regularly();
    int report();

    upstream_options options_;
    record& events_;
    mutable std::mutex mutex_;
    std::vector<arrival> arrivals_;
    std::mutex reporting_;
    int sequence_ = 0;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> stopped_ = false;
    std::unique_ptr<server> server_;
    std::thread reports_;
};

} // namespace stand_in

#endif
