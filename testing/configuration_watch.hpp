// Concurrent operators that resend changes, and a check that every change
// reported as accepted stays in force.
#ifndef NUTMEGUSHER_TESTING_CONFIGURATION_WATCH_HPP
#define NUTMEGUSHER_TESTING_CONFIGURATION_WATCH_HPP

#include "testing/deployment.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace nutmegusher::test_support
{

// While it runs, several operators change one class's target concurrently, and
// all daemons are polled for their revision.
class configuration_watch
{
public:
    // Requires: the class is declared; `target` outlives the value.
    configuration_watch(
        const deployment& target,
        std::string class_name,
        std::uint32_t operators);
    ~configuration_watch();

    configuration_watch(const configuration_watch&) = delete;
    configuration_watch& operator=(const configuration_watch&) = delete;

    void stop();

    [[nodiscard]] std::uint64_t accepted() const;
    [[nodiscard]] std::uint64_t conflicts() const;
    [[nodiscard]] std::uint64_t observations() const;

    // Returns an empty text, or the problems: a daemon whose revision went
    // back, two changes accepted at one revision, or a daemon that doesn't run
    // the last accepted target in time. Requires: `stop` was called and all
    // faults are repaired.
    [[nodiscard]] std::string find_problems() const;

private:
    void run_operator(std::uint32_t operator_index);
    void poll_daemons();
    void record_accepted(std::uint64_t revision, std::uint32_t latency_ms);

    const deployment& target_;
    std::string class_name_;
    std::atomic<bool> running_ = true;
    mutable std::mutex mutex_;
    // Accepted targets by revision.
    std::map<std::uint64_t, std::uint32_t> accepted_;
    std::vector<std::string> problems_;
    std::atomic<std::uint64_t> based_on_ = 0;
    std::atomic<std::uint64_t> conflicts_ = 0;
    std::atomic<std::uint64_t> observations_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace nutmegusher::test_support

#endif
