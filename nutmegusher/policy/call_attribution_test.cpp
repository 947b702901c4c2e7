// A replay of an archive's host: downloads that need nothing below, and index
// reads that make five calls each, as they run side by side.
#include "nutmegusher/policy/call_attribution.hpp"

#include "nutmegusher/base/random.hpp"

#include <gtest/gtest.h>

#include <queue>

namespace nutmegusher
{
namespace
{

constexpr std::uint64_t downloads = 1;
constexpr std::uint64_t index_reads = 2;

struct happening
{
    double at = 0;
    int kind = 0; // 0, 1: a start; 2, 3: an end; 4: a sub-call
    friend bool operator<(const happening& left, const happening& right)
    {
        return left.at > right.at;
    }
};

time_point at_second(double seconds)
{
    return time_point(std::chrono::hours(1)) +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double>(seconds));
}

// Plays `seconds` with so many starts of each a second.
void replay(
    call_attribution& target, double seconds, double download_rate,
    double index_rate, std::uint64_t seed)
{
    random_engine engine(seed);
    const auto gap = [&engine](double rate)
    {
        return -std::log(1 - uniform_unit(engine)) / rate;
    };
    std::priority_queue<happening> coming;
    coming.push({gap(download_rate), 0});
    coming.push({gap(index_rate), 1});
    while (!coming.empty() && coming.top().at < seconds)
    {
        const auto now = coming.top();
        coming.pop();
        const auto time = at_second(now.at);
        switch (now.kind)
        {
        case 0:
            target.on_start(downloads, time);
            coming.push({now.at + 0.04 + gap(30), 2});
            coming.push({now.at + gap(download_rate), 0});
            break;
        case 1:
            target.on_start(index_reads, time);
            for (int call = 1; call <= 5; ++call)
            {
                coming.push({now.at + 0.025 * call, 4});
            }
            coming.push({now.at + 0.16, 3});
            coming.push({now.at + gap(index_rate), 1});
            break;
        case 2:
            target.on_end(downloads, time);
            break;
        case 3:
            target.on_end(index_reads, time);
            break;
        default:
            target.on_sub_call(service_name("registry"), time);
        }
    }
}

TEST(call_attribution, tells_the_route_that_calls_from_the_one_beside_it)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        call_attribution target;
        replay(target, 6, 15, 250, seed);
        EXPECT_TRUE(target.leads_to(index_reads, service_name("registry")));
        EXPECT_FALSE(target.leads_to(downloads, service_name("registry")))
            << "seed " << seed;
    }
}

TEST(call_attribution, takes_every_route_to_lead_there_before_it_knows)
{
    call_attribution target;
    EXPECT_TRUE(target.leads_to(downloads, service_name("registry")));
    replay(target, 0.05, 15, 250, 3);
    EXPECT_TRUE(target.leads_to(downloads, service_name("registry")));
}

} // namespace
} // namespace nutmegusher
