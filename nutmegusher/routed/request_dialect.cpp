#include "nutmegusher/routed/request_dialect.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace nutmegusher::routed
{

namespace
{

std::optional<double> parse_rate(std::string_view text)
{
    double value = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const bool is_valid = error == std::errc() && stop == end &&
                          std::isfinite(value) && value >= 0;
    return is_valid ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<double>
read_rate_limit(const request_dialect& names, const wire::headers& fields)
{
    std::optional<double> lowest;
    for (const auto& each : fields)
    {
        const auto rate = each.name == names.rate_limit ? parse_rate(each.value)
                                                        : std::nullopt;
        if (rate)
        {
            lowest = std::min(lowest.value_or(*rate), *rate);
        }
    }
    return lowest;
}

} // namespace nutmegusher::routed
