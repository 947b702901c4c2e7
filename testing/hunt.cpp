// Long randomized search for violations on running processes: random faults,
// load with idempotency keys and concurrent operators, checked by an oracle.
//
//     hunt SECONDS SEED
//
// Exit code 0: no violation; 1: a violation; 2: the run couldn't start.
#include "testing/configuration_watch.hpp"
#include "testing/fault_injector.hpp"
#include "testing/testing.hpp"

#include <atomic>
#include <iostream>
#include <thread>

namespace
{

namespace ts = nutmegusher::test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int exit_violation = 1;
constexpr int exit_setup_failed = 2;
constexpr milliseconds step_interval(400);
constexpr seconds round_length(10);
constexpr std::uint32_t operators = 3;

struct run_totals
{
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::size_t violations = 0;
};

ts::deployment_options deployment_under_test()
{
    ts::deployment_options options;
    options.relay_to_upstreams = true;
    options.relay_to_control = true;
    const std::string behavior = R"({"service_ms": 10, "exponential": true})";
    options.upstreams = {
        {"disbursement", behavior},
        {"disbursement", behavior},
        {"disbursement", behavior},
        {"balances", behavior},
        {"balances", behavior},
        {"statements", behavior}};
    return options;
}

// Runs one round of load while faults are injected.
std::vector<ts::load_record> run_round(
    const ts::deployment& cluster,
    ts::fault_injector& faults,
    std::uint64_t seed,
    std::uint64_t round)
{
    ts::load_options options;
    options.daemons = cluster.all_daemon_callers();
    options.classes = {
        ts::offered_payout(60), ts::offered_view(60), ts::offered_statement(5)};
    options.length = round_length;
    options.retries = round % 2 == 0 ? ts::client_retries::as_answer_allows
                                     : ts::client_retries::at_once;
    options.max_tries = 6;
    options.seed = seed + round;
    options.prefix = "hunt-" + std::to_string(round);
    std::atomic<bool> loading = true;
    std::vector<ts::load_record> records;
    std::thread load(
        [&]
        {
            records = ts::run_load(options);
            loading = false;
        });
    while (loading)
    {
        faults.step();
        std::this_thread::sleep_for(step_interval);
    }
    load.join();
    return records;
}

void check_round(
    const ts::deployment& cluster,
    const std::vector<ts::load_record>& records,
    run_totals& totals)
{
    ts::execution_counts counts;
    for (const auto* service : {"disbursement", "balances", "statements"})
    {
        ts::add_counts(counts, cluster.executions_by_token(service));
    }
    const auto violations = ts::check_executions(records, counts);
    totals.requests += records.size();
    totals.completed +=
        ts::count_outcome(records, ts::caller_outcome::completed);
    totals.not_run += ts::count_outcome(records, ts::caller_outcome::not_run);
    totals.unknown += ts::count_outcome(records, ts::caller_outcome::unknown);
    totals.violations += violations.size();
    if (!violations.empty())
    {
        std::cout << ts::to_text(violations) << '\n';
    }
}

void report(
    const run_totals& totals,
    const ts::fault_injector& faults,
    const ts::configuration_watch& watch)
{
    std::cout << "requests " << totals.requests << ", completed "
              << totals.completed << ", not run " << totals.not_run
              << ", unknown " << totals.unknown << '\n'
              << "changes accepted " << watch.accepted() << ", conflicts "
              << watch.conflicts() << ", revisions observed "
              << watch.observations() << '\n';
    std::uint64_t all = 0;
    for (const auto& [name, count] : faults.injected())
    {
        std::cout << "  " << name << ": " << count << '\n';
        all += count;
    }
    std::cout << "failures injected " << all << ", violations "
              << totals.violations << '\n';
}

int hunt(seconds length, std::uint64_t seed)
{
    auto started = ts::deployment::start(deployment_under_test());
    if (!started || !(*started)->declare(ts::association_classes()) ||
        !(*started)->wait_served(ts::offered_payout(1)))
    {
        std::cerr << "hunt: the deployment doesn't serve\n";
        return exit_setup_failed;
    }
    auto& cluster = **started;
    ts::fault_injector faults(cluster, seed);
    ts::configuration_watch watch(cluster, "fund", operators);
    run_totals totals;
    const auto end = std::chrono::steady_clock::now() + length;
    for (std::uint64_t round = 0; std::chrono::steady_clock::now() < end;
         ++round)
    {
        check_round(cluster, run_round(cluster, faults, seed, round), totals);
    }
    faults.repair_all();
    watch.stop();
    const auto problems = watch.find_problems();
    report(totals, faults, watch);
    std::cout << problems;
    const bool served = cluster.wait_served(ts::offered_payout(1));
    if (!served)
    {
        std::cout << "payouts aren't served after all was mended\n";
    }
    const auto crashes = cluster.crashes();
    for (const auto& name : crashes)
    {
        std::cout << name << " crashed\n";
    }
    const bool clean =
        problems.empty() && crashes.empty() && totals.violations == 0 && served;
    if (!clean)
    {
        std::cerr << cluster.logs();
    }
    return clean ? 0 : exit_violation;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        std::cerr << "usage: hunt SECONDS SEED\n";
        return exit_setup_failed;
    }
    try
    {
        return hunt(seconds(std::stol(argv[1])), std::stoull(argv[2]));
    }
    catch (const std::exception& problem)
    {
        std::cerr << "hunt: " << problem.what() << '\n';
        return exit_setup_failed;
    }
}
