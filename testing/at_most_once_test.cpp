// A payout must run at most once under any fault, and a call reported as "not
// run" must not have run.
#include "testing/process_test_fixture.hpp"

#include <thread>

namespace nutmegusher::test_support
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double rate = 60.0;
constexpr double min_completed_share = 0.95;

class at_most_once : public process_test
{
protected:
    void SetUp() override
    {
        deployment_options options;
        const std::string behavior =
            R"({"service_ms": 20, "exponential": true})";
        options.upstreams.assign(3, {"disbursement", behavior});
        start(options, association_classes(), {offered_payout(1)});
    }

    // Resends the requests with unknown outcomes, with the same keys.
    void resolve(std::vector<load_record>& records) const
    {
        for (auto& record : records)
        {
            if (record.outcome == caller_outcome::unknown)
            {
                ask_again(record);
            }
        }
    }

    void ask_again(load_record& record) const
    {
        const auto offered = offered_payout(1);
        http_request request;
        request.method = offered.method;
        request.target = offered.target;
        request.headers = {
            {"x-token", record.token},
            {"x-answer-bytes", std::to_string(offered.answer_bytes)},
            {"nutmeg-customer", record.customer},
            {"idempotency-key", record.key}};
        request.body.resize(offered.body_bytes);
        fill_pattern(record.token, 0, request.body);
        const auto answer = send_request(cluster->daemon_callers(0), request);
        if (answer && answer->header("nutmeg-outcome") == "completed")
        {
            record.outcome = caller_outcome::completed;
        }
    }
};

TEST_F(at_most_once, callers_that_give_up_early_and_retry_elsewhere)
{
    for (std::size_t i = 0; i < cluster->daemon_count(); ++i)
    {
        cluster->control_upstream(i, R"({"late_ms": 300})");
    }
    auto offered = offered_payout(rate);
    offered.timeout = milliseconds(150);
    auto options = load({offered}, 2);
    options.retries = client_retries::at_once;
    const auto records = run_load(options);
    expect_no_violation(records);
}

TEST_F(at_most_once, the_same_key_twice_at_the_same_moment)
{
    std::vector<running_load> racing;
    for (std::size_t i = 0; i < cluster->daemon_count(); ++i)
    {
        auto options = load({offered_payout(rate)}, 2);
        options.daemons = {cluster->daemon_callers(i)};
        options.prefix = "same";
        racing.push_back(run_beside(options));
    }
    std::size_t completed = 0;
    for (auto& each : racing)
    {
        const auto records = each.get();
        // Three callers share each key, and a "not run" holds for one caller's
        // tries only, so the check counts executions.
        for (const auto& [token, count] :
             cluster->executions_by_token("disbursement"))
        {
            EXPECT_LE(count.started, 1U) << token;
        }
        completed += count_outcome(records, caller_outcome::completed);
    }
    EXPECT_GT(completed, 0U);
}

TEST_F(at_most_once, a_repeated_key_gets_its_first_outcome)
{
    const auto options = load({offered_payout(rate)}, 1);
    const auto first = run_load(options);
    expect_completed(first, min_completed_share);
    const auto second = run_load(options);
    expect_completed(second, min_completed_share);
    expect_no_violation(first);
    expect_no_violation(second);
}

TEST_F(at_most_once, the_same_key_with_another_body_is_refused)
{
    http_request request;
    request.method = "POST";
    request.target = "/disbursement/pay";
    request.headers = {
        {"x-token", "k"}, {"nutmeg-customer", "c"}, {"idempotency-key", "k"}};
    request.body = "amount=5";
    const auto first = send_request(cluster->daemon_callers(0), request);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->status, 200) << first->header("nutmeg-reason");
    request.body = "amount=6";
    const auto second = send_request(cluster->daemon_callers(1), request);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->status, 422);
    EXPECT_EQ(second->header("nutmeg-reason"), "key-reused");
    EXPECT_EQ(second->header("nutmeg-outcome"), "not-run");
    EXPECT_EQ(cluster->executions_by_token("disbursement").at("k").started, 1U);
}

TEST_F(at_most_once, daemons_killed_while_payouts_run)
{
    auto running = run_beside(load({offered_payout(rate)}, 4));
    for (std::size_t i = 0; i < cluster->daemon_count(); ++i)
    {
        EXPECT_TRUE(wait_started("disbursement", 20));
        cluster->daemon(i).kill();
        EXPECT_TRUE(wait_started("disbursement", 10));
        EXPECT_TRUE(cluster->restart_daemon(i));
        EXPECT_TRUE(wait_until(
            [&]
            {
                return configuration_of(cluster->daemon_operators(i))
                    .has_value();
            }));
    }
    auto records = running.get();
    expect_no_violation(records);
    resolve(records);
    expect_no_violation(records);
    expect_completed(records, 0.5);
}

TEST_F(at_most_once, upstreams_killed_while_payouts_run)
{
    auto running = run_beside(load({offered_payout(rate)}, 3));
    for (std::size_t i = 0; i < cluster->daemon_count(); ++i)
    {
        EXPECT_TRUE(wait_started("disbursement", 20));
        cluster->upstream(i).kill();
        EXPECT_TRUE(wait_started("disbursement", 10));
        EXPECT_TRUE(cluster->restart_upstream(i));
    }
    const auto records = running.get();
    expect_no_violation(records);
    expect_completed(records, 0.5);
}

TEST_F(at_most_once, frozen_daemon_wakes_after_others_went_on)
{
    auto running = run_beside(load({offered_payout(rate)}, 5));
    EXPECT_TRUE(wait_started("disbursement", 20));
    cluster->daemon(0).freeze();
    EXPECT_TRUE(wait_started("disbursement", 20));
    std::this_thread::sleep_for(seconds(2));
    cluster->daemon(0).thaw();
    const auto records = running.get();
    expect_no_violation(records);
    expect_completed(records, 0.3);
}

TEST_F(at_most_once, frozen_upstream_while_its_daemon_is_killed)
{
    auto running = run_beside(load({offered_payout(rate)}, 4));
    EXPECT_TRUE(wait_started("disbursement", 20));
    cluster->upstream(0).freeze();
    EXPECT_TRUE(wait_started("disbursement", 10));
    cluster->daemon(0).kill();
    cluster->upstream(0).thaw();
    EXPECT_TRUE(cluster->restart_daemon(0));
    expect_no_violation(running.get());
}

TEST_F(at_most_once, control_host_and_its_disk_lost)
{
    const auto options = load({offered_payout(rate)}, 4);
    auto running = run_beside(options);
    for (std::size_t i = 0; i < 2; ++i)
    {
        EXPECT_TRUE(wait_started("disbursement", 20));
        cluster->control(i).kill();
        EXPECT_TRUE(wait_started("disbursement", 20));
        EXPECT_TRUE(cluster->restart_control(i));
    }
    EXPECT_TRUE(wait_started("disbursement", 10));
    cluster->control(2).kill();
    cluster->remove_control_data(2);
    EXPECT_TRUE(cluster->restart_control(2));
    const auto first = running.get();
    expect_no_violation(first);
    expect_completed(first, 0.5);
    // Resends every key: the claims must have survived the faults.
    const auto second = run_load(options);
    expect_no_violation(second);
    expect_completed(second, 0.5);
}

TEST_F(at_most_once, control_majority_lost_refuses_and_does_not_run)
{
    cluster->control(0).kill();
    cluster->control(1).kill();
    auto offered = offered_payout(rate);
    offered.timeout = milliseconds(800);
    auto options = load({offered}, 2);
    options.max_tries = 2;
    const auto records = run_load(options);
    expect_no_violation(records);
    EXPECT_EQ(
        count_outcome(records, caller_outcome::completed) +
            count_outcome(records, caller_outcome::not_run) +
            count_outcome(records, caller_outcome::unknown),
        records.size());
}

} // namespace
} // namespace nutmegusher::test_support
