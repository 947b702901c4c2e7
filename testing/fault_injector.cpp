#include "testing/fault_injector.hpp"

#include <algorithm>
#include <array>

namespace nutmegusher::test_support
{

namespace
{

constexpr std::size_t most_open = 2;
constexpr std::uint32_t most_steps = 6;

constexpr std::string_view healthy =
    R"({"slow_factor": 1, "cut_share": 0, "error_share": 0, "late_ms": 0,
        "shed_above": 0, "state": "serving"})";

constexpr std::array<std::string_view, 6> misbehaviors{
    R"({"slow_factor": 20})",
    R"({"cut_share": 0.5})",
    R"({"error_share": 0.5})",
    R"({"late_ms": 700})",
    R"({"shed_above": 2})",
    R"({"shed_above": 2, "shed_says_not_run": false})"};

constexpr std::string_view names_of_parts[] = {
    "control host",
    "daemon",
    "upstream",
    "upstream connections",
    "control network"};
constexpr std::string_view names_of_harms[] = {
    "killed",
    "frozen",
    "silenced",
    "cut",
    "isolated",
    "misbehaving",
    "leaving"};

} // namespace

fault_injector::fault_injector(deployment& target, std::uint64_t seed)
    : target_(target)
    , random_(seed)
{
}

void fault_injector::step()
{
    for (auto& broken : open_)
    {
        --broken.steps_left;
    }
    const auto is_over = [](const fault& broken)
    {
        return broken.steps_left == 0;
    };
    for (const auto& broken : open_)
    {
        if (is_over(broken))
        {
            mend(broken);
        }
    }
    std::erase_if(open_, is_over);
    const auto wanted = choose();
    if (allowed(wanted))
    {
        apply(wanted);
        open_.push_back(wanted);
        std::string name(
            names_of_parts[static_cast<std::size_t>(wanted.where)]);
        name += " ";
        name += names_of_harms[static_cast<std::size_t>(wanted.how)];
        ++injected_[name];
    }
}

void fault_injector::heal()
{
    for (const auto& broken : open_)
    {
        mend(broken);
    }
    open_.clear();
}

fault_injector::fault fault_injector::choose()
{
    fault wanted;
    wanted.where = static_cast<part>(uniform_below(random_, 5));
    wanted.steps_left =
        1 + static_cast<std::uint32_t>(uniform_below(random_, most_steps));
    const bool control =
        wanted.where == part::control || wanted.where == part::control_network;
    wanted.index = uniform_below(
        random_, control ? target_.control_count() : target_.daemon_count());
    const bool first = uniform_below(random_, 2) == 0;
    switch (wanted.where)
    {
    case part::control:
    case part::daemon:
        wanted.how = first ? harm::killed : harm::frozen;
        break;
    case part::upstream:
        wanted.how = static_cast<harm>(std::array{
            harm::killed,
            harm::frozen,
            harm::misbehaving,
            harm::leaving}[uniform_below(random_, 4)]);
        break;
    case part::upstream_connections:
        wanted.how = first ? harm::silenced : harm::cut;
        break;
    case part::control_network:
        wanted.how = harm::isolated;
        break;
    }
    return wanted;
}

bool fault_injector::allowed(const fault& wanted) const
{
    const auto of_control = [](const fault& each)
    {
        return each.where == part::control ||
               each.where == part::control_network;
    };
    const auto clashes = [&](const fault& each)
    {
        return of_control(each) == of_control(wanted) &&
               (of_control(each) || each.index == wanted.index);
    };
    return open_.size() < most_open &&
           std::none_of(open_.begin(), open_.end(), clashes);
}

void fault_injector::apply(const fault& wanted)
{
    switch (wanted.where)
    {
    case part::control:
        break_process(target_.control(wanted.index), wanted.how);
        break;
    case part::daemon:
        break_process(target_.daemon(wanted.index), wanted.how);
        break;
    case part::upstream:
        if (wanted.how == harm::misbehaving)
        {
            misbehave(wanted.index);
        }
        else if (wanted.how == harm::leaving)
        {
            target_.control_upstream(wanted.index, R"({"state": "leaving"})");
        }
        else
        {
            break_process(target_.upstream(wanted.index), wanted.how);
        }
        break;
    case part::upstream_connections:
        if (wanted.how == harm::cut)
        {
            target_.upstream_relay(wanted.index).cut();
        }
        else
        {
            relay_behavior silent;
            silent.to_target = relay_direction::silent;
            silent.to_client = relay_direction::silent;
            silent.new_connections_too = uniform_below(random_, 2) == 0;
            target_.upstream_relay(wanted.index).set(silent);
        }
        break;
    case part::control_network:
        target_.isolate_control(wanted.index, true);
        break;
    }
}

void fault_injector::break_process(child_process& process, harm how)
{
    if (how == harm::killed)
    {
        process.kill();
    }
    else
    {
        process.freeze();
    }
}

void fault_injector::misbehave(std::size_t index)
{
    const auto choice = uniform_below(random_, misbehaviors.size());
    target_.control_upstream(index, std::string(misbehaviors[choice]));
}

void fault_injector::mend(const fault& broken)
{
    const bool killed = broken.how == harm::killed;
    switch (broken.where)
    {
    case part::control:
        killed ? void(target_.restart_control(broken.index))
               : target_.control(broken.index).thaw();
        break;
    case part::daemon:
        killed ? void(target_.restart_daemon(broken.index))
               : target_.daemon(broken.index).thaw();
        break;
    case part::upstream:
        if (killed)
        {
            target_.restart_upstream(broken.index);
        }
        else if (broken.how == harm::frozen)
        {
            target_.upstream(broken.index).thaw();
        }
        else
        {
            target_.control_upstream(broken.index, std::string(healthy));
        }
        break;
    case part::upstream_connections:
        target_.upstream_relay(broken.index).set({});
        break;
    case part::control_network:
        target_.isolate_control(broken.index, false);
        break;
    }
}

} // namespace nutmegusher::test_support
