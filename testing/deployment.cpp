#include "testing/deployment.hpp"

#include "testing/deployment_plan.hpp"

#include <boost/json.hpp>

#include <csignal>
#include <filesystem>

namespace nutmegusher::test_support
{

using boost::system::error_code;
using internal::deployment_plan;

namespace
{

// The end of a log; the start of a long one rarely matters.
std::string tail(const std::string& text)
{
    constexpr std::size_t max_shown = 3000;
    return text.size() <= max_shown ? text
                                    : text.substr(text.size() - max_shown);
}

relay_behavior silent_behavior()
{
    relay_behavior behavior;
    behavior.to_target = relay_direction::silent;
    behavior.to_client = relay_direction::silent;
    return behavior;
}

} // namespace

struct deployment::state
{
    state(deployment_plan made, temporary_folder where)
        : plan(std::move(made))
        , folder(std::move(where))
    {
    }

    using process_list = std::vector<std::unique_ptr<child_process>>;

    error_code start_relays();
    void record_crash(
        const std::unique_ptr<child_process>& process,
        const std::string& kind,
        std::size_t index);
    error_code start_control(std::size_t index);
    error_code start_daemon(std::size_t index);
    error_code start_upstream(std::size_t index);
    error_code start_program(
        std::string_view program,
        const std::vector<std::string>& arguments,
        const std::string& name,
        std::unique_ptr<child_process>& into) const;

    deployment_plan plan;
    temporary_folder folder;
    std::vector<std::unique_ptr<relay>> to_upstreams;
    std::vector<std::unique_ptr<relay>> to_controls;
    process_list controls;
    process_list daemons;
    process_list upstreams;
    // Crashes of processes that were restarted since.
    std::vector<std::string> crashes;
};

error_code deployment::state::start_program(
    std::string_view program,
    const std::vector<std::string>& arguments,
    const std::string& name,
    std::unique_ptr<child_process>& into) const
{
    auto started = child_process::start(
        program_path(program), arguments, folder.path(name + ".log"));
    if (!started)
    {
        return started.error();
    }
    into = std::move(*started);
    return {};
}

void deployment::state::record_crash(
    const std::unique_ptr<child_process>& process,
    const std::string& kind,
    std::size_t index)
{
    if (process && process->crashed())
    {
        crashes.push_back(kind + std::to_string(index));
    }
}

error_code deployment::state::start_relays()
{
    for (std::size_t i = 0; i < plan.relayed_upstreams(); ++i)
    {
        auto started =
            relay::start(plan.upstream_relay(i), plan.upstream_address(i));
        if (!started)
        {
            return started.error();
        }
        to_upstreams.push_back(std::move(*started));
    }
    for (const auto& relay_addresses : plan.control_relays())
    {
        auto started =
            relay::start(relay_addresses.listen, relay_addresses.target);
        if (!started)
        {
            return started.error();
        }
        to_controls.push_back(std::move(*started));
    }
    return {};
}

error_code deployment::state::start_control(std::size_t index)
{
    const std::string name = plan.control_name(index);
    const auto settings = internal::write_settings(
        folder, name, plan.control_settings(index, folder.path(name)));
    return start_program(
        "nutmegusherd", {"--settings", settings}, name, controls[index]);
}

error_code deployment::state::start_daemon(std::size_t index)
{
    const std::string name = plan.daemon_name(index);
    const auto settings =
        internal::write_settings(folder, name, plan.daemon_settings(index));
    return start_program(
        "nutmegusherd", {"--settings", settings}, name, daemons[index]);
}

error_code deployment::state::start_upstream(std::size_t index)
{
    const auto& deployed = plan.options().upstreams[index];
    if (deployed.service.empty())
    {
        return {};
    }
    const std::string name = "u" + std::to_string(index);
    const std::vector<std::string> arguments{
        "--service=" + deployed.service,
        "--address=" + plan.upstream_address(index),
        "--announce-as=" + plan.announced_address(index),
        "--daemon=" + plan.daemon_upstream(index),
        "--journal=" + folder.path(name + ".journal"),
        "--behavior=" + deployed.behavior};
    return start_program(
        "stand_in_upstream", arguments, name, upstreams[index]);
}

outcome<std::unique_ptr<deployment>, error_code>
deployment::start(const deployment_options& options)
{
    auto block = address_block::reserve();
    auto folder = temporary_folder::make();
    if (!block || !folder)
    {
        return block ? folder.error() : block.error();
    }
    auto made = std::make_unique<state>(
        deployment_plan(options, std::move(*block)), std::move(*folder));
    made->controls.resize(options.control_hosts);
    made->daemons.resize(options.upstreams.size());
    made->upstreams.resize(options.upstreams.size());
    error_code error = made->start_relays();
    for (std::size_t i = 0; i < made->controls.size() && !error; ++i)
    {
        error = made->start_control(i);
    }
    for (std::size_t i = 0; i < made->daemons.size() && !error; ++i)
    {
        error = made->start_daemon(i);
        error = error ? error : made->start_upstream(i);
    }
    if (error)
    {
        return error;
    }
    return std::unique_ptr<deployment>(new deployment(std::move(made)));
}

deployment::deployment(std::unique_ptr<state> state)
    : state_(std::move(state))
{
}

deployment::~deployment() = default;

std::size_t deployment::control_count() const
{
    return state_->controls.size();
}

std::size_t deployment::daemon_count() const
{
    return state_->daemons.size();
}

child_process& deployment::control(std::size_t index)
{
    return *state_->controls[index];
}

child_process& deployment::daemon(std::size_t index)
{
    return *state_->daemons[index];
}

child_process& deployment::upstream(std::size_t index)
{
    return *state_->upstreams[index];
}

std::vector<std::string> deployment::crashes()
{
    for (std::size_t i = 0; i < control_count(); ++i)
    {
        state_->record_crash(state_->controls[i], "control ", i);
    }
    for (std::size_t i = 0; i < daemon_count(); ++i)
    {
        state_->record_crash(state_->daemons[i], "daemon ", i);
        state_->record_crash(state_->upstreams[i], "upstream ", i);
    }
    return std::exchange(state_->crashes, {});
}

bool deployment::restart_control(std::size_t index)
{
    state_->record_crash(state_->controls[index], "control ", index);
    state_->controls[index].reset();
    return !state_->start_control(index);
}

bool deployment::restart_daemon(std::size_t index)
{
    state_->record_crash(state_->daemons[index], "daemon ", index);
    state_->daemons[index].reset();
    return !state_->start_daemon(index);
}

bool deployment::restart_upstream(std::size_t index)
{
    state_->record_crash(state_->upstreams[index], "upstream ", index);
    state_->upstreams[index].reset();
    return !state_->start_upstream(index);
}

void deployment::remove_control_data(std::size_t index)
{
    std::error_code ignored;
    std::filesystem::remove_all(
        state_->folder.path(state_->plan.control_name(index)), ignored);
}

std::string deployment::control_operators(std::size_t index) const
{
    return state_->plan.control_operators(index);
}

std::vector<std::string> deployment::all_control_operators() const
{
    std::vector<std::string> all;
    for (std::size_t i = 0; i < control_count(); ++i)
    {
        all.push_back(control_operators(i));
    }
    return all;
}

std::string deployment::daemon_operators(std::size_t index) const
{
    return state_->plan.daemon_operators(index);
}

std::string deployment::daemon_callers(std::size_t index) const
{
    return state_->plan.daemon_callers(index);
}

std::vector<std::string> deployment::all_daemon_callers() const
{
    std::vector<std::string> all;
    for (std::size_t i = 0; i < daemon_count(); ++i)
    {
        all.push_back(daemon_callers(i));
    }
    return all;
}

std::string deployment::upstream_address(std::size_t index) const
{
    return state_->plan.upstream_address(index);
}

relay& deployment::upstream_relay(std::size_t index)
{
    return *state_->to_upstreams[index];
}

void deployment::isolate_control(std::size_t index, bool isolated)
{
    const auto behavior = isolated ? silent_behavior() : relay_behavior();
    const auto process = control(index).id();
    for (std::size_t i = 0; i < state_->to_controls.size(); ++i)
    {
        auto& control_relay = *state_->to_controls[i];
        if (i == index)
        {
            control_relay.set(behavior);
        }
        else if (isolated)
        {
            control_relay.set_for_process(process, behavior);
        }
        else
        {
            control_relay.clear_process(process);
        }
    }
}

void deployment::partition_control(std::size_t index, bool partitioned)
{
    const auto set_or_clear = [partitioned](relay& control_relay, pid_t process)
    {
        if (partitioned)
        {
            control_relay.set_for_process(process, silent_behavior());
        }
        else
        {
            control_relay.clear_process(process);
        }
    };
    for (std::size_t i = 0; i < state_->to_controls.size(); ++i)
    {
        if (i != index)
        {
            set_or_clear(*state_->to_controls[i], control(index).id());
            set_or_clear(*state_->to_controls[index], control(i).id());
        }
    }
}

bool deployment::declare(const std::vector<declared_class>& classes)
{
    std::uint64_t last = 0;
    for (const auto& item : classes)
    {
        const auto change = declaration("declare-" + item.name, 0, item);
        const auto answer = settle_change(all_control_operators(), change);
        if (answer.outcome != change_outcome::accepted)
        {
            return false;
        }
        last = answer.revision;
    }
    return wait_in_force(last);
}

bool deployment::wait_for_each_daemon(
    const std::function<bool(std::size_t)>& condition,
    std::chrono::milliseconds limit) const
{
    for (std::size_t i = 0; i < daemon_count(); ++i)
    {
        auto& process = *state_->daemons[i];
        const auto settled = [&]
        {
            return !process.running() || condition(i);
        };
        if (!wait_until(settled, limit) || process.crashed())
        {
            return false;
        }
    }
    return true;
}

bool deployment::wait_in_force(
    std::uint64_t revision, std::chrono::milliseconds limit) const
{
    const auto runs = [this, revision](std::size_t index)
    {
        const auto now = configuration_of(daemon_operators(index));
        return now && now->revision >= revision;
    };
    return wait_for_each_daemon(runs, limit);
}

bool deployment::wait_served(const offered_class& offered) const
{
    load_options options;
    options.classes = {offered};
    std::uint32_t round = 0;
    const auto served = [&](std::size_t index)
    {
        options.daemons = {daemon_callers(index)};
        options.prefix =
            "ready-" + std::to_string(index) + "-" + std::to_string(++round);
        return run_one(options).outcome == caller_outcome::completed;
    };
    return wait_for_each_daemon(served, std::chrono::seconds(30));
}

void deployment::control_upstream(
    std::size_t index, const std::string& behavior) const
{
    http_request request;
    request.method = "POST";
    request.target = "/stand-in/control";
    request.body = behavior;
    const auto taken = [&]
    {
        const auto answer = send_request(upstream_address(index), request);
        constexpr unsigned ok = 200;
        return answer && answer->status == ok;
    };
    [[maybe_unused]] const bool done = wait_until(taken);
}

execution_counts deployment::executions_by_token(std::string_view service) const
{
    execution_counts sum;
    for (std::size_t i = 0; i < daemon_count(); ++i)
    {
        const auto& own = state_->plan.options().upstreams[i].service;
        if (service.empty() || own == service)
        {
            const auto journal = "u" + std::to_string(i) + ".journal";
            const auto counts =
                read_journal_by_token(state_->folder.path(journal));
            for (const auto& [token, count] : counts)
            {
                sum[token].started += count.started;
                sum[token].finished += count.finished;
            }
        }
    }
    return sum;
}

std::string deployment::logs() const
{
    std::string text;
    for (std::size_t i = 0; i < control_count(); ++i)
    {
        const auto name = state_->plan.control_name(i) + ".log";
        text += "== " + name + "\n" + tail(file(name));
    }
    for (std::size_t i = 0; i < daemon_count(); ++i)
    {
        const auto name = state_->plan.daemon_name(i) + ".log";
        text += "== " + name + "\n" + tail(file(name));
    }
    return text;
}

std::string deployment::path(std::string_view name) const
{
    return state_->folder.path(name);
}

std::string deployment::file(std::string_view name) const
{
    return read_file(state_->folder.path(name));
}

} // namespace nutmegusher::test_support
