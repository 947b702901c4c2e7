// Several callers share three upstreams, one of them half as fast as the
// others, close to their total capacity. Guards against one upstream being
// filled while others have free slots.
#include "nutmegusher/policy/router.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <numeric>
#include <random>
#include <vector>

namespace nutmegusher
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t slots = 29;
constexpr std::size_t upstream_count = 3;
constexpr std::array<duration, upstream_count> slot_times{16ms, 16ms, 33ms};

double seconds_of(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

class shared_service
{
public:
    explicit shared_service(double demand)
    {
        double calls_per_second = 0;
        for (const auto hold : slot_times)
        {
            calls_per_second += slots / seconds_of(hold);
        }
        gap_ = std::exponential_distribution<double>(demand * calls_per_second);
        callers_.assign(12, router(router_options{false}));
        for (std::size_t i = 0; i < callers_.size(); ++i)
        {
            callers_[i].update(candidates_of(i), now_);
        }
    }

    void simulate(duration time)
    {
        const auto begin = now_;
        const auto until = now_ + time;
        auto next_call = now_;
        while (now_ < until)
        {
            if (ends_.empty() || next_call < ends_.begin()->first)
            {
                now_ = next_call;
                call();
                next_call = now_ + from_seconds(gap_(engine_));
                continue;
            }
            now_ = ends_.begin()->first;
            const auto one = ends_.begin()->second;
            ends_.erase(ends_.begin());
            finish(one);
        }
        simulated_seconds_ = seconds_of(now_ - begin);
    }

    // The average share of each upstream's slots that was in use.
    [[nodiscard]] std::array<double, upstream_count> utilization() const
    {
        std::array<double, upstream_count> shares{};
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            shares[i] =
                upstreams_[i].busy_seconds / (simulated_seconds_ * slots);
        }
        return shares;
    }

    [[nodiscard]] double share_that_waited() const
    {
        return static_cast<double>(waited_) / static_cast<double>(calls_);
    }

private:
    struct running_call
    {
        std::size_t caller = 0;
        std::size_t upstream = 0;
    };

    struct upstream
    {
        std::size_t running = 0;
        std::deque<std::size_t> waiting;
        double busy_seconds = 0;
    };

    // Four data centres with three callers each; three of them have an
    // upstream.
    static std::array<candidate, upstream_count>
    candidates_of(std::size_t caller)
    {
        std::array<candidate, upstream_count> all;
        for (std::size_t i = 0; i < upstream_count; ++i)
        {
            all[i].host = host_id("upstream-" + std::to_string(i));
            all[i].distance = caller % 4 == i
                                  ? network_distance::same_data_center
                                  : network_distance::same_region;
        }
        return all;
    }

    void call()
    {
        ++calls_;
        const auto caller = uniform_below(engine_, callers_.size());
        auto& route = callers_[caller];
        const auto to = *route.choose({}, {}, now_, engine_);
        route.on_start(to, false, now_);
        const auto index = static_cast<std::size_t>(to.value()) - 1;
        auto& there = upstreams_[index];
        if (there.running < slots)
        {
            start({caller, index});
            return;
        }
        ++waited_;
        there.waiting.push_back(caller);
    }

    void start(running_call one)
    {
        ++upstreams_[one.upstream].running;
        const double work =
            seconds_of(slot_times[one.upstream]) * spread_(engine_);
        upstreams_[one.upstream].busy_seconds += work;
        ends_.emplace(now_ + from_seconds(work), one);
    }

    void finish(running_call one)
    {
        auto& there = upstreams_[one.upstream];
        --there.running;
        if (!there.waiting.empty())
        {
            const auto caller = there.waiting.front();
            there.waiting.pop_front();
            start({caller, one.upstream});
        }
        const upstream_handle from(one.upstream + 1);
        const upstream_load load{
            there.running,
            there.waiting.size(),
            slots,
            slot_times[one.upstream]};
        callers_[one.caller].on_load(from, load, now_);
        callers_[one.caller].on_answer(
            from, false, slot_times[one.upstream], now_);
    }

    std::vector<router> callers_;
    std::array<upstream, upstream_count> upstreams_;
    std::multimap<time_point, running_call> ends_;
    std::size_t calls_ = 0;
    std::size_t waited_ = 0;
    double simulated_seconds_ = 0;
    time_point now_{std::chrono::hours(1)};
    random_engine engine_{11};
    std::exponential_distribution<double> gap_;
    std::gamma_distribution<double> spread_{4.0, 0.25};
};

TEST(router_balance, none_is_full_while_the_service_has_room)
{
    shared_service service(0.88);
    service.simulate(20s);
    const auto utilization = service.utilization();
    const auto [least, most] =
        std::minmax_element(utilization.begin(), utilization.end());
    EXPECT_LT(*most, 0.91);
    EXPECT_GT(*least, 0.80);
    EXPECT_LT(service.share_that_waited(), 0.30);
}

TEST(router_balance, a_slow_one_is_spared_at_half_of_what_the_service_can_do)
{
    shared_service service(0.5);
    service.simulate(10s);
    EXPECT_LT(service.utilization()[2], 0.45);
    EXPECT_LT(service.share_that_waited(), 0.01);
}

} // namespace
} // namespace nutmegusher
