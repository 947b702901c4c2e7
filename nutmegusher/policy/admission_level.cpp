#include "nutmegusher/policy/admission_level.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>

namespace nutmegusher
{

namespace
{

constexpr unsigned max_permille = 1000;
// A longer retry-after time can only be a mistake and is rejected.
constexpr unsigned max_retry_after_ms = 600'000;

// Reads the fields of a level one by one.
class field_reader
{
public:
    explicit field_reader(std::string_view text)
        : rest_(text)
    {
    }

    // Reads a number that is followed by `end` ('\0': the end of the text).
    leaf::result<unsigned> next(char end, unsigned highest)
    {
        unsigned value = 0;
        const auto [stop, error] =
            std::from_chars(rest_.data(), rest_.data() + rest_.size(), value);
        if (error != std::errc())
        {
            return fail(
                rest_.empty() ? level_problem::missing_field
                              : level_problem::not_a_number);
        }
        if (value > highest)
        {
            return fail(level_problem::out_of_range);
        }
        rest_.remove_prefix(static_cast<std::size_t>(stop - rest_.data()));
        if (!skip(end))
        {
            return fail(
                rest_.empty() ? level_problem::missing_field
                              : level_problem::trailing_text);
        }
        ++field_;
        return value;
    }

private:
    bool skip(char end)
    {
        if (end == '\0')
        {
            return rest_.empty();
        }
        if (rest_.empty() || rest_.front() != end)
        {
            return false;
        }
        rest_.remove_prefix(1);
        return true;
    }

    leaf::error_id fail(level_problem problem) const
    {
        return leaf::new_error(bad_admission_level{problem, field_});
    }

    std::string_view rest_;
    std::size_t field_ = 0;
};

leaf::result<lane_level> read_lane(field_reader& reader)
{
    BOOST_LEAF_AUTO(rank, reader.next('/', rank_count));
    BOOST_LEAF_AUTO(permille, reader.next(',', max_permille));
    return lane_level{
        static_cast<std::uint8_t>(rank), static_cast<std::uint16_t>(permille)};
}

leaf::result<admission_level> read_level(field_reader& reader, char end)
{
    admission_level level;
    BOOST_LEAF_ASSIGN(level.short_lane, read_lane(reader));
    BOOST_LEAF_ASSIGN(level.bulk_lane, read_lane(reader));
    BOOST_LEAF_AUTO(wait, reader.next(end, max_retry_after_ms));
    level.retry_after = std::chrono::milliseconds(wait);
    return level;
}

std::string format_lane(const lane_level& lane)
{
    return std::to_string(lane.rank) + '/' +
           std::to_string(lane.refused_permille);
}

lane_level stricter_lane(const lane_level& left, const lane_level& right)
{
    return pass_threshold(left) <= pass_threshold(right) ? left : right;
}

} // namespace

std::string format_level(const admission_level& level)
{
    const auto wait = std::clamp<std::chrono::milliseconds::rep>(
        level.retry_after.count(), 0, max_retry_after_ms);
    return format_lane(level.short_lane) + ',' + format_lane(level.bulk_lane) +
           ',' + std::to_string(wait);
}

leaf::result<admission_level> parse_level(std::string_view text)
{
    field_reader reader(text);
    return read_level(reader, '\0');
}

std::string format_levels(const answer_levels& levels)
{
    std::string own = format_level(levels.own);
    if (levels.deeper == admission_level{})
    {
        return own;
    }
    return own + ';' + format_level(levels.deeper);
}

leaf::result<answer_levels> parse_levels(std::string_view text)
{
    field_reader reader(text);
    answer_levels levels;
    if (text.find(';') == std::string_view::npos)
    {
        BOOST_LEAF_ASSIGN(levels.own, read_level(reader, '\0'));
        return levels;
    }
    BOOST_LEAF_ASSIGN(levels.own, read_level(reader, ';'));
    BOOST_LEAF_ASSIGN(levels.deeper, read_level(reader, '\0'));
    return levels;
}

double pass_threshold(const lane_level& lane)
{
    if (lane.rank >= rank_count)
    {
        return rank_count;
    }
    return lane.rank + 1.0 - lane.refused_permille / double(max_permille);
}

lane_level level_for_threshold(double threshold)
{
    const double clamped = std::clamp(threshold, 0.0, double(rank_count));
    if (clamped >= double(rank_count))
    {
        return {};
    }
    const auto rank = static_cast<std::uint8_t>(clamped);
    const double refused = 1.0 - (clamped - rank);
    return {rank, static_cast<std::uint16_t>(refused * max_permille)};
}

admission_level
stricter(const admission_level& left, const admission_level& right)
{
    return {
        stricter_lane(left.short_lane, right.short_lane),
        stricter_lane(left.bulk_lane, right.bulk_lane),
        std::max(left.retry_after, right.retry_after)};
}

double request_fraction(const call_info& call)
{
    constexpr int mantissa_bits = 53;
    return static_cast<double>(call.request >> (64 - mantissa_bits)) /
           static_cast<double>(std::uint64_t{1} << mantissa_bits);
}

bool passes(const admission_level& level, const call_info& call)
{
    const lane_level& lane = call.bulk ? level.bulk_lane : level.short_lane;
    return call.rank + request_fraction(call) < pass_threshold(lane);
}

} // namespace nutmegusher
