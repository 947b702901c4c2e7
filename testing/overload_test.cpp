// Under overload payouts must be refused last, and the retries for one request
// must stay bounded at every depth of the call path.
#include "testing/process_test_fixture.hpp"

#include <thread>

namespace nutmegusher::test_support
{
namespace
{

class refusals : public process_test
{
protected:
    static double share(
        const std::vector<load_record>& records,
        const std::string& class_name,
        caller_outcome view)
    {
        double all = 0;
        double matching = 0;
        for (const auto& record : records)
        {
            if (record.class_name == class_name)
            {
                ++all;
                matching += record.outcome == view ? 1 : 0;
            }
        }
        return matching / all;
    }
};

// Two upstreams with four slots of 10 ms each complete 800 calls a second;
// 2.4 times as many are offered.
class overload : public refusals
{
protected:
    void SetUp() override
    {
        deployment_options options;
        options.upstreams.assign(
            2, {"cash", R"({"slots": 4, "service_ms": 10})"});
        auto payout = in_shared_service(offered_payout(150));
        auto view = in_shared_service(offered_view(300));
        auto statement = in_shared_service(offered_statement(1500));
        statement.answer_bytes = 1000;
        // The same timeout for all, so that they differ only in rank.
        for (auto* offered : {&payout, &view, &statement})
        {
            offered->timeout = std::chrono::milliseconds(1000);
        }
        start(options, shared_service_classes(), {payout, view});
        offered = load({payout, view, statement}, 4);
        offered.retries = client_retries::none;
        offered.max_tries = 1;
    }

    void expect_payouts_refused_last(const std::vector<load_record>& records)
    {
        const auto not_completed = [&records](const std::string& name)
        {
            return 1.0 - share(records, name, caller_outcome::completed);
        };
        const auto table = to_table(records, offered);
        EXPECT_LT(not_completed("payout"), 0.05) << table;
        EXPECT_LE(not_completed("payout"), not_completed("view")) << table;
        EXPECT_GT(not_completed("statement"), not_completed("view")) << table;
        EXPECT_GT(not_completed("statement"), 0.3) << table;
        expect_no_violation(records);
    }

    load_options offered;
};

TEST_F(overload, payouts_are_refused_last)
{
    expect_payouts_refused_last(run_load(offered));
}

// Guards against a daemon that counts its own pause as its upstream's latency:
// it refused 41 of 612 payouts for a wait that they wouldn't have had.
TEST_F(overload, payouts_are_refused_last_while_a_daemon_pauses)
{
    auto running = run_beside(offered);
    EXPECT_TRUE(wait_started("cash", 1000));
    cluster->daemon(1).freeze();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    cluster->daemon(1).thaw();
    expect_payouts_refused_last(running.get());
}

// Services hop0 .. hop5; each upstream calls the next service once per call.
class deep_chain : public refusals
{
protected:
    static constexpr std::size_t depth = 6;

    void SetUp() override
    {
        deployment_options options;
        std::vector<declared_class> classes;
        for (std::size_t hop = 0; hop < depth; ++hop)
        {
            const auto service = "hop" + std::to_string(hop);
            const auto next = "/hop" + std::to_string(hop + 1) + "/read";
            const std::string calls =
                hop + 1 < depth
                    ? R"({"sub_calls": [{"target": ")" + next + R"("}]})"
                    : "{}";
            options.upstreams.push_back({service, calls});
            declared_class read;
            read.name = service;
            read.service = service;
            classes.push_back(read);
        }
        start(options, classes, {offered_read(1)});
    }

    static offered_class offered_read(double rate)
    {
        offered_class read;
        read.name = "hop0";
        read.target = "/hop0/read";
        read.rate = rate;
        return read;
    }

    std::uint32_t max_executions_at(std::size_t hop) const
    {
        std::uint32_t most = 0;
        for (const auto& [token, count] :
             cluster->executions_by_token("hop" + std::to_string(hop)))
        {
            most = std::max(most, count.started);
        }
        return most;
    }
};

TEST_F(deep_chain, executions_for_one_request_are_bounded_at_every_hop)
{
    // The first try and the retry tokens of the whole request.
    constexpr std::uint32_t max_executions = 4;
    cluster->control_upstream(depth - 1, R"({"error_share": 1.0})");
    cluster->control_upstream(depth - 2, R"({"cut_share": 0.7})");
    cluster->control_upstream(depth - 4, R"({"cut_share": 0.7})");
    auto options = load({offered_read(40)}, 3);
    options.daemons = {cluster->daemon_callers(0)};
    options.max_tries = 1;
    const auto records = run_load(options);
    EXPECT_GT(records.size(), 50U);
    for (std::size_t hop = 0; hop < depth; ++hop)
    {
        EXPECT_LE(max_executions_at(hop), max_executions) << "hop " << hop;
    }
}

TEST_F(deep_chain, whole_answers_come_through_all_hops)
{
    auto options = load({offered_read(40)}, 2);
    options.max_tries = 1;
    const auto records = run_load(options);
    expect_completed(records, 0.9);
    // A busy machine may cause refusals, but no lost or wrong answers.
    EXPECT_EQ(count_outcome(records, caller_outcome::unknown), 0U);
    EXPECT_EQ(count_outcome(records, caller_outcome::wrong), 0U);
    for (std::size_t hop = 0; hop < depth; ++hop)
    {
        EXPECT_EQ(max_executions_at(hop), 1U) << "hop " << hop;
    }
}

} // namespace
} // namespace nutmegusher::test_support
