// Runs a load in the background of a test.
//
//     running_load running(options);
//     ...                               // kill, wait for calls, restart
//     const auto records = running.get();
//
// The load lasts for `options.length` and then continues until `get`. With a
// load of fixed length, a test that waits for further calls failed whenever
// its steps took longer than the load.
#ifndef NUTMEGUSHER_TESTING_RUNNING_LOAD_HPP
#define NUTMEGUSHER_TESTING_RUNNING_LOAD_HPP

#include "testing/load_client.hpp"

#include <future>
#include <stop_token>
#include <vector>

namespace nutmegusher::test_support
{

class running_load
{
public:
    explicit running_load(load_options options)
    {
        options.max_length = max_length;
        options.stop = stop_.get_token();
        records_ = std::async(
            std::launch::async,
            [options = std::move(options)]
            {
                return run_load(options);
            });
    }

    running_load(running_load&&) = default;
    running_load& operator=(running_load&&) = delete;
    running_load(const running_load&) = delete;
    running_load& operator=(const running_load&) = delete;

    ~running_load()
    {
        stop_.request_stop();
    }

    // Stops new requests once `length` has passed.
    void end_after_length()
    {
        stop_.request_stop();
    }

    // Waits until `length` has passed and all answers have arrived.
    // Requires: not called before.
    [[nodiscard]] std::vector<load_record> get()
    {
        end_after_length();
        return records_.get();
    }

    // Bounds a hanging test: five waits of at most 30 s each.
    static constexpr std::chrono::milliseconds max_length{150'000};

private:
    std::stop_source stop_;
    std::future<std::vector<load_record>> records_;
};

} // namespace nutmegusher::test_support

#endif
