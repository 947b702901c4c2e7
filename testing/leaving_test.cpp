// Leaving upstreams must get no new calls, and a planned stop must not
// interrupt any.
#include "testing/process_test_fixture.hpp"

#include <csignal>
#include <thread>

namespace nutmegusher::test_support
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// The requirement is "after a few seconds".
constexpr seconds leaving_bound(4);
constexpr seconds stop_bound(30);

class leaving : public process_test
{
protected:
    void SetUp() override
    {
        deployment_options options;
        const std::string behavior = R"({"service_ms": 60})";
        options.upstreams = {
            {"disbursement", behavior},
            {"disbursement", behavior},
            {"balances", behavior},
            {"balances", behavior}};
        start(
            options,
            association_classes(),
            {offered_payout(1), offered_view(1)});
    }

    // The number of calls that one upstream has started.
    std::uint32_t executions_started_by(std::size_t index) const
    {
        std::uint32_t started = 0;
        const auto journal = "u" + std::to_string(index) + ".journal";
        for (const auto& [token, count] :
             read_journal_by_token(cluster->path(journal)))
        {
            started += count.started;
        }
        return started;
    }

    // Load through the given daemons.
    load_options
    load_through(const std::vector<std::size_t>& daemons, double seconds) const
    {
        auto options = load({offered_payout(60), offered_view(100)}, seconds);
        options.daemons.clear();
        for (const auto index : daemons)
        {
            options.daemons.push_back(cluster->daemon_callers(index));
        }
        return options;
    }

    void expect_all_completed(const std::vector<load_record>& records) const
    {
        load_options for_table;
        EXPECT_EQ(
            count_outcome(records, caller_outcome::completed), records.size())
            << to_table(records, for_table) << cluster->logs();
    }
};

TEST_F(leaving, upstream_that_leaves_gets_no_new_work)
{
    auto running = run_beside(load_through({0, 1, 2, 3}, 8));
    EXPECT_TRUE(wait_started("balances", 20));
    cluster->control_upstream(2, R"({"state": "leaving"})");
    std::this_thread::sleep_for(leaving_bound);
    const auto then = executions_started_by(2);
    EXPECT_TRUE(wait_started("balances", 100));
    EXPECT_EQ(executions_started_by(2), then);
    expect_all_completed(running.get());
}

TEST_F(leaving, upstream_that_vanishes_gets_its_work_elsewhere)
{
    auto running = run_beside(load_through({0, 1, 2, 3}, 4));
    EXPECT_TRUE(wait_started("balances", 20));
    cluster->upstream(2).kill();
    const auto records = running.get();
    expect_no_violation(records);
    expect_completed(records, 0.95);
}

TEST_F(leaving, stopped_daemon_finishes_what_is_in_flight)
{
    auto running = run_beside(load_through({0, 2}, 4));
    EXPECT_TRUE(wait_started("balances", 20));
    cluster->daemon(3).signal(SIGTERM);
    cluster->daemon(1).signal(SIGTERM);
    const auto views = cluster->daemon(3).wait_exit(stop_bound);
    const auto payouts = cluster->daemon(1).wait_exit(stop_bound);
    ASSERT_TRUE(views);
    ASSERT_TRUE(payouts);
    EXPECT_EQ(views->code, 0);
    EXPECT_EQ(payouts->code, 0);
    const auto records = running.get();
    expect_no_violation(records);
    expect_all_completed(records);
}

TEST_F(leaving, callers_of_a_stopped_daemon_get_their_answers)
{
    // Longer than a fixed delay in the shutdown would cover.
    cluster->control_upstream(2, R"({"service_ms": 4000})");
    cluster->control_upstream(3, R"({"service_ms": 4000})");
    auto patient = offered_view(50);
    patient.timeout = seconds(20);
    auto options = load({patient}, 0.2);
    options.daemons = {cluster->daemon_callers(1)};
    options.max_tries = 1;
    auto running = run_beside(options);
    running.end_after_length();
    std::this_thread::sleep_for(milliseconds(300));
    cluster->daemon(1).signal(SIGTERM);
    expect_all_completed(running.get());
    ASSERT_TRUE(cluster->daemon(1).wait_exit(stop_bound));
}

TEST_F(leaving, drain_by_an_operator_is_a_graceful_shutdown)
{
    auto running = run_beside(load_through({0, 2}, 3));
    EXPECT_TRUE(wait_started("balances", 20));
    http_request drain;
    drain.method = "POST";
    drain.target = "/v1/drain";
    const auto answer = send_request(cluster->daemon_operators(3), drain);
    ASSERT_TRUE(answer);
    EXPECT_LT(answer->status, 300U);
    const auto ended = cluster->daemon(3).wait_exit(stop_bound);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->code, 0);
    expect_all_completed(running.get());
}

TEST_F(leaving, stopped_control_hosts_cut_nothing_off)
{
    auto running = run_beside(load_through({0, 1, 2, 3}, 6));
    for (std::size_t i = 0; i < cluster->control_count(); ++i)
    {
        EXPECT_TRUE(wait_started("disbursement", 20));
        cluster->control(i).signal(SIGTERM);
        const auto ended = cluster->control(i).wait_exit(stop_bound);
        ASSERT_TRUE(ended);
        EXPECT_EQ(ended->code, 0);
        EXPECT_TRUE(wait_started("disbursement", 20));
        EXPECT_TRUE(cluster->restart_control(i));
        EXPECT_TRUE(wait_until(
            [&]
            {
                return configuration_of(cluster->control_operators(i))
                    .has_value();
            }));
    }
    const auto records = running.get();
    expect_no_violation(records);
    expect_all_completed(records);
}

// The stopping daemon has the only upstream of its service. Until callers have
// received notice of the stop, it must still run calls of other daemons.
TEST_F(process_test, a_stopping_daemon_serves_other_daemons_for_a_while)
{
    deployment_options options;
    options.upstreams = {{"disbursement", "{}"}, {"balances", "{}"}};
    options.accept_ms = 10000;
    start(options, association_classes(), {offered_view(1)});
    cluster->daemon(1).signal(SIGTERM);
    auto asked = load({offered_view(50)}, 1);
    asked.daemons = {cluster->daemon_callers(0)};
    asked.max_tries = 1;
    auto running = run_beside(asked);
    const auto records = running.get();
    EXPECT_FALSE(records.empty());
    EXPECT_EQ(count_outcome(records, caller_outcome::completed), records.size())
        << cluster->logs();
    const auto ended = cluster->daemon(1).wait_exit(stop_bound);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->code, 0);
}

} // namespace
} // namespace nutmegusher::test_support
