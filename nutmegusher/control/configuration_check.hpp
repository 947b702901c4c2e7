// Validates a configuration change by itself, without regard to the present
// configuration.
#ifndef NUTMEGUSHER_CONTROL_CONFIGURATION_CHECK_HPP
#define NUTMEGUSHER_CONTROL_CONFIGURATION_CHECK_HPP

#include "nutmegusher/messages/configuration.pb.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegusher
{

inline constexpr std::size_t max_name_length = 64;
inline constexpr std::size_t max_path_prefix_length = 256;
inline constexpr std::size_t max_method_length = 16;
inline constexpr std::size_t max_change_id_length = 128;
inline constexpr std::size_t max_author_length = 128;
inline constexpr std::uint32_t max_rank = 9;
// One hour: enough for a large dossier over a slow link.
inline constexpr std::uint32_t max_latency_ms = 3'600'000;
inline constexpr std::uint32_t max_completion_ppm = 1'000'000;

// A validation error and the path of the field that has it, such as
// "declare.target".
struct configuration_problem
{
    messages::change_problem problem = messages::change_problem_none;
    std::string field;
};

// Returns the first problem; no value if the change is well formed. Whether it
// fits the present configuration is checked by `configuration_store`.
[[nodiscard]] std::optional<configuration_problem>
check_change(const messages::change& change);

// The name of the class that a change concerns; empty if it concerns none.
[[nodiscard]] std::string_view
changed_class_name(const messages::change& change);

} // namespace nutmegusher

#endif
