#include "testing/fault_injector.hpp"

#include <algorithm>
#include <array>

namespace nutmegusher::test_support
{

namespace
{

constexpr std::size_t max_active_faults = 2;
constexpr std::uint32_t max_fault_steps = 6;

constexpr std::string_view healthy_behavior =
    R"({"slow_factor": 1, "cut_share": 0, "error_share": 0, "late_ms": 0,
        "shed_above": 0, "state": "serving"})";

constexpr std::array<std::string_view, 6> faulty_behaviors{
    R"({"slow_factor": 20})",
    R"({"cut_share": 0.5})",
    R"({"error_share": 0.5})",
    R"({"late_ms": 700})",
    R"({"shed_above": 2})",
    R"({"shed_above": 2, "shed_says_not_run": false})"};

constexpr std::string_view component_names[] = {
    "control host",
    "daemon",
    "upstream",
    "upstream connections",
    "control network"};
constexpr std::string_view fault_kind_names[] = {
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
    for (auto& active : active_)
    {
        --active.steps_left;
    }
    const auto is_over = [](const fault& active)
    {
        return active.steps_left == 0;
    };
    for (const auto& active : active_)
    {
        if (is_over(active))
        {
            repair(active);
        }
    }
    std::erase_if(active_, is_over);
    const auto wanted = choose();
    if (allowed(wanted))
    {
        apply(wanted);
        active_.push_back(wanted);
        std::string name(
            component_names[static_cast<std::size_t>(wanted.component)]);
        name += " ";
        name += fault_kind_names[static_cast<std::size_t>(wanted.kind)];
        ++injected_[name];
    }
}

void fault_injector::repair_all()
{
    for (const auto& active : active_)
    {
        repair(active);
    }
    active_.clear();
}

fault_injector::fault fault_injector::choose()
{
    fault wanted;
    wanted.component = static_cast<component_kind>(uniform_below(random_, 5));
    wanted.steps_left =
        1 + static_cast<std::uint32_t>(uniform_below(random_, max_fault_steps));
    const bool control = wanted.component == component_kind::control ||
                         wanted.component == component_kind::control_network;
    wanted.index = uniform_below(
        random_, control ? target_.control_count() : target_.daemon_count());
    const bool first = uniform_below(random_, 2) == 0;
    switch (wanted.component)
    {
    case component_kind::control:
    case component_kind::daemon:
        wanted.kind = first ? fault_kind::killed : fault_kind::frozen;
        break;
    case component_kind::upstream:
        wanted.kind = static_cast<fault_kind>(std::array{
            fault_kind::killed,
            fault_kind::frozen,
            fault_kind::misbehaving,
            fault_kind::leaving}[uniform_below(random_, 4)]);
        break;
    case component_kind::upstream_connections:
        wanted.kind = first ? fault_kind::silenced : fault_kind::cut;
        break;
    case component_kind::control_network:
        wanted.kind = fault_kind::isolated;
        break;
    }
    return wanted;
}

bool fault_injector::allowed(const fault& wanted) const
{
    const auto affects_control = [](const fault& each)
    {
        return each.component == component_kind::control ||
               each.component == component_kind::control_network;
    };
    const auto conflicts_with = [&](const fault& each)
    {
        return affects_control(each) == affects_control(wanted) &&
               (affects_control(each) || each.index == wanted.index);
    };
    return active_.size() < max_active_faults &&
           std::none_of(active_.begin(), active_.end(), conflicts_with);
}

void fault_injector::apply(const fault& wanted)
{
    switch (wanted.component)
    {
    case component_kind::control:
        break_process(target_.control(wanted.index), wanted.kind);
        break;
    case component_kind::daemon:
        break_process(target_.daemon(wanted.index), wanted.kind);
        break;
    case component_kind::upstream:
        if (wanted.kind == fault_kind::misbehaving)
        {
            misbehave(wanted.index);
        }
        else if (wanted.kind == fault_kind::leaving)
        {
            target_.control_upstream(wanted.index, R"({"state": "leaving"})");
        }
        else
        {
            break_process(target_.upstream(wanted.index), wanted.kind);
        }
        break;
    case component_kind::upstream_connections:
        if (wanted.kind == fault_kind::cut)
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
    case component_kind::control_network:
        target_.isolate_control(wanted.index, true);
        break;
    }
}

void fault_injector::break_process(child_process& process, fault_kind kind)
{
    if (kind == fault_kind::killed)
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
    const auto choice = uniform_below(random_, faulty_behaviors.size());
    target_.control_upstream(index, std::string(faulty_behaviors[choice]));
}

void fault_injector::repair(const fault& active)
{
    const bool killed = active.kind == fault_kind::killed;
    switch (active.component)
    {
    case component_kind::control:
        killed ? void(target_.restart_control(active.index))
               : target_.control(active.index).thaw();
        break;
    case component_kind::daemon:
        killed ? void(target_.restart_daemon(active.index))
               : target_.daemon(active.index).thaw();
        break;
    case component_kind::upstream:
        if (killed)
        {
            target_.restart_upstream(active.index);
        }
        else if (active.kind == fault_kind::frozen)
        {
            target_.upstream(active.index).thaw();
        }
        else
        {
            target_.control_upstream(
                active.index, std::string(healthy_behavior));
        }
        break;
    case component_kind::upstream_connections:
        target_.upstream_relay(active.index).set({});
        break;
    case component_kind::control_network:
        target_.isolate_control(active.index, false);
        break;
    }
}

} // namespace nutmegusher::test_support
