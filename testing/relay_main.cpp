// The relay as a program: `relay LISTEN TARGET`; each line on standard input
// is a behavior as JSON, or "cut". Exits at the end of the input.
#include "testing/relay.hpp"

#include <iostream>
#include <string>

namespace ts = nutmegusher::test_support;

int main(int argc, char** argv)
{
    constexpr int usage_error = 2;
    if (argc != 3)
    {
        std::cerr << "usage: relay LISTEN TARGET (both ip:port)\n";
        return usage_error;
    }
    const auto relay = ts::relay::start(argv[1], argv[2]);
    if (!relay)
    {
        std::cerr << "relay: " << relay.error().message() << '\n';
        return 1;
    }
    std::string line;
    while (std::getline(std::cin, line))
    {
        const auto behavior = ts::parse_relay_behavior(line);
        if (line == "cut")
        {
            (*relay)->cut();
        }
        else if (behavior)
        {
            (*relay)->set(*behavior);
        }
        else
        {
            std::cerr << "relay: invalid command: " << line << '\n';
        }
    }
    return 0;
}
