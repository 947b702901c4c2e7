#include "nutmegusher/ctl/ctl.hpp"

#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace
{

using namespace nutmegusher;

constexpr duration exchange_timeout = std::chrono::seconds(5);

std::string environment_variable(const char* name)
{
    // `getenv` is safe here, as no other thread runs.
    const auto* const value =
        std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? "" : value;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    std::random_device entropy;
    const ctl::environment env{
        .out = std::cout,
        .error = std::cerr,
        .connect =
            [](const std::string& address)
        {
            return ctl::connect_with_beast(address, exchange_timeout);
        },
        .now =
            []
        {
            return host_clock().now();
        },
        .sleep =
            [](duration time)
        {
            std::this_thread::sleep_for(time);
        },
        .random =
            [&entropy]
        {
            constexpr unsigned word_bits = 32;
            return (std::uint64_t{entropy()} << word_bits) | entropy();
        },
        .default_address = environment_variable("NUTMEGUSHER_ADDRESS"),
        .author = environment_variable("USER")};
    return static_cast<int>(ctl::run(arguments, env));
}
