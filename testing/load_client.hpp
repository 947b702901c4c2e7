// Callers: open-loop load on daemons, with every answer checked.
//
// Arrivals don't wait for answers, as members and clerks don't. Every request
// has a token from which the answer's bytes follow, so that a part of an
// answer or somebody else's is found.
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
    // Not zero: after `surge_from` and for `surge_for`, the rate times this.
    double surge_factor = 0.0;
    std::chrono::milliseconds surge_from{0};
    std::chrono::milliseconds surge_for{0};
    // Brings an idempotency key, which retries repeat.
    bool keyed = false;
    std::uint32_t customers = 10;
    std::uint64_t body_bytes = 0;
    std::uint64_t answer_bytes = 64;
    // Negative: the upstream's own.
    double service_ms = -1.0;
    std::chrono::milliseconds timeout{5000};
};

enum class client_retries : std::uint8_t
{
    none,
    at_once,         // hard, whatever the answer says
    as_answer_allows // after the answer's `retry-after`
};

struct load_options
{
    // "ip:port" of the daemons' callers listeners; each try takes the next.
    std::vector<std::string> daemons;
    std::vector<offered_class> classes;
    std::chrono::milliseconds length{1000};
    // Longer than `length`: the load goes on until `stop` is requested or this
    // has passed, so that what a test does beside it has load however slowly
    // it gets on.
    std::chrono::milliseconds max_length{0};
    std::stop_token stop;
    bool poisson = true;
    client_retries retries = client_retries::none;
    std::uint32_t max_tries = 1;
    std::uint64_t seed = 1;
    // Arrivals after as many are dropped.
    std::uint64_t max_requests = 1'000'000;
    // Goes into tokens and keys, so that two loads don't meet.
    std::string prefix = "load";
};

// What the caller knows at the end.
enum class caller_outcome : std::uint8_t
{
    completed, // a whole answer of the upstream's
    not_run,   // every try was told "not run"
    unknown,   // told "unknown", or lost after it was sent
    wrong      // a clean answer whose bytes are not the request's
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

// One call of a class, with its retries; for single steps of a proof.
[[nodiscard]] load_record run_one(const load_options& options);

// A table by class, for people.
[[nodiscard]] std::string
to_table(const std::vector<load_record>& records, const load_options& options);

// The same as JSON.
[[nodiscard]] std::string
to_json(const std::vector<load_record>& records, const load_options& options);

// "arrival_us,class,customer,service_us" lines, for the replays.
[[nodiscard]] std::string to_trace(const std::vector<load_record>& records);

} // namespace nutmegusher::test_support

#endif
