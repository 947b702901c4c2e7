// Demonstrates a deployment on loopback step by step: three control hosts and
// daemons with stand-in upstreams of two services, one calling the other.
//
// Exit code 0: every step passed; 1: a step failed.
#include "testing/testing.hpp"

#include <boost/json.hpp>

#include <iostream>
#include <thread>

namespace
{

namespace ts = nutmegusher::test_support;

constexpr std::uint32_t new_target_ms = 1500;
constexpr std::uint64_t unknown_revision = 999'999;
constexpr double min_completed_share = 0.9;

// Prints steps and checks, and records whether all checks passed.
class report
{
public:
    void step(const std::string& title)
    {
        std::cout << "\n== " << ++number_ << ". " << title << '\n';
    }

    void check(bool passed, const std::string& what)
    {
        std::cout << (passed ? "ok      " : "FAILED  ") << what << '\n';
        all_passed_ = all_passed_ && passed;
    }

    [[nodiscard]] bool all_passed() const
    {
        return all_passed_;
    }

private:
    int number_ = 0;
    bool all_passed_ = true;
};

ts::deployment_options demonstration_options()
{
    ts::deployment_options options;
    const std::string payouts =
        R"({"service_ms": 5, "sub_calls": [{"target": "/balances/view"}]})";
    const std::string views = R"({"service_ms": 3})";
    options.upstreams = {
        {"disbursement", payouts},
        {"disbursement", payouts},
        {"balances", views},
        {"balances", views}};
    return options;
}

void print_answer(const ts::http_answer& answer)
{
    std::cout << "HTTP " << answer.status << '\n';
    for (const auto& header : answer.headers)
    {
        std::cout << "  " << header.name << ": " << header.value << '\n';
    }
    std::cout << "  (" << answer.body_size << " bytes of body)\n";
}

void show_payout(const ts::deployment& cluster, report& out)
{
    out.step("A member's payout; its upstream asks for a balance on the way");
    ts::http_request request;
    request.method = "POST";
    request.target = "/disbursement/pay";
    request.headers = {
        {"nutmeg-customer", "relief-fund"},
        {"idempotency-key", "demo-1"},
        {"x-token", "demo"}};
    request.body = "amount=250";
    std::cout << "POST /disbursement/pay, key demo-1, by the daemon beside a "
                 "balances upstream\n";
    const auto answer = ts::send_request(cluster.daemon_callers(2), request);
    out.check(answer && answer->status == 200, "the payout is answered");
    if (answer)
    {
        print_answer(*answer);
    }
    const auto again = ts::send_request(cluster.daemon_callers(3), request);
    out.check(
        again && answer && again->body_digest == answer->body_digest,
        "the same key through another daemon gets the first answer");
    out.check(
        cluster.executions_by_token("disbursement")["demo"].started == 1,
        "the payout ran once");
    out.check(
        cluster.executions_by_token("balances")["demo"].started == 1,
        "its sub-call ran once");
}

void show_dump(const ts::deployment& cluster, report& out)
{
    out.step("The state of a daemon (GET /v1/dump)");
    ts::http_request request;
    request.target = "/v1/dump";
    const auto answer = ts::send_request(cluster.daemon_operators(0), request);
    out.check(answer && answer->status == 200, "the dump is answered");
    if (answer)
    {
        std::cout << answer->body << '\n';
    }
}

void show_change(const ts::deployment& cluster, report& out)
{
    out.step("A change of target is in force everywhere");
    const auto hosts = cluster.all_control_operators();
    const auto present = ts::settle_change(
        hosts, ts::target_change("ask", unknown_revision, "view", 1));
    out.check(
        present.outcome == ts::change_outcome::conflict,
        "a change based on an unknown revision is a conflict");
    const auto answer = ts::settle_change(
        hosts,
        ts::target_change("demo", present.revision, "view", new_target_ms));
    out.check(
        answer.outcome == ts::change_outcome::accepted,
        "view's target " + std::to_string(new_target_ms) +
            " ms is accepted as revision " + std::to_string(answer.revision));
    out.check(
        cluster.wait_in_force(answer.revision),
        "every daemon runs that revision");
}

void show_kills(ts::deployment& cluster, report& out)
{
    out.step("One process after another is killed while requests run");
    ts::load_options load;
    load.daemons = {cluster.daemon_callers(2), cluster.daemon_callers(3)};
    load.classes = {ts::offered_payout(40), ts::offered_view(80)};
    load.length = std::chrono::seconds(5);
    load.retries = ts::client_retries::as_answer_allows;
    load.max_tries = 6;
    std::vector<ts::load_record> records;
    std::thread running(
        [&]
        {
            records = ts::run_load(load);
        });
    const auto pause = []
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
    };
    pause();
    cluster.control(0).kill();
    std::cout << "control host 0 killed\n";
    pause();
    cluster.daemon(0).kill();
    std::cout << "a daemon of the disbursement service killed\n";
    pause();
    out.check(cluster.restart_control(0), "control host 0 started again");
    out.check(cluster.restart_daemon(0), "the daemon started again");
    running.join();
    std::cout << ts::to_table(records, load);
    auto counts = cluster.executions_by_token("disbursement");
    for (const auto& [token, count] : cluster.executions_by_token("balances"))
    {
        // Only the views' own calls; sub-calls carry the payout's token.
        counts.emplace(token, count);
    }
    const auto violations = ts::check_executions(records, counts);
    out.check(
        violations.empty(),
        "no payout ran twice, no \"not run\" was false, no answer was wrong");
    const auto completed =
        ts::count_outcome(records, ts::caller_outcome::completed);
    out.check(
        static_cast<double>(completed) >=
            min_completed_share * static_cast<double>(records.size()),
        std::to_string(completed) + " of " + std::to_string(records.size()) +
            " requests completed");
}

int demonstrate()
{
    report out;
    out.step("Three control hosts, four daemons, four upstreams start");
    auto started = ts::deployment::start(demonstration_options());
    if (!started)
    {
        std::cerr << "demonstration: " << started.error().message() << '\n';
        return 1;
    }
    auto& cluster = **started;
    out.check(
        cluster.declare(ts::association_classes()),
        "the classes payout, view, fund and statement are in force");
    out.check(cluster.wait_served(ts::offered_view(1)), "views are served");
    out.check(cluster.wait_served(ts::offered_payout(1)), "payouts are served");
    if (out.all_passed())
    {
        show_payout(cluster, out);
        show_dump(cluster, out);
        show_change(cluster, out);
        show_kills(cluster, out);
    }
    out.check(cluster.crashes().empty(), "no process ended by itself");
    if (!out.all_passed())
    {
        std::cerr << cluster.logs();
    }
    std::cout
        << (out.all_passed() ? "\nAll steps passed.\n" : "\nA step failed.\n");
    return out.all_passed() ? 0 : 1;
}

} // namespace

int main()
{
    try
    {
        return demonstrate();
    }
    catch (const std::exception& problem)
    {
        std::cerr << "demonstration: " << problem.what() << '\n';
        return 1;
    }
}
