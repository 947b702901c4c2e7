// The admission level of an upstream: which calls it refuses at present, in a
// form short enough to be sent with every answer.
//
//     const answer_levels levels{controller.level(now), deeper};
//     answer.set("nutmeg-admission-level", format_levels(levels));
//     leaf::result<answer_levels> received = parse_levels(text);
//
// Pattern of load: a service deep in the call path is saturated while the
// services above it aren't. Without the level, the services above do their work
// first, and it is wasted when the deep call is refused.
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

// What one lane refuses. All calls of ranks above `rank` are refused, the share
// `refused_permille` of `rank` itself, and no calls of lower (better) ranks.
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
    // How long refused callers should wait before they retry, before the wait
    // is randomized; whole milliseconds.
    std::chrono::milliseconds retry_after{0};

    friend bool
    operator==(const admission_level&, const admission_level&) = default;
};

// The levels sent with an answer: that of the answering upstream, and the
// strictest one that the request's sub-calls met in the services below.
struct answer_levels
{
    admission_level own;
    admission_level deeper;

    friend bool
    operator==(const answer_levels&, const answer_levels&) = default;
};

// Why parsing failed.
enum class level_problem : std::uint8_t
{
    missing_field,
    not_a_number,
    out_of_range,
    trailing_text
};

// The error of `parse_level` and `parse_levels`.
struct bad_admission_level
{
    level_problem problem = level_problem::missing_field;
    // Index of the field, from 0: short rank, short permille, bulk rank, bulk
    // permille, retry after (ms). In `parse_levels` the second level's fields
    // have the indexes 5 to 9.
    std::size_t field = 0;
};

// The maximum length of the text that `format_level` returns.
inline constexpr std::size_t max_level_text = 32;

// For example "4/250,10/0,120".
[[nodiscard]] std::string format_level(const admission_level& level);

// Fails with `bad_admission_level`.
[[nodiscard]] leaf::result<admission_level> parse_level(std::string_view text);

// For example "4/250,10/0,120;10/0,10/0,0"; the second part is omitted if it
// refuses nothing.
[[nodiscard]] std::string format_levels(const answer_levels& levels);

// Fails with `bad_admission_level`.
[[nodiscard]] leaf::result<answer_levels> parse_levels(std::string_view text);

// The level as one number on the rank scale: a call passes if its rank plus its
// own fraction in [0, 1) (see `request_fraction`) is less than the threshold.
// 10: all calls pass.
[[nodiscard]] double pass_threshold(const lane_level& lane);

// The inverse of `pass_threshold`; clamps `threshold` to [0, 10].
[[nodiscard]] lane_level level_for_threshold(double threshold);

// For each lane the stricter of the two levels, and the longer retry-after
// time.
[[nodiscard]] admission_level
stricter(const admission_level& left, const admission_level& right);

// A fraction in [0, 1) derived from the request's hash, so it is the same on
// every hop of the request.
[[nodiscard]] double request_fraction(const call_info& call);

// Whether a call passes at this level.
[[nodiscard]] bool passes(const admission_level& level, const call_info& call);

} // namespace nutmegusher

#endif
