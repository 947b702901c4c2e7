// A load beside what a test does.
//
//     running_load running(options);
//     ...                               // kill, wait for calls, restart
//     const auto records = running.get();
//
// It lasts for `options.length` and then goes on until `get`, so that a step
// of the test that takes long still finds requests arriving. With a load that
// ended by itself a test that waits for further calls failed whenever its
// steps together took longer than the load.
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

    // Requests arrive until `length` has passed, and no longer.
    void end_after_length()
    {
        stop_.request_stop();
    }

    // Waits until `length` has passed and all answers are there. Once.
    [[nodiscard]] std::vector<load_record> get()
    {
        end_after_length();
        return records_.get();
    }

    // A test that hangs ends by then: five waits of 30 s, the bound of each.
    static constexpr std::chrono::milliseconds max_length{150'000};

private:
    std::stop_source stop_;
    std::future<std::vector<load_record>> records_;
};

} // namespace nutmegusher::test_support

#endif
