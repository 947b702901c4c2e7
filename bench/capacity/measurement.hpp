// Measurements at several sizes, and the line fitted through them.
#ifndef NUTMEGUSHER_BENCH_CAPACITY_MEASUREMENT_HPP
#define NUTMEGUSHER_BENCH_CAPACITY_MEASUREMENT_HPP

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace nutmegusher::capacity
{

struct sample
{
    double size = 0;
    double value = 0;
};

// Samples and their least-squares fit `value = fixed + slope * size`.
struct measurement
{
    std::string what;
    std::string unit;
    std::vector<sample> samples;
    double slope = 0;
    double fixed = 0;
};

[[nodiscard]] measurement
fit(std::string what, std::string unit, std::vector<sample> samples);

// Bytes that the process has allocated on the heap now.
[[nodiscard]] std::size_t allocated_bytes();

template <class Work>
double measure_nanoseconds(Work&& work)
{
    const auto begin = std::chrono::steady_clock::now();
    std::forward<Work>(work)();
    const std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - begin;
    return taken.count();
}

// Keeps the compiler from removing the computation of `value`.
template <class T>
void do_not_optimize(const T& value)
{
    asm volatile("" : : "g"(&value) : "memory");
}

} // namespace nutmegusher::capacity

#endif
