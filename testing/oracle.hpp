// Compares the outcomes that callers received with the executions that the
// upstreams recorded.
#ifndef NUTMEGUSHER_TESTING_ORACLE_HPP
#define NUTMEGUSHER_TESTING_ORACLE_HPP

#include "testing/execution_log.hpp"
#include "testing/load_client.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegusher::test_support
{

enum class violation_kind : std::uint8_t
{
    ran_twice,         // a keyed call started more than once
    not_run_but_ran,   // reported as not run, but started
    completed_not_run, // reported as completed, but never finished
    wrong_answer       // a complete answer with the wrong body
};

struct violation
{
    violation_kind kind = violation_kind::ran_twice;
    std::string class_name;
    std::string token;
    std::uint32_t started = 0;
    std::uint32_t finished = 0;
};

[[nodiscard]] std::string to_text(const std::vector<violation>& violations);

// Returns the violations in `records`. `counts` holds the executions by token,
// summed over all upstreams of the classes' services.
[[nodiscard]] std::vector<violation> check_executions(
    const std::vector<load_record>& records, const execution_counts& counts);

// Adds `more` to `sum`.
void add_counts(execution_counts& sum, const execution_counts& more);

// The number of records with this outcome.
[[nodiscard]] std::size_t
count_outcome(const std::vector<load_record>& records, caller_outcome outcome);

} // namespace nutmegusher::test_support

#endif
