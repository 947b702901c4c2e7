#include "testing/testing.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <future>

namespace nutmegusher::test_support
{
namespace
{

using std::chrono::milliseconds;

class stand_in : public ::testing::Test
{
protected:
    std::unique_ptr<stand_in_upstream> start(const upstream_behavior& behavior)
    {
        stand_in_options options;
        options.service = "balances";
        options.address = block->address(1, 9000);
        options.behavior = behavior;
        auto started = stand_in_upstream::start(options);
        EXPECT_TRUE(started) << started.error().message();
        return std::move(*started);
    }

    http_request call(const std::string& token, std::uint64_t bytes) const
    {
        http_request request;
        request.target = "/balances/view";
        request.headers = {
            {"x-token", token}, {"x-answer-bytes", std::to_string(bytes)}};
        return request;
    }

    outcome<address_block, boost::system::error_code> block =
        address_block::reserve();
};

TEST_F(stand_in, answers_with_the_bytes_of_the_token)
{
    constexpr std::uint64_t size = 3'000'001;
    const auto upstream = start({});
    const auto answer = send_request(upstream->address(), call("a", size));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body_size, size);
    EXPECT_EQ(answer->body_digest, pattern_digest("a", size));
    EXPECT_NE(answer->body_digest, pattern_digest("b", size));
}

TEST_F(stand_in, cut_answer_is_no_answer)
{
    upstream_behavior behavior;
    behavior.cut_share = 1.0;
    const auto upstream = start(behavior);
    const auto answer = send_request(upstream->address(), call("a", 1000));
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error(), http_failure::body_cut);
}

TEST_F(stand_in, work_above_the_slots_waits)
{
    upstream_behavior behavior;
    behavior.slots = 1;
    behavior.service_ms = 100;
    const auto upstream = start(behavior);
    const auto before = std::chrono::steady_clock::now();
    const auto send = [&]
    {
        return send_request(upstream->address(), call("a", 10)).has_value();
    };
    auto first = std::async(std::launch::async, send);
    auto second = std::async(std::launch::async, send);
    EXPECT_TRUE(first.get());
    EXPECT_TRUE(second.get());
    EXPECT_GE(std::chrono::steady_clock::now() - before, milliseconds(200));
    EXPECT_EQ(upstream->executions().total().finished, 2U);
}

TEST_F(stand_in, closed_connection_cancels_waiting_work)
{
    upstream_behavior behavior;
    behavior.frozen = true;
    behavior.slots = 1;
    const auto upstream = start(behavior);
    const auto send = [&](const char* token)
    {
        return send_request(
            upstream->address(), call(token, 8), milliseconds(200));
    };
    EXPECT_EQ(send("a").error(), http_failure::timed_out);
    EXPECT_EQ(send("b").error(), http_failure::timed_out);
    const auto counts = upstream->executions().by_token();
    EXPECT_EQ(counts.at("a").started, 1U);
    EXPECT_EQ(counts.at("a").finished, 0U);
    ASSERT_TRUE(upstream->control(R"({"frozen": false})"));
    EXPECT_TRUE(send("c"));
}

TEST_F(stand_in, sheds_above_its_limit_and_vouches_for_it)
{
    upstream_behavior behavior;
    behavior.frozen = true;
    behavior.shed_above = 1;
    const auto upstream = start(behavior);
    auto held = std::async(
        std::launch::async,
        [&]
        {
            return send_request(upstream->address(), call("a", 8));
        });
    ASSERT_TRUE(wait_until(
        [&]
        {
            return upstream->executions().total().started == 1;
        }));
    const auto shed = send_request(upstream->address(), call("b", 8));
    ASSERT_TRUE(shed);
    EXPECT_EQ(shed->status, 503);
    EXPECT_EQ(shed->header("nutmeg-not-run"), "true");
    ASSERT_TRUE(upstream->control(R"({"frozen": false})"));
    EXPECT_TRUE(held.get());
    EXPECT_EQ(upstream->executions().by_token().count("b"), 0U);
}

TEST_F(stand_in, refuses_a_control_that_it_does_not_know)
{
    const auto upstream = start({});
    EXPECT_EQ(
        upstream->control(R"({"slow": 2})").error(),
        behavior_problem::unknown_member);
    EXPECT_EQ(
        upstream->control(R"({"slots": "many"})").error(),
        behavior_problem::wrong_type);
    EXPECT_EQ(upstream->control("7").error(), behavior_problem::not_an_object);
}

TEST_F(stand_in, counts_by_key_survive_the_kill_of_the_process)
{
    const auto folder = temporary_folder::make();
    ASSERT_TRUE(folder);
    const std::vector<std::string> arguments{
        "--service=disbursement",
        "--address=" + block->address(2, 9000),
        "--journal=" + folder->path("journal")};
    http_request request = call("a", 8);
    request.headers.push_back({"idempotency-key", "k1"});
    request.headers.push_back({"nutmeg-customer", "c"});
    request.headers.push_back({"nutmeg-class", "payout"});
    for (int run = 0; run < 2; ++run)
    {
        const auto child = child_process::start(
            program_path("stand_in_upstream"), arguments, folder->path("log"));
        ASSERT_TRUE(child);
        const auto answered = [&]
        {
            return send_request(block->address(2, 9000), request).has_value();
        };
        ASSERT_TRUE(wait_until(answered)) << read_file(folder->path("log"));
        (*child)->kill();
    }
    const auto counts = read_journal_by_key(folder->path("journal"));
    EXPECT_EQ(counts.at("c/payout/k1").started, 2U);
}

TEST_F(stand_in, a_crash_is_told_from_a_kill)
{
    const auto folder = temporary_folder::make();
    ASSERT_TRUE(folder);
    const std::vector<std::string> arguments{
        "--service=s", "--address=" + block->address(2, 9000)};
    const auto start_one = [&]
    {
        return std::move(*child_process::start(
            program_path("stand_in_upstream"), arguments, folder->path("l")));
    };
    const auto killed = start_one();
    killed->kill();
    EXPECT_FALSE(killed->crashed());
    const auto crashed = start_one();
    ::kill(crashed->id(), SIGABRT);
    ASSERT_TRUE(crashed->wait_exit(std::chrono::seconds(10)));
    EXPECT_TRUE(crashed->crashed());
}

TEST_F(stand_in, relay_silences_open_connections_and_lets_new_ones_work)
{
    const auto upstream = start({});
    const auto between =
        relay::start(block->address(3, 1000), upstream->address());
    ASSERT_TRUE(between);
    const auto through = block->address(3, 1000);
    EXPECT_TRUE(send_request(through, call("a", 8)));
    relay_behavior silent;
    silent.to_client = relay_direction::silent;
    (*between)->set(silent);
    EXPECT_EQ(
        send_request(through, call("b", 8), milliseconds(200)).error(),
        http_failure::timed_out);
    silent.new_connections_too = false;
    (*between)->set(silent);
    EXPECT_TRUE(send_request(through, call("c", 8)));
}

TEST_F(stand_in, relay_silences_the_connections_of_one_process)
{
    const auto upstream = start({});
    const auto through = block->address(3, 1000);
    const auto between = relay::start(through, upstream->address());
    ASSERT_TRUE(between);
    relay_behavior silent;
    silent.to_target = relay_direction::silent;
    (*between)->set_for_process(getpid(), silent);
    EXPECT_EQ(
        send_request(through, call("a", 8), milliseconds(200)).error(),
        http_failure::timed_out);
    (*between)->set_for_process(getpid(), {});
    (*between)->set(silent);
    EXPECT_TRUE(send_request(through, call("c", 8)));
    (*between)->clear_process(getpid());
    (*between)->set(silent);
    EXPECT_FALSE(send_request(through, call("d", 8), milliseconds(200)));
    (*between)->set({});
    (*between)->set_for_process(getppid(), silent);
    EXPECT_TRUE(send_request(through, call("b", 8)));
}

TEST_F(stand_in, load_reports_each_request_once)
{
    const auto upstream = start({});
    load_options options;
    options.daemons = {upstream->address()};
    options.length = milliseconds(300);
    offered_class offered;
    offered.name = "view";
    offered.target = "/balances/view";
    offered.rate = 200;
    options.classes = {offered};
    const auto records = run_load(options);
    EXPECT_GT(records.size(), 10U);
    EXPECT_EQ(upstream->executions().by_token().size(), records.size());
    EXPECT_NE(to_table(records, options).find("view"), std::string::npos);
}

} // namespace
} // namespace nutmegusher::test_support
