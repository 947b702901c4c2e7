// Command-line tool that puts open-loop load on daemons.
//
//     load_tool --daemons 127.1.0.1:8000 --seconds 5
//         --class
//         name=payout,method=POST,target=/disbursement/pay,rate=50,keyed=1
#include "testing/load_client.hpp"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace
{

namespace ts = nutmegusher::test_support;

constexpr int usage_error = 2;

using members = std::map<std::string, std::string>;

members split_members(const std::string& text)
{
    members result;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ','))
    {
        const auto equals = part.find('=');
        if (equals == std::string::npos)
        {
            throw std::invalid_argument("no '=' in " + part);
        }
        result[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return result;
}

ts::offered_class parse_class(const std::string& text)
{
    ts::offered_class offered;
    for (const auto& [name, value] : split_members(text))
    {
        if (name == "name")
        {
            offered.name = value;
        }
        else if (name == "method")
        {
            offered.method = value;
        }
        else if (name == "target")
        {
            offered.target = value;
        }
        else if (name == "rate")
        {
            offered.rate = std::stod(value);
        }
        else if (name == "keyed")
        {
            offered.keyed = value == "1";
        }
        else if (name == "customers")
        {
            offered.customers = static_cast<std::uint32_t>(std::stoul(value));
        }
        else if (name == "body_bytes")
        {
            offered.body_bytes = std::stoull(value);
        }
        else if (name == "answer_bytes")
        {
            offered.answer_bytes = std::stoull(value);
        }
        else if (name == "service_ms")
        {
            offered.service_ms = std::stod(value);
        }
        else if (name == "timeout_ms")
        {
            offered.timeout = std::chrono::milliseconds(std::stol(value));
        }
        else if (name == "surge_factor")
        {
            offered.surge_factor = std::stod(value);
        }
        else if (name == "surge_from_ms")
        {
            offered.surge_from = std::chrono::milliseconds(std::stol(value));
        }
        else if (name == "surge_for_ms")
        {
            offered.surge_for = std::chrono::milliseconds(std::stol(value));
        }
        else
        {
            throw std::invalid_argument("unknown member " + name);
        }
    }
    return offered;
}

ts::client_retries parse_retries(const std::string& text)
{
    if (text == "none")
    {
        return ts::client_retries::none;
    }
    if (text == "at-once")
    {
        return ts::client_retries::at_once;
    }
    if (text == "as-answer-allows")
    {
        return ts::client_retries::as_answer_allows;
    }
    throw std::invalid_argument("--retries " + text);
}

cxxopts::Options command_line()
{
    using cxxopts::value;
    using texts = std::vector<std::string>;
    cxxopts::Options options("load_tool", "Open-loop load on daemons");
    auto add = options.add_options();
    add("daemons", "ip:port,... of callers listeners", value<texts>());
    add("class",
        "name=..,method=..,target=..,rate=..,keyed=1,customers=..,"
        "answer_bytes=..,body_bytes=..,service_ms=..,timeout_ms=..,"
        "surge_factor=..,surge_from_ms=..,surge_for_ms=..; may be "
        "repeated",
        value<std::string>());
    add("seconds", "length", value<double>()->default_value("1"));
    add("seed", "seed", value<std::uint64_t>()->default_value("1"));
    add("fixed-rate", "equal gaps between arrivals");
    add("retries",
        "none, at-once or as-answer-allows",
        value<std::string>()->default_value("none"));
    add("max-tries",
        "tries per request",
        value<std::uint32_t>()->default_value("1"));
    add("prefix",
        "of tokens and keys",
        value<std::string>()->default_value("load"));
    add("json", "print JSON instead of the table");
    add("trace", "file for the trace", value<std::string>());
    add("help", "this text");
    return options;
}

ts::load_options to_options(const cxxopts::ParseResult& parsed)
{
    ts::load_options options;
    options.daemons = parsed["daemons"].as<std::vector<std::string>>();
    // cxxopts splits lists at commas, so each class is parsed by itself.
    for (const auto& argument : parsed.arguments())
    {
        if (argument.key() == "class")
        {
            options.classes.push_back(parse_class(argument.value()));
        }
    }
    constexpr double ms_per_second = 1000.0;
    options.length = std::chrono::milliseconds(static_cast<std::int64_t>(
        parsed["seconds"].as<double>() * ms_per_second));
    options.seed = parsed["seed"].as<std::uint64_t>();
    options.poisson = parsed.count("fixed-rate") == 0;
    options.retries = parse_retries(parsed["retries"].as<std::string>());
    options.max_tries = parsed["max-tries"].as<std::uint32_t>();
    options.prefix = parsed["prefix"].as<std::string>();
    return options;
}

int run(const cxxopts::ParseResult& parsed)
{
    const auto options = to_options(parsed);
    const auto records = ts::run_load(options);
    std::cout
        << (parsed.count("json") > 0 ? ts::to_json(records, options) + "\n"
                                     : ts::to_table(records, options));
    if (parsed.count("trace") > 0)
    {
        std::ofstream(parsed["trace"].as<std::string>())
            << ts::to_trace(records);
    }
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
        std::cerr << "load_tool: " << problem.what() << '\n';
        return usage_error;
    }
}
