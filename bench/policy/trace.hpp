// A trace describes the services and classes of one user, and how load and
// slowdowns change over time. It is read from a CSV file under
// `nutmegusher/policy/traces`.
//
// The first field of a row is its kind. `#` starts a comment. Times are in ms.
//
//     region,<data centers>,<one way between them ms>,<one way to clients ms>
//     service,<name>,<upstreams>,<slots>,<connections>
//     class,<name>,<rank>,<repeatable 0/1>,<bulk 0/1>,<target ms>
//     hop,<class>,<service>,<mean work ms>          in the order of the chain
//     rate,<from>,<to>,<class>,<requests a second>
//     customers,<class>,<count>,<load share of the first>
//     slow,<from>,<to>,<service>,<upstream or *>,<factor>
//     clients,<tries>,<pause ms>,<honor retry-after 0/1>
//     surge,<from>,<to>              recovery is measured from <to>
//     end,<at>
//
// These rows state the outcomes that the replay must reach:
//
//     expect_served,<class>,<min share served of the surge's load>
//     expect_others,<class>,<the same, first customer excluded>
//     expect_recovery,<max ms from the end of the surge>
//     expect_tries,<max calls per needed call>
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

// Arrival rate of a class within [from, to).
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
    // Share of the load that the first customer sends. The others send equal
    // shares of the rest.
    double first_customer_share = 0;
};

// Multiplies the work time of a service, or of one of its upstreams, by
// `factor` within [from, to).
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
    // Clients wait at least the retry-after time of a refusal.
    bool honor_retry_after = true;
};

enum class outcome_kind : std::uint8_t
{
    served,
    others,
    recovery,
    tries
};

// An outcome that the replay of the trace must reach.
struct trace_outcome
{
    outcome_kind kind = outcome_kind::served;
    std::size_t work_class = 0;
    // By `kind`: a minimum share, maximum milliseconds, or maximum calls per
    // needed call.
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

// A row that can't be parsed. `line` counts from 1, and 0 means that the
// file can't be opened.
struct bad_trace
{
    std::size_t line = 0;
};

// Fails with `bad_trace`.
[[nodiscard]] leaf::result<trace> load_trace(const std::filesystem::path& file);

// Utilization of the most loaded service at `at`: the slots that the load would
// keep busy without queueing, divided by the service's slots.
[[nodiscard]] double offered_load(const trace& load, duration at);

// The same, counting only classes whose rank is at most `rank`.
[[nodiscard]] double
offered_load(const trace& load, duration at, std::uint8_t rank);

// Multiplies the load within [from, to).
void scale_load(trace& load, duration from, duration to, double factor);

} // namespace nutmegusher::bench

#endif
