// Measures the replicated logs on real files and loopback connections:
//
//     build/bin/control_bench [FOLDER]
//
// All hosts run in one process, with one thread each. FOLDER selects the disk
// to measure and defaults to the system's folder for temporary files.
#include "nutmegusher/execution/execution.hpp"
#include "nutmegusher/node/control_test_hosts.hpp"

#include <boost/asio/detached.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <vector>

namespace nutmegusher::node
{
namespace
{

constexpr std::uint64_t wall_ms = 1'700'000'000'000;
constexpr std::uint64_t first_sequence = wall_ms
                                         << attempt_sequence::counter_bits;

double milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// Processor time of all hosts together, as they share one process.
double processor_milliseconds()
{
    return static_cast<double>(std::clock()) * 1000 / CLOCKS_PER_SEC;
}

// Measures the processor use of hosts that receive no requests.
void measure_idle(std::size_t hosts)
{
    constexpr std::chrono::seconds span(3);
    const auto begun = processor_milliseconds();
    std::this_thread::sleep_for(span);
    const auto spent = processor_milliseconds() - begun;
    const auto share = spent / milliseconds(span) / static_cast<double>(hosts);
    std::printf(
        "idle hosts=%zu processor=%.2f%% of a core a host\n",
        hosts,
        share * 100);
}

double quantile(std::vector<double>& sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * share)];
}

messages::change make_declaration(std::uint64_t number)
{
    const auto name = "class-" + std::to_string(number);
    messages::change change;
    change.set_change_id("change-" + std::to_string(number));
    change.set_author("bench");
    auto& declared = *change.mutable_declare();
    declared.set_name(name);
    declared.set_service("disbursement");
    declared.set_path_prefix("/" + name);
    declared.mutable_target()->set_latency_ms(200);
    declared.mutable_target()->set_completion_ppm(999'000);
    return change;
}

// Change 0 declares the class; the others set its target.
messages::change make_change(std::uint64_t number)
{
    if (number == 0)
    {
        return make_declaration(0);
    }
    messages::change change;
    change.set_change_id("change-" + std::to_string(number));
    change.set_based_on(number);
    auto& what = *change.mutable_set_target();
    what.set_class_name("class-0");
    what.mutable_target()->set_latency_ms(
        100 + static_cast<std::uint32_t>(number % 100));
    what.mutable_target()->set_completion_ppm(999'000);
    return change;
}

messages::claim_command start_claim(std::uint64_t number)
{
    messages::claim_command command;
    command.mutable_key()->set_customer("charity-1");
    command.mutable_key()->set_class_name("payout");
    command.mutable_key()->set_idempotency_key(
        "payout-2026-12-02-" + std::to_string(number));
    command.mutable_by()->set_entry_host("entry-1#0");
    command.mutable_by()->set_entry_incarnation(wall_ms);
    command.mutable_by()->set_sequence(first_sequence + number);
    command.mutable_executor()->set_host("upstream-1");
    command.mutable_executor()->set_incarnation(wall_ms);
    command.mutable_start()->set_request_digest(number);
    command.set_proposed_at_ms(wall_ms);
    return command;
}

// Control hosts that run in this process and elect leaders.
class deployment
{
public:
    deployment(std::size_t size, const std::filesystem::path& folder)
    {
        for (std::size_t i = 0; i < size; ++i)
        {
            initial_.push_back(
                {host_id("c" + std::to_string(i + 1)), free_address()});
        }
        for (std::size_t i = 0; i < size; ++i)
        {
            control_settings settings;
            settings.data_folder = folder / initial_[i].host.str();
            settings.self = initial_[i].host;
            settings.address = initial_[i].address;
            settings.initial = initial_;
            hosts.push_back(std::make_unique<running_host>(settings));
        }
    }

    // Waits until a group has a leader, and returns the index of that host.
    std::size_t leader(std::uint32_t group)
    {
        while (true)
        {
            for (std::size_t i = 0; i < hosts.size(); ++i)
            {
                if (hosts[i] && role(i, group) == "leader")
                {
                    return i;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    std::vector<std::unique_ptr<running_host>> hosts;

private:
    std::string role(std::size_t host, std::uint32_t group)
    {
        const auto state = hosts[host]->logs().state();
        const auto& groups = state.at("groups").as_array();
        if (group >= groups.size())
        {
            return {};
        }
        const auto* found = groups[group].as_object().if_contains("role");
        return found == nullptr ? std::string()
                                : std::string(found->as_string());
    }

    std::vector<named_address> initial_;
};

struct load
{
    std::atomic<std::uint64_t> next{0};
    std::uint64_t total = 0;
    std::atomic<std::size_t> running{0};
    std::atomic<std::uint64_t> refused{0};
    std::vector<double> latencies;
};

asio::awaitable<void> claim_sequentially(control_logs& logs, load& work)
{
    for (auto number = work.next++; number < work.total; number = work.next++)
    {
        const auto begun = host_clock().now();
        const auto result = co_await logs.claim(start_claim(number));
        work.latencies.push_back(milliseconds(host_clock().now() - begun));
        if (result.verdict() != messages::claim_granted)
        {
            ++work.refused;
        }
    }
    --work.running;
}

// Sends all claims to one host, which forwards those of groups that other hosts
// lead.
void measure_claims(
    deployment& control,
    std::uint64_t from,
    std::uint64_t count,
    std::size_t callers)
{
    load work;
    work.next = from;
    work.total = from + count;
    work.running = callers;
    auto& entry = *control.hosts.front();
    const auto processor_begun = processor_milliseconds();
    const auto begun = host_clock().now();
    for (std::size_t i = 0; i < callers; ++i)
    {
        asio::co_spawn(
            entry.context(),
            claim_sequentially(entry.logs(), work),
            asio::detached);
    }
    while (work.running > 0)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const auto spent = milliseconds(host_clock().now() - begun);
    const auto processor = processor_milliseconds() - processor_begun;
    std::sort(work.latencies.begin(), work.latencies.end());
    std::printf(
        "claims hosts=%zu callers=%zu rate=%.0f/s p50=%.2fms p99=%.2fms "
        "processor=%.1fus/claim refused=%llu\n",
        control.hosts.size(),
        callers,
        static_cast<double>(count) * 1000 / spent,
        quantile(work.latencies, 0.5),
        quantile(work.latencies, 0.99),
        processor * 1000 / static_cast<double>(count),
        static_cast<unsigned long long>(work.refused));
}

// Sends changes sequentially, as each change of a class is based on the one
// before.
void measure_changes(deployment& control, std::uint64_t count)
{
    auto& leader = *control.hosts[control.leader(0)];
    std::vector<double> latencies;
    std::uint64_t refused = 0;
    const auto begun = host_clock().now();
    for (std::uint64_t i = 0; i < count; ++i)
    {
        const auto sent = host_clock().now();
        const auto result =
            leader.get(leader.logs().propose_change(make_change(i)));
        latencies.push_back(milliseconds(host_clock().now() - sent));
        refused += result.verdict() == messages::change_accepted ? 0 : 1;
    }
    const auto spent = milliseconds(host_clock().now() - begun);
    std::sort(latencies.begin(), latencies.end());
    std::printf(
        "changes hosts=%zu one-by-one rate=%.0f/s p50=%.2fms p99=%.2fms "
        "refused=%llu\n",
        control.hosts.size(),
        static_cast<double>(count) * 1000 / spent,
        quantile(latencies, 0.5),
        quantile(latencies, 0.99),
        static_cast<unsigned long long>(refused));
}

// Stops the leader of the configuration group and measures the time until a
// change is accepted through another host.
void measure_election(std::size_t size, const std::filesystem::path& folder)
{
    deployment control(size, folder);
    const auto first = control.leader(0);
    auto& leader = *control.hosts[first];
    leader.get(leader.logs().propose_change(make_change(0)));
    control.hosts[first].reset();
    const auto begun = host_clock().now();
    auto& other = *control.hosts[(first + 1) % size];
    messages::change_result result;
    do
    {
        result = other.get(other.logs().propose_change(make_change(1)));
    } while (result.verdict() == messages::change_unavailable);
    std::printf(
        "election hosts=%zu until-accepted=%.0fms\n",
        size,
        milliseconds(host_clock().now() - begun));
}

class null_listener
{
public:
    void send(const messages::replica_message&)
    {
    }
    void applied(const messages::log_entry&, const messages::change_result&)
    {
    }
    void members_changed(const messages::replica_set&)
    {
    }
    void restored()
    {
    }
    void read_confirmed(confirmed_read)
    {
    }
    void read_failed(read_ticket)
    {
    }
    void leadership_changed(leadership)
    {
    }
};

// Uses a single host, so that only reading and applying the log is measured.
void measure_restart(
    std::uint64_t count, bool snapshot, const std::filesystem::path& folder)
{
    using group = replicated_group<file_disk, configuration_store>;
    random_engine engine(1);
    replica_settings settings;
    settings.self = replica_id(1);
    snapshot_policy policy;
    policy.entries_between = snapshot ? 512 : 1'000'000'000;
    policy.log_to_snapshot_ratio = snapshot ? 2.0 : 1e9;
    null_listener listener;
    auto now = host_clock().now();
    {
        auto target = file_disk::open(folder);
        messages::replica_set members;
        auto& member = *members.add_members();
        member.set_identity(1);
        member.set_voter(true);
        static_cast<void>(group::bootstrap(*target, 0, members));
        auto made = group::open(settings, policy, *target, true, engine, now);
        auto& opened = **made;
        while (opened.core().role() != replica_role::leader)
        {
            now += std::chrono::milliseconds(100);
            opened.core().tick(now);
            static_cast<void>(opened.process_ready(listener, now));
        }
        for (std::uint64_t i = 0; i < count; ++i)
        {
            messages::log_entry entry;
            *entry.mutable_configuration_change() = make_change(i);
            static_cast<void>(opened.core().propose(entry, now));
            if (i % 100 == 99)
            {
                static_cast<void>(opened.process_ready(listener, now));
            }
        }
        static_cast<void>(opened.process_ready(listener, now));
    }
    const auto begun = host_clock().now();
    auto target = file_disk::open(folder);
    auto made = group::open(settings, policy, *target, true, engine, begun);
    auto& opened = **made;
    static_cast<void>(opened.process_ready(listener, begun));
    const auto spent = milliseconds(host_clock().now() - begun);
    std::printf(
        "restart changes=%llu snapshot=%s time=%.1fms revision=%llu "
        "log=%llu bytes snapshot=%llu bytes\n",
        static_cast<unsigned long long>(count),
        snapshot ? "yes" : "no",
        spent,
        static_cast<unsigned long long>(opened.machine().revision().value()),
        static_cast<unsigned long long>(opened.storage().log_bytes()),
        static_cast<unsigned long long>(opened.storage().snapshot_bytes()));
}

void measure_sizes()
{
    messages::log_entry claim;
    claim.set_index(1'000'000);
    claim.set_term(10);
    *claim.mutable_claim() = start_claim(1);
    messages::log_entry change;
    change.set_index(1'000'000);
    change.set_term(10);
    *change.mutable_configuration_change() = make_change(1);
    messages::replica_message heartbeat;
    heartbeat.set_from(~std::uint64_t{0});
    heartbeat.set_to(~std::uint64_t{0});
    heartbeat.set_term(10);
    auto& append = *heartbeat.mutable_append();
    append.set_previous_index(1'000'000);
    append.set_previous_term(10);
    append.set_commit(1'000'000);
    append.set_round(1'000'000);
    messages::replica_message reply;
    reply.set_from(~std::uint64_t{0});
    reply.set_to(~std::uint64_t{0});
    reply.set_term(10);
    reply.mutable_appended()->set_success(true);
    reply.mutable_appended()->set_match_index(1'000'000);
    reply.mutable_appended()->set_round(1'000'000);
    std::printf(
        "bytes claim-entry=%zu change-entry=%zu heartbeat=%zu reply=%zu "
        "frame-overhead=%zu\n",
        claim.ByteSizeLong(),
        change.ByteSizeLong(),
        heartbeat.ByteSizeLong(),
        reply.ByteSizeLong(),
        frame_overhead);
}

void measure_sync(const std::filesystem::path& folder)
{
    auto target = file_disk::open(folder);
    constexpr int count = 500;
    std::vector<double> spent;
    const std::string bytes(200, 'x');
    for (int i = 0; i < count; ++i)
    {
        const auto begun = host_clock().now();
        static_cast<void>(target->append("sync", bytes));
        static_cast<void>(target->sync("sync"));
        spent.push_back(milliseconds(host_clock().now() - begun));
    }
    std::sort(spent.begin(), spent.end());
    std::printf(
        "sync of 200 bytes p50=%.3fms p99=%.3fms\n",
        quantile(spent, 0.5),
        quantile(spent, 0.99));
}

void measure_all(const std::filesystem::path& folder)
{
    measure_sizes();
    measure_sync(folder / "sync");
    for (const std::size_t size : {3, 5})
    {
        const auto size_folder = folder / std::to_string(size);
        {
            deployment control(size, size_folder / "load");
            measure_changes(control, 500);
            // Waits until each claim group is led by its preferred host.
            std::this_thread::sleep_for(std::chrono::seconds(5));
            measure_idle(size);
            measure_claims(control, 0, 500, 1);
            measure_claims(control, 1'000, 10'000, 32);
            measure_claims(control, 100'000, 40'000, 256);
        }
        for (int i = 0; i < 5; ++i)
        {
            const auto name = "elect-" + std::to_string(i);
            measure_election(size, size_folder / name);
        }
    }
    for (const std::uint64_t count : {1'000, 20'000})
    {
        for (const bool snapshot : {false, true})
        {
            const auto name = "restart-" + std::to_string(count) +
                              (snapshot ? "-snapshot" : "");
            measure_restart(count, snapshot, folder / name);
        }
    }
}

} // namespace
} // namespace nutmegusher::node

int main(int count, char** arguments)
{
    nutmegusher::start_logging(
        nutmegusher::log_format::json, "control_bench", 0);
    const nutmegusher::node::scratch_folder scratch;
    const std::filesystem::path folder =
        count > 1 ? std::filesystem::path(arguments[1]) : scratch.path();
    std::filesystem::create_directories(folder);
    nutmegusher::node::measure_all(folder);
    return 0;
}
