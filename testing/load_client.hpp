// Open-loop load on daemons, with every answer checked.
//
// Arrivals don't wait for answers, as members and clerks don't. The answer's
// bytes are generated from the request's token, so that a truncated answer or
// another caller's is detected.
#ifndef NUTMEGUSHER_TESTING_LOAD_CLIENT_HPP
#define NUTMEGUSHER_TESTING_LOAD_CLIENT_HPP

#include "nutmegusher/base/base.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

namespace nutmegusher::test_support
{

// The load of one class.
struct offered_class
{
    std::string name;
    std::string method = "GET";
    std::string target = "/";
    // Arrivals a second.
    double rate = 10.0;
    // Not zero: multiplies the rate from `surge_from` on for `surge_for`.
    double surge_factor = 0.0;
    std::chrono::milliseconds surge_from{0};
    std::chrono::milliseconds surge_for{0};
    // Sends an idempotency key, the same for all tries of a request.
    bool keyed = false;
    std::uint32_t customers = 10;
    std::uint64_t body_bytes = 0;
    std::uint64_t answer_bytes = 64;
    // Negative: the upstream's default.
    double service_ms = -1.0;
    std::chrono::milliseconds timeout{5000};
};

enum class client_retries : std::uint8_t
{
    none,
    at_once,         // at once, regardless of the answer
    as_answer_allows // after the answer's `retry-after`
};

struct load_options
{
    // "ip:port" of the daemons' callers listeners; each try takes the next.
    std::vector<std::string> daemons;
    std::vector<offered_class> classes;
    std::chrono::milliseconds length{1000};
    // If longer than `length`, the load continues until `stop` is requested or
    // this has passed, so that a slow test has load throughout.
    std::chrono::milliseconds max_length{0};
    std::stop_token stop;
    bool poisson = true;
    client_retries retries = client_retries::none;
    std::uint32_t max_tries = 1;
    std::uint64_t seed = 1;
    // Further arrivals are dropped.
    std::uint64_t max_requests = 1'000'000;
    // Prefix of tokens and keys, which keeps concurrent loads distinct.
    std::string prefix = "load";
};

// The outcome of a request as its caller knows it.
enum class caller_outcome : std::uint8_t
{
    completed, // a complete answer of the upstream
    not_run,   // every try was reported as not run
    unknown,   // reported as unknown, or lost after it was sent
    wrong      // a complete answer with the wrong bytes
};

[[nodiscard]] std::string_view to_text(caller_outcome outcome);

struct load_record
{
    std::string class_name;
    std::string token;
    std::string key;
    std::string customer;
    std::string request_id;
    caller_outcome outcome = caller_outcome::unknown;
    unsigned status = 0;
    // `nutmeg-reason`, or the http_failure's name.
    std::string reason;
    std::uint32_t tries = 0;
    // From the planned arrival to the end of the last try.
    duration latency{};
    duration arrival{};
    duration finished{};
    double service_ms = -1.0;
};

// Runs the load to its end and returns the records in order of arrival.
[[nodiscard]] std::vector<load_record> run_load(const load_options& options);

// One call of a class, with its retries.
[[nodiscard]] load_record run_one(const load_options& options);

// A human-readable table by class.
[[nodiscard]] std::string
to_table(const std::vector<load_record>& records, const load_options& options);

// The same summary as JSON.
[[nodiscard]] std::string
to_json(const std::vector<load_record>& records, const load_options& options);

// "arrival_us,class,customer,service_us" lines, for replays.
[[nodiscard]] std::string to_trace(const std::vector<load_record>& records);

} // namespace nutmegusher::test_support

#endif
