// The admission level of an upstream: what it refuses now, small enough to
// travel on every answer.
//
//     const answer_levels levels{controller.level(now), deeper};
//     answer.set("nutmeg-admission-level", format_levels(levels));
//     leaf::result<answer_levels> heard = parse_levels(text);
//
// Pattern of load: a deep service is saturated while the services above it
// aren't. Without the level the work of the upper hops is done first and
// thrown away when the deep call is refused.
#ifndef NUTMEGUSHER_POLICY_ADMISSION_LEVEL_HPP
#define NUTMEGUSHER_POLICY_ADMISSION_LEVEL_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/error.hpp"
#include "nutmegusher/policy/call.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegusher
{

// What one lane refuses. Ranks beyond `rank` are refused whole, `rank` itself
// by `refused_permille`, better ranks not at all.
struct lane_level
{
    // `rank_count`: nothing is refused.
    std::uint8_t rank = rank_count;
    std::uint16_t refused_permille = 0;

    friend bool operator==(const lane_level&, const lane_level&) = default;
};

struct admission_level
{
    lane_level short_lane;
    lane_level bulk_lane;
    // When refused work may come back, before it is spread; whole ms.
    std::chrono::milliseconds retry_after{0};

    friend bool
    operator==(const admission_level&, const admission_level&) = default;
};

// What an answer carries: its upstream's own level, and the strictest that
// the request's sub-calls met below.
struct answer_levels
{
    admission_level own;
    admission_level deeper;

    friend bool
    operator==(const answer_levels&, const answer_levels&) = default;
};

// Where a parse stopped.
enum class level_problem : std::uint8_t
{
    missing_field,
    not_a_number,
    out_of_range,
    trailing_text
};

// The failure of `parse_level`.
struct bad_admission_level
{
    level_problem problem = level_problem::missing_field;
    // Counted from 0: short rank, short permille, bulk rank, bulk permille,
    // come back after; `parse_levels` counts on in its second part.
    std::size_t field = 0;
};

// The longest text that `format_level` gives.
inline constexpr std::size_t max_level_text = 32;

// For example "4/250,10/0,120".
[[nodiscard]] std::string format_level(const admission_level& level);

// Fails with `bad_admission_level`.
[[nodiscard]] leaf::result<admission_level> parse_level(std::string_view text);

// For example "4/250,10/0,120;10/0,10/0,0"; the second part is left out where
// it refuses nothing.
[[nodiscard]] std::string format_levels(const answer_levels& levels);

// Fails with `bad_admission_level`.
[[nodiscard]] leaf::result<answer_levels> parse_levels(std::string_view text);

// The rank scale as one number: a call passes where its rank plus a fraction
// in [0, 1) that is its own lies below it. 10: everything passes.
[[nodiscard]] double pass_threshold(const lane_level& lane);

// The inverse of `pass_threshold`; clamps to [0, 10].
[[nodiscard]] lane_level level_for_threshold(double threshold);

// Lane by lane the stricter one, and the longer wait.
[[nodiscard]] admission_level
stricter(const admission_level& left, const admission_level& right);

// The call's own fraction in [0, 1), the same on every hop of its request.
[[nodiscard]] double request_fraction(const call_info& call);

// Whether the level lets the call's rank in.
[[nodiscard]] bool passes(const admission_level& level, const call_info& call);

} // namespace nutmegusher

#endif
