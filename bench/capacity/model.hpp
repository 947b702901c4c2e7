// Extrapolates the measured slopes to the planned size, for each role.
#ifndef NUTMEGUSHER_BENCH_CAPACITY_MODEL_HPP
#define NUTMEGUSHER_BENCH_CAPACITY_MODEL_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "bench/capacity/slopes.hpp"

namespace nutmegusher::capacity
{

// Where a figure comes from: `derived` uses only slopes and the planned size,
// `assumed` uses assumptions as well.
enum class basis : std::uint8_t
{
    measured,
    derived,
    assumed
};

struct role_line
{
    std::string what;
    std::string value;
    std::string limit;
    basis value_basis = basis::derived;
    std::string mechanism;
};

struct role
{
    std::string title;
    std::vector<role_line> lines;
};

[[nodiscard]] role daemon_role(const slopes& measured);
[[nodiscard]] role relay_role(const slopes& measured);
[[nodiscard]] role voter_role(const slopes& measured);
[[nodiscard]] role claims_role(const slopes& measured);
[[nodiscard]] role failure_scenarios(const slopes& measured);

// Formats 12345678 bytes as "12 MB".
[[nodiscard]] std::string bytes_text(double bytes);
[[nodiscard]] std::string rate_text(double bytes_a_second);
[[nodiscard]] std::string core_text(double nanoseconds_a_second);
[[nodiscard]] std::string number_text(double value);

} // namespace nutmegusher::capacity

#endif
