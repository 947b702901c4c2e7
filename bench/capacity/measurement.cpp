#include "bench/capacity/measurement.hpp"

#include <malloc.h>

namespace nutmegusher::capacity
{

measurement fit(std::string what, std::string unit, std::vector<sample> samples)
{
    double sum_size = 0;
    double sum_value = 0;
    double sum_squares = 0;
    double sum_products = 0;
    for (const auto& [size, value] : samples)
    {
        sum_size += size;
        sum_value += value;
        sum_squares += size * size;
        sum_products += size * value;
    }
    const auto count = static_cast<double>(samples.size());
    const auto spread = count * sum_squares - sum_size * sum_size;
    const auto slope =
        spread == 0 ? 0
                    : (count * sum_products - sum_size * sum_value) / spread;
    const auto fixed = (sum_value - slope * sum_size) / count;
    return {std::move(what), std::move(unit), std::move(samples), slope, fixed};
}

std::size_t allocated_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace nutmegusher::capacity
