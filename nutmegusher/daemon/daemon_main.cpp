#include "nutmegusher/base/base.hpp"
#include "nutmegusher/control/control.hpp"
#include "nutmegusher/node/daemon.hpp"
#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/settings.hpp"
#include "nutmegusher/routed/routed.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <cxxopts.hpp>
#include <google/protobuf/stubs/logging.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "platform/platform.hpp"

namespace
{

namespace leaf = boost::leaf;
using namespace nutmegusher;
using namespace nutmegusher::node;

constexpr int exit_failed = 1;
constexpr int exit_bad_input = 2;
constexpr const char* version = "0.1.0";

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "nutmegusherd",
        "The daemon that runs beside an upstream. It is also a control host if "
        "the settings have a [control] section.");
    auto add = options.add_options();
    add("s,settings",
        "INI file, see docs/SETTINGS.md",
        cxxopts::value<std::string>());
    add("settings-variable",
        "environment variable that holds the path of the INI file",
        cxxopts::value<std::string>());
    add("check", "check the settings, report what is wrong, and exit");
    add("h,help", "print this help");
    add("version", "print the version");
    return options;
}

std::string to_text(const endpoint& address)
{
    std::ostringstream text;
    text << address;
    return text.str();
}

int report_error(const std::string& what, int code)
{
    std::cerr << "nutmegusherd: " << what << "\n";
    return code;
}

// The extension for the platform dialect; null if callers, upstreams and
// operators use Nutmegusher's own interface.
std::unique_ptr<extension> make_extension(const settings& loaded)
{
    if (loaded.dialect != "platform")
    {
        return nullptr;
    }
    return routed::make_routed_extension(platform::make_adapter());
}

// The path of the settings file, from `--settings` or from the environment
// variable that `--settings-variable` names. Empty if neither gives one.
std::string settings_file(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("settings") > 0)
    {
        return parsed["settings"].as<std::string>();
    }
    if (parsed.count("settings-variable") == 0)
    {
        return {};
    }
    const auto variable = parsed["settings-variable"].as<std::string>();
    const char* const value = std::getenv(variable.c_str());
    return value == nullptr ? std::string() : std::string(value);
}

int run(const std::string& file, bool check_only)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            BOOST_LEAF_AUTO(loaded, read_settings(file));
            if (check_only)
            {
                std::cout << file << ": good\n";
                return EXIT_SUCCESS;
            }
            start_logging(
                loaded.log.format,
                loaded.host.id.str(),
                loaded.log.lines_per_second);
            BOOST_LEAF_AUTO(
                process, daemon::start(loaded, make_extension(loaded)));
            process->run();
            return EXIT_SUCCESS;
        },
        [](const settings_error& error)
        {
            return report_error(to_string(error), exit_bad_input);
        },
        [](const listen_error& error)
        {
            return report_error(
                "can't listen on " + to_text(error.address) + ": " +
                    error.code.message(),
                exit_failed);
        },
        [](const wire::listen_failure& error)
        {
            return report_error(
                "can't listen on " + to_text(error.address) + ": " +
                    error.cause.message(),
                exit_failed);
        },
        [](const leaf::error_info& info)
        {
            std::ostringstream text;
            text << "can't start: " << info;
            return report_error(text.str(), exit_failed);
        });
}

} // namespace

int main(int count, char** arguments)
{
    // Writing to a closed connection must fail with an error, not end the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    // Some supervisors send SIGHUP to reload settings. Addresses and folders
    // can't change while requests run, so the signal is ignored instead of
    // ending the process.
    std::signal(SIGHUP, SIG_IGN);
    // Protobuf would otherwise log a line for each malformed message from a
    // peer, without a rate limit.
    google::protobuf::SetLogHandler(nullptr);
    auto options = make_options();
    try
    {
        const auto parsed = options.parse(count, arguments);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help() << "\n";
            return EXIT_SUCCESS;
        }
        if (parsed.count("version") > 0)
        {
            std::cout << "nutmegusherd " << version << "\n";
            return EXIT_SUCCESS;
        }
        const auto file = settings_file(parsed);
        if (file.empty())
        {
            return report_error(
                "give --settings FILE or --settings-variable NAME",
                exit_bad_input);
        }
        return run(file, parsed.count("check") > 0);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        return report_error(error.what(), exit_bad_input);
    }
}
