// The stand-in upstream as a program; runs until SIGTERM or SIGINT.
#include "testing/stand_in_upstream.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace
{

namespace ts = nutmegusher::test_support;

constexpr int usage_error = 2;

cxxopts::Options command_line()
{
    cxxopts::Options options("stand_in_upstream", "An upstream for tests");
    options.add_options()(
        "service", "its service", cxxopts::value<std::string>())(
        "address", "ip:port to listen on", cxxopts::value<std::string>())(
        "announce-as",
        "ip:port to announce if it differs from the address",
        cxxopts::value<std::string>()->default_value(""))(
        "daemon",
        "ip:port of its daemon's upstream listener",
        cxxopts::value<std::string>()->default_value(""))(
        "journal",
        "file that records the executions",
        cxxopts::value<std::string>()->default_value(""))(
        "behavior",
        "JSON as for POST /stand-in/control",
        cxxopts::value<std::string>()->default_value("{}"))(
        "help", "this text");
    return options;
}

int run(const cxxopts::ParseResult& parsed)
{
    const auto behavior =
        ts::merge_behavior({}, parsed["behavior"].as<std::string>());
    if (!behavior)
    {
        std::cerr << "stand_in_upstream: --behavior is invalid\n";
        return usage_error;
    }
    sigset_t ends;
    sigemptyset(&ends);
    sigaddset(&ends, SIGTERM);
    sigaddset(&ends, SIGINT);
    sigprocmask(SIG_BLOCK, &ends, nullptr);
    ts::stand_in_options options;
    options.service = parsed["service"].as<std::string>();
    options.address = parsed["address"].as<std::string>();
    options.announce_as = parsed["announce-as"].as<std::string>();
    options.daemon = parsed["daemon"].as<std::string>();
    options.journal = parsed["journal"].as<std::string>();
    options.behavior = *behavior;
    const auto upstream = ts::stand_in_upstream::start(options);
    if (!upstream)
    {
        std::cerr << "stand_in_upstream: " << upstream.error().message()
                  << '\n';
        return 1;
    }
    int signal = 0;
    sigwait(&ends, &signal);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = command_line();
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        return run(parsed);
    }
    catch (const std::exception& problem)
    {
        std::cerr << "stand_in_upstream: " << problem.what() << '\n';
        return usage_error;
    }
}
