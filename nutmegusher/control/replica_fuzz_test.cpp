// Stateful fuzzing of three and five replicas. The cluster is the oracle: the
// entry committed at an index never changes or gets lost, a term has one
// leader, and a read sees everything that was acknowledged before it began.
// After the faults have ended the group must accept again and still hold
// everything that it ever acknowledged.
#include "nutmegusher/control/test_cluster.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

namespace nutmegusher::control_test
{
namespace
{

// The model is empty: the oracle inspects the replicas themselves.
struct no_model
{
};

using action = rc::state::Command<no_model, cluster>;

host& pick(cluster& hosts, std::size_t number)
{
    return hosts.hosts[number % hosts.hosts.size()];
}

// Performs an action, then checks the oracle.
class checked_action : public action
{
public:
    void run(const no_model&, cluster& hosts) const final
    {
        perform(hosts);
        RC_ASSERT(hosts.violation() == std::string());
    }

private:
    virtual void perform(cluster& hosts) const = 0;
};

// An action at one host. The meaning of `amount` depends on the action.
class host_action : public checked_action
{
public:
    void show(std::ostream& target) const override
    {
        target << name() << "(" << host_number << ", " << amount << ")";
    }

protected:
    const std::size_t host_number = *rc::gen::inRange<std::size_t>(0, 5);
    const std::uint32_t amount = *rc::gen::inRange<std::uint32_t>(0, 1000);

private:
    [[nodiscard]] virtual const char* name() const = 0;
};

struct let_time_pass : host_action
{
    void perform(cluster& hosts) const override
    {
        hosts.run(std::chrono::milliseconds(amount));
    }
    [[nodiscard]] const char* name() const override
    {
        return "let_time_pass";
    }
};

struct propose : host_action
{
    void perform(cluster& hosts) const override
    {
        auto* leader = hosts.leader();
        auto& at = amount % 4 == 0 || leader == nullptr
                       ? pick(hosts, host_number)
                       : *leader;
        for (std::uint32_t i = 0; i < 1 + amount % 9; ++i)
        {
            hosts.propose(at, "item-" + std::to_string(hosts.engine()));
        }
    }
    [[nodiscard]] const char* name() const override
    {
        return "propose";
    }
};

struct read_state : host_action
{
    void perform(cluster& hosts) const override
    {
        for (auto& each : hosts.hosts)
        {
            hosts.read(each);
        }
    }
    [[nodiscard]] const char* name() const override
    {
        return "read_state";
    }
};

struct crash : host_action
{
    void perform(cluster& hosts) const override
    {
        pick(hosts, host_number).crash();
    }
    [[nodiscard]] const char* name() const override
    {
        return "crash";
    }
};

struct crash_within_writing : host_action
{
    void perform(cluster& hosts) const override
    {
        pick(hosts, host_number).disk.fail_after(amount % 12);
    }
    [[nodiscard]] const char* name() const override
    {
        return "crash_within_writing";
    }
};

struct restart : host_action
{
    void perform(cluster& hosts) const override
    {
        auto& each = pick(hosts, host_number);
        each.crash();
        RC_ASSERT(each.start() || each.disk.capacity());
    }
    [[nodiscard]] const char* name() const override
    {
        return "restart";
    }
};

struct fill_disk : host_action
{
    void perform(cluster& hosts) const override
    {
        auto& disk = pick(hosts, host_number).disk;
        if (amount % 2 == 0)
        {
            disk.set_capacity(amount * 4);
        }
        else
        {
            disk.set_capacity(std::nullopt);
        }
    }
    [[nodiscard]] const char* name() const override
    {
        return "fill_disk";
    }
};

struct cut_network : host_action
{
    void perform(cluster& hosts) const override
    {
        std::set<std::string> side{pick(hosts, host_number).name()};
        if (amount % 2 == 0)
        {
            side.insert(pick(hosts, host_number + amount).name());
        }
        hosts.partition(side);
    }
    [[nodiscard]] const char* name() const override
    {
        return "cut_network";
    }
};

struct heal_network : host_action
{
    void perform(cluster& hosts) const override
    {
        hosts.heal();
    }
    [[nodiscard]] const char* name() const override
    {
        return "heal_network";
    }
};

struct disturb_network : host_action
{
    void perform(cluster& hosts) const override
    {
        hosts.faults.loss_percent = amount % 30;
        hosts.faults.duplicate_percent = amount % 20;
        hosts.faults.max_delay = std::chrono::milliseconds(amount % 300);
    }
    [[nodiscard]] const char* name() const override
    {
        return "disturb_network";
    }
};

struct freeze : host_action
{
    void perform(cluster& hosts) const override
    {
        pick(hosts, host_number).frozen = amount % 2 == 0;
    }
    [[nodiscard]] const char* name() const override
    {
        return "freeze";
    }
};

struct jump_clock : host_action
{
    void perform(cluster& hosts) const override
    {
        pick(hosts, host_number).clock_offset +=
            std::chrono::milliseconds(amount * 10);
    }
    [[nodiscard]] const char* name() const override
    {
        return "jump_clock";
    }
};

struct transfer : host_action
{
    void perform(cluster& hosts) const override
    {
        auto* leader = hosts.leader();
        if (leader == nullptr || leader->frozen)
        {
            return;
        }
        const auto target = pick(hosts, host_number).id();
        leaf::try_handle_all(
            [&]
            {
                return leader->running().core().transfer_leadership(
                    target, hosts.now + leader->clock_offset);
            },
            [] {});
        leader->process_ready();
    }
    [[nodiscard]] const char* name() const override
    {
        return "transfer";
    }
};

// Loses a disk, as long as at most a minority of the disks is lost at once. The
// repair command then runs step by step, interleaved with all other faults.
struct replace_disk : host_action
{
    void perform(cluster& hosts) const override
    {
        if (hosts.lost_voters() + 1 <= (hosts.hosts.size() - 1) / 2)
        {
            auto& each = pick(hosts, host_number);
            each.replace_disk();
            each.disk.set_capacity(std::nullopt);
            RC_ASSERT(each.start());
        }
    }
    [[nodiscard]] const char* name() const override
    {
        return "replace_disk";
    }
};

struct repair : host_action
{
    void perform(cluster& hosts) const override
    {
        if (auto* leader = hosts.leader())
        {
            hosts.repair(*leader);
        }
    }
    [[nodiscard]] const char* name() const override
    {
        return "repair";
    }
};

void end_all_faults(cluster& hosts)
{
    hosts.heal();
    hosts.faults = network_faults();
    for (auto& each : hosts.hosts)
    {
        each.crash();
        each.disk.set_capacity(std::nullopt);
        RC_ASSERT(each.start());
    }
}

void must_accept_again(cluster& hosts)
{
    const auto item = "must-" + std::to_string(hosts.engine());
    const bool accepted = hosts.run_until(
        [&hosts, &item]
        {
            auto* leader = hosts.leader();
            if (leader != nullptr &&
                hosts.now.time_since_epoch() % std::chrono::milliseconds(200) ==
                    duration::zero())
            {
                hosts.propose(*leader, item);
            }
            return hosts.acknowledged(item);
        });
    RC_ASSERT(hosts.violation() == std::string());
    RC_ASSERT(accepted);
}

void must_repair(cluster& hosts)
{
    const bool repaired = hosts.run_until(
        [&hosts]
        {
            auto* leader = hosts.leader();
            return leader != nullptr && hosts.repair(*leader);
        });
    RC_ASSERT(hosts.violation() == std::string());
    RC_ASSERT(repaired);
}

void must_hold_all(cluster& hosts)
{
    const bool all = hosts.run_until(
        [&hosts]
        {
            auto* leader = hosts.leader();
            return leader != nullptr && hosts.holds_all_acknowledged(*leader);
        });
    RC_ASSERT(all);
}

void fuzz(std::size_t size)
{
    cluster hosts(
        size, *rc::gen::arbitrary<std::uint64_t>(), snapshot_policy{6, 0.0, 3});
    // Before any other host has joined, losing the bootstrap host's disk loses
    // the group. Nothing was accepted by then, and operators would bootstrap it
    // again.
    must_accept_again(hosts);
    rc::state::check(
        no_model(),
        hosts,
        [](const no_model&)
        {
            return rc::gen::oneOf(
                rc::state::gen::execOneOfWithArgs<
                    let_time_pass,
                    propose,
                    read_state,
                    restart,
                    repair>()(no_model()),
                rc::state::gen::execOneOfWithArgs<
                    let_time_pass,
                    propose,
                    read_state,
                    crash,
                    crash_within_writing,
                    restart,
                    fill_disk,
                    cut_network,
                    heal_network,
                    disturb_network,
                    freeze,
                    jump_clock,
                    transfer,
                    replace_disk,
                    repair>()(no_model()));
        });
    end_all_faults(hosts);
    must_accept_again(hosts);
    must_repair(hosts);
    must_accept_again(hosts);
    must_hold_all(hosts);
}

RC_GTEST_PROP(replica_fuzz, three_hosts_keep_what_they_acknowledged, ())
{
    fuzz(3);
}

RC_GTEST_PROP(replica_fuzz, five_hosts_keep_what_they_acknowledged, ())
{
    fuzz(5);
}

} // namespace
} // namespace nutmegusher::control_test
