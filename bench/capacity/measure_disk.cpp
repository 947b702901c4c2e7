#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include "bench/capacity/slopes.hpp"

namespace nutmegusher::capacity
{
namespace
{

constexpr std::size_t batch_sizes[] = {1, 16, 64, 256};
constexpr int batches = 50;
// Log size of the two entries of a claim, as measured by measure_claims.
constexpr std::size_t claim_bytes = 700;

} // namespace

disk_slopes measure_disk(const std::filesystem::path& folder)
{
    const auto path = folder / "capacity-bench.tmp";
    const int file = ::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
    std::vector<sample> times;
    for (const auto claims : batch_sizes)
    {
        const std::string content(claims * claim_bytes, 'x');
        std::vector<double> taken;
        taken.reserve(batches);
        for (int batch = 0; batch < batches; ++batch)
        {
            taken.push_back(measure_nanoseconds(
                [&]
                {
                    do_not_optimize(
                        ::write(file, content.data(), content.size()));
                    ::fdatasync(file);
                }));
        }
        std::nth_element(
            taken.begin(), taken.begin() + batches / 2, taken.end());
        times.push_back({static_cast<double>(claims), taken[batches / 2]});
    }
    ::close(file);
    std::filesystem::remove(path);
    return {fit("durable batch, a claim in it", "ns", times)};
}

} // namespace nutmegusher::capacity
