// Runs commands against scripted replies instead of a process. For tests only.
#ifndef NUTMEGUSHER_CTL_CTL_TEST_SUPPORT_HPP
#define NUTMEGUSHER_CTL_CTL_TEST_SUPPORT_HPP

#include "nutmegusher/ctl/ctl.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace nutmegusher::ctl
{

// Fixture: `script_reply` sets the replies, `run_with_address` runs a command
// line, and `queries`, `out` and `error` hold what it sent and printed.
class ctl_test : public ::testing::Test
{
protected:
    // Appends a reply to the target's queue. The last reply of a queue is
    // repeated; a target without replies is unreachable.
    void script_reply(const std::string& target, exchange_result reply)
    {
        replies[target].push_back(std::move(reply));
    }

    void
    script_reply(const std::string& target, unsigned status, std::string body)
    {
        script_reply(target, http_reply{status, std::move(body)});
    }

    exit_code run_line(const std::string& line)
    {
        std::vector<std::string> words;
        std::istringstream in(line);
        for (std::string word; in >> word;)
        {
            words.push_back(word);
        }
        return run(words, env);
    }

    // Runs the line with a valid `--address`.
    exit_code run_with_address(const std::string& line)
    {
        return run_line(line + " --address 127.0.0.1:1");
    }

    exchange_result reply_to(const http_query& query)
    {
        queries.push_back(query);
        auto& scripted = replies[query.target];
        if (scripted.empty())
        {
            return exchange_failure::unreachable;
        }
        auto reply = scripted.front();
        if (scripted.size() > 1)
        {
            scripted.pop_front();
        }
        return reply;
    }

    std::map<std::string, std::deque<exchange_result>> replies;
    std::vector<http_query> queries;
    std::vector<std::string> addresses;
    manual_clock clock;
    std::ostringstream out;
    std::ostringstream error;
    environment env{
        .out = out,
        .error = error,
        .connect =
            [this](const std::string& address) -> leaf::result<http_exchange>
        {
            if (address.find(':') == std::string::npos)
            {
                return leaf::new_error(bad_address{address});
            }
            addresses.push_back(address);
            return http_exchange(
                [this](const http_query& query)
                {
                    return reply_to(query);
                });
        },
        .now =
            [this]
        {
            return clock.now();
        },
        .sleep =
            [this](duration time)
        {
            clock.advance(time);
        },
        .random =
            []
        {
            return 0xabcdefULL;
        },
        .default_address = "",
        .author = "ana"};
};

inline constexpr const char* two_classes = R"({"revision": 9, "classes": [
 {"name": "payout", "service": "disbursement", "method": "POST",
  "path_prefix": "/pay", "rank": 0, "repeatable": false, "bulk": false,
  "target": {"latency_ms": 800, "completion_ppm": 999000}, "revision": 7},
 {"name": "statement", "service": "statements", "method": "GET",
  "path_prefix": "/", "rank": 5, "repeatable": true, "bulk": true,
  "target": {"latency_ms": 9000, "completion_ppm": 950000}, "revision": 9}]})";

inline constexpr const char* accepted_reply =
    R"({"verdict": "accepted", "revision": 10})";

} // namespace nutmegusher::ctl

#endif
