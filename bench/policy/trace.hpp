// A trace: services and classes of one user, and the load and faults over
// time, read from a CSV file under `nutmegusher/policy/traces`.
//
// Rows, the kind first; `#` starts a comment; times in ms:
//
//     region,<data centers>,<one way data_center_delay them ms>,<one way to
//     clients ms> service,<name>,<upstreams>,<slots>,<connections>
//     class,<name>,<rank>,<repeatable 0/1>,<bulk 0/1>,<target ms>
//     hop,<class>,<service>,<mean work ms>          in the order of the chain
//     rate,<from>,<to>,<class>,<requests a second>
//     customers,<class>,<count>,<share of load of the first>
//     slow,<from>,<to>,<service>,<upstream or *>,<factor>
//     clients,<tries>,<pause ms>,<wait as told 0/1>
//     surge,<from>,<to>                             what recovery counts from
//     end,<at>
//
// And what has to come out of it:
//
//     expect_served,<class>,<least share served of what the surge brings>
//     expect_others,<class>,<the same without the first customer>
//     expect_recovery,<most ms from the end of the surge>
//     expect_tries,<most calls per call that was needed>
#ifndef NUTMEGUSHER_BENCH_POLICY_TRACE_HPP
#define NUTMEGUSHER_BENCH_POLICY_TRACE_HPP

#include "nutmegusher/base/base.hpp"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace nutmegusher::bench
{

struct trace_service
{
    std::string name;
    std::size_t upstreams = 0;
    std::size_t slots = 0;
    std::size_t connections = 0;
};

struct trace_hop
{
    std::size_t service = 0;
    duration work{0};
};

// Load of a class over a stretch of time.
struct trace_rate
{
    duration from{0};
    duration to{0};
    double per_second = 0;
};

struct trace_class
{
    std::string name;
    std::uint8_t rank = 0;
    bool repeatable = false;
    bool bulk = false;
    duration target{0};
    std::vector<trace_hop> hops;
    std::vector<trace_rate> rates;
    std::uint64_t customers = 1;
    // Share of the load that the first customer sends; the rest is even.
    double first_customer_share = 0;
};

// A service, or one upstream of it, that works more slowly for a while.
struct trace_slowdown
{
    duration from{0};
    duration to{0};
    std::size_t service = 0;
    std::optional<std::size_t> upstream;
    double factor = 1;
};

struct trace_clients
{
    std::uint32_t tries = 1;
    duration pause{0};
    // They wait as long as a refusal says.
    bool honor_retry_after = true;
};

enum class outcome_kind : std::uint8_t
{
    served,
    others,
    recovery,
    tries
};

// One stated outcome.
struct trace_outcome
{
    outcome_kind kind = outcome_kind::served;
    std::size_t work_class = 0;
    // A share, milliseconds or calls.
    double bound = 0;
};

struct trace
{
    std::size_t data_centers = 1;
    duration data_center_delay{0};
    duration client_delay{0};
    std::vector<trace_service> services;
    std::vector<trace_class> classes;
    std::vector<trace_slowdown> slowdowns;
    trace_clients clients;
    duration surge_from{0};
    duration surge_to{0};
    duration end{0};
    std::vector<trace_outcome> outcomes;
};

// A row that can't be read; `line` counts from 1, 0: the file itself.
struct bad_trace
{
    std::size_t line = 0;
};

// Fails with `bad_trace`.
[[nodiscard]] leaf::result<trace> load_trace(const std::filesystem::path& file);

// The slots that the load at `at` keeps busy when nothing waits, over the
// slots there are, at the fullest service.
[[nodiscard]] double offered_load(const trace& of, duration at);

// The same, if only classes up to `rank` came.
[[nodiscard]] double
offered_load(const trace& of, duration at, std::uint8_t rank);

// Multiplies the load within [from, to).
void scale_load(trace& of, duration from, duration to, double factor);

} // namespace nutmegusher::bench

#endif
