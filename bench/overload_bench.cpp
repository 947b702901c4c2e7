// Measures goodput, recovery and tries under overload with the shipped and the
// naive decisions, on processes that communicate over loopback.
//
//     overload_bench [seconds of surge] [factor ...]
//
// The load is 0.7 times the capacity, rises to `factor` times the capacity
// during the surge, and falls back. Clients retry at once, up to three tries.
#include "testing/testing.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>

namespace
{

namespace ts = nutmegusher::test_support;
using std::chrono::milliseconds;

// Two upstreams with 4 slots of 10 ms each.
constexpr double capacity = 800.0;
constexpr double base_factor = 0.7;
constexpr double payout_share = 0.15;
constexpr double view_share = 0.35;
constexpr double statement_share = 0.5;
constexpr milliseconds before_surge(2000);
constexpr milliseconds after_surge(6000);
constexpr milliseconds window(250);
constexpr double recovered_share = 0.95;
constexpr std::uint32_t client_tries = 3;

std::vector<ts::offered_class> offered(double factor, milliseconds surge)
{
    const double base = capacity * base_factor;
    std::vector<ts::offered_class> classes{
        ts::in_shared_service(ts::offered_payout(base * payout_share)),
        ts::in_shared_service(ts::offered_view(base * view_share)),
        ts::in_shared_service(ts::offered_statement(base * statement_share))};
    for (auto& item : classes)
    {
        item.answer_bytes = 500;
        item.timeout = milliseconds(1000);
        item.surge_factor = factor / base_factor;
        item.surge_from = before_surge;
        item.surge_for = surge;
    }
    return classes;
}

// Milliseconds from the end of the surge until every later window completes at
// least `recovered_share` of the requests that arrive in it.
double
recovery_ms(const std::vector<ts::load_record>& records, milliseconds surge_end)
{
    std::map<std::int64_t, std::pair<double, double>> windows;
    for (const auto& record : records)
    {
        const auto since = record.arrival - surge_end;
        if (since.count() >= 0)
        {
            auto& [all, completed] = windows[since / window];
            all += 1;
            completed +=
                record.outcome == ts::caller_outcome::completed ? 1 : 0;
        }
    }
    std::int64_t last_bad = -1;
    for (const auto& [index, counts] : windows)
    {
        if (counts.second < recovered_share * counts.first)
        {
            last_bad = index;
        }
    }
    return static_cast<double>((last_bad + 1) * window.count());
}

double surge_goodput(
    const std::vector<ts::load_record>& records,
    const std::string& name,
    milliseconds surge,
    bool as_share)
{
    double all = 0;
    double completed = 0;
    for (const auto& record : records)
    {
        const bool inside = record.arrival >= before_surge &&
                            record.arrival < before_surge + surge;
        if (inside && (name.empty() || record.class_name == name))
        {
            all += 1;
            completed +=
                record.outcome == ts::caller_outcome::completed ? 1 : 0;
        }
    }
    const double seconds = std::chrono::duration<double>(surge).count();
    return as_share ? 100.0 * completed / std::max(all, 1.0)
                    : completed / seconds;
}

bool measure(double factor, milliseconds surge, bool naive)
{
    ts::deployment_options options;
    options.naive = naive;
    options.upstreams.assign(2, {"cash", R"({"slots": 4, "service_ms": 10})"});
    auto started = ts::deployment::start(options);
    if (!started || !(*started)->declare(ts::shared_service_classes()) ||
        !(*started)->wait_served(ts::in_shared_service(ts::offered_view(1))))
    {
        return false;
    }
    ts::load_options load;
    load.daemons = (*started)->all_daemon_callers();
    load.classes = offered(factor, surge);
    load.length = before_surge + surge + after_surge;
    load.retries = ts::client_retries::at_once;
    load.max_tries = client_tries;
    const auto records = ts::run_load(load);
    double executions = 0;
    for (const auto& [token, count] : (*started)->executions_by_token("cash"))
    {
        executions += count.started;
    }
    const auto end = before_surge + surge;
    std::printf(
        "%-6s %6.1f %10.1f %8.1f%% %8.1f%% %8.1f%% %10.2f %12.0f\n",
        naive ? "naive" : "ours",
        factor,
        surge_goodput(records, "", surge, false),
        surge_goodput(records, "payout", surge, true),
        surge_goodput(records, "view", surge, true),
        surge_goodput(records, "statement", surge, true),
        executions / static_cast<double>(records.size()),
        recovery_ms(records, end));
    std::fflush(stdout);
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    const milliseconds surge(argc > 1 ? std::stol(argv[1]) * 1000L : 4000L);
    std::vector<double> factors{0.8, 1.0, 2.0, 3.0, 5.0};
    if (argc > 2)
    {
        factors.clear();
        for (int i = 2; i < argc; ++i)
        {
            factors.push_back(std::stod(argv[i]));
        }
    }
    std::printf(
        "%-6s %6s %10s %9s %9s %9s %10s %12s\n",
        "",
        "factor",
        "goodput/s",
        "payout",
        "view",
        "statement",
        "runs/req",
        "recovery ms");
    for (const double factor : factors)
    {
        if (!measure(factor, surge, false) || !measure(factor, surge, true))
        {
            std::cerr << "overload_bench: the deployment failed to start or to "
                         "serve\n";
            return 1;
        }
    }
    return 0;
}
