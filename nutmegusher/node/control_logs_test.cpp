#include "nutmegusher/execution/execution.hpp"
#include "nutmegusher/node/control_test_hosts.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/serialize.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <random>
#include <thread>

namespace nutmegusher::node
{
namespace
{

// Far above what any step takes; a test that reaches it has failed.
constexpr std::chrono::seconds test_limit{30};

class control_hosts : public testing::Test
{
protected:
    control_hosts()
    {
        for (int i = 0; i < 3; ++i)
        {
            initial.push_back(
                {host_id("c" + std::to_string(i + 1)), free_address()});
        }
        for (std::size_t i = 0; i < initial.size(); ++i)
        {
            start(i);
        }
    }

    void start(std::size_t number)
    {
        control_settings settings;
        settings.data_folder = folder.path() / initial[number].host.str();
        settings.self = initial[number].host;
        settings.address = initial[number].address;
        settings.initial = initial;
        hosts[number] = std::make_unique<running_host>(settings);
    }

    void stop(std::size_t number)
    {
        hosts[number].reset();
    }

    messages::change_result change(std::size_t at, const messages::change& what)
    {
        messages::change_result result;
        const auto limit = std::chrono::steady_clock::now() + test_limit;
        while (std::chrono::steady_clock::now() < limit)
        {
            result = hosts[at]->get(hosts[at]->logs().propose_change(what));
            if (result.verdict() != messages::change_unavailable)
            {
                break;
            }
        }
        return result;
    }

    bool eventually(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + test_limit;
        while (!condition() && std::chrono::steady_clock::now() < limit)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    scratch_folder folder;
    std::vector<named_address> initial;
    std::array<std::unique_ptr<running_host>, 3> hosts;
};

messages::change declare(const std::string& id, const std::string& name)
{
    messages::change change;
    change.set_change_id(id);
    change.set_author("test");
    auto& declared = *change.mutable_declare();
    declared.set_name(name);
    declared.set_service("disbursement");
    declared.set_path_prefix("/" + name);
    declared.mutable_target()->set_latency_ms(200);
    declared.mutable_target()->set_completion_ppm(999'000);
    return change;
}

constexpr std::uint64_t wall_ms = 1'700'000'000'000;
// An attempt's sequence number contains the time of its creation.
constexpr std::uint64_t first_sequence = wall_ms
                                         << attempt_sequence::counter_bits;

messages::claim_command start_claim(const std::string& key)
{
    messages::claim_command command;
    command.mutable_key()->set_customer("m1");
    command.mutable_key()->set_class_name("payout");
    command.mutable_key()->set_idempotency_key(key);
    command.mutable_by()->set_entry_host("e1");
    command.mutable_by()->set_entry_incarnation(wall_ms);
    command.mutable_by()->set_sequence(first_sequence);
    command.mutable_executor()->set_host("x1");
    command.mutable_executor()->set_incarnation(1);
    command.mutable_start()->set_request_digest(7);
    command.set_proposed_at_ms(wall_ms);
    return command;
}

TEST_F(control_hosts, a_change_at_any_host_is_in_force_at_all)
{
    EXPECT_EQ(
        change(0, declare("a", "payout")).verdict(), messages::change_accepted);
    EXPECT_EQ(
        change(1, declare("b", "view")).verdict(), messages::change_accepted);
    const auto last = change(2, declare("c", "lookup"));
    EXPECT_EQ(last.revision(), 3U);
    for (auto& host : hosts)
    {
        EXPECT_TRUE(eventually(
            [&]
            {
                return host->logs().present().revision() == 3;
            }));
        EXPECT_TRUE(host->get(host->logs().confirm_configuration()));
    }
    EXPECT_EQ(change(0, declare("a", "payout")).revision(), 1U);
    EXPECT_EQ(
        change(0, declare("a", "other")).verdict(), messages::change_id_reused);
    EXPECT_EQ(
        change(0, declare("d", "payout")).verdict(), messages::change_conflict);
}

// The acknowledgement was lost and the client resends. An accepted change stays
// accepted, so a host that has applied it answers without a majority and no
// second copy enters the log.
TEST_F(control_hosts, a_resend_is_answered_by_any_host_on_its_own)
{
    ASSERT_EQ(
        change(0, declare("a", "payout")).verdict(), messages::change_accepted);
    ASSERT_TRUE(eventually(
        [&]
        {
            return hosts[2]->logs().present().revision() == 1;
        }));
    stop(0);
    stop(1);
    const auto resend = declare("a", "payout");
    const auto result = hosts[2]->get(hosts[2]->logs().propose_change(resend));
    EXPECT_EQ(result.verdict(), messages::change_accepted);
    EXPECT_EQ(result.revision(), 1U);
    const auto another = declare("b", "view");
    EXPECT_EQ(
        hosts[2]->get(hosts[2]->logs().propose_change(another)).verdict(),
        messages::change_unavailable);
}

TEST_F(control_hosts, a_claim_is_granted_once_through_any_host)
{
    ASSERT_EQ(
        change(0, declare("a", "payout")).verdict(), messages::change_accepted);
    const auto claim = [this](std::size_t at, const auto& command)
    {
        messages::claim_result result;
        eventually(
            [&]
            {
                result = hosts[at]->get(hosts[at]->logs().claim(command));
                return result.verdict() != messages::claim_unavailable;
            });
        return result.verdict();
    };
    EXPECT_EQ(claim(0, start_claim("k")), messages::claim_granted);
    auto other = start_claim("k");
    other.mutable_by()->set_sequence(first_sequence + 1);
    EXPECT_EQ(claim(1, other), messages::claim_in_progress);
    EXPECT_EQ(claim(2, start_claim("k")), messages::claim_granted);
    const auto known = hosts[1]->get(hosts[1]->logs().find_claim(other.key()));
    EXPECT_EQ(known.verdict(), messages::claim_in_progress);
}

TEST_F(control_hosts, what_was_accepted_outlives_a_restart_of_all)
{
    ASSERT_EQ(
        change(0, declare("a", "payout")).verdict(), messages::change_accepted);
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        stop(i);
    }
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        start(i);
    }
    EXPECT_EQ(change(1, declare("b", "view")).revision(), 2U);
}

// Guards against an acknowledged withdrawal that is lost with the processes.
TEST_F(control_hosts, a_withdrawal_is_known_at_all_and_outlives_their_restart)
{
    messages::upstream_withdrawal withdrawal;
    withdrawal.set_host("h1");
    withdrawal.set_upstream("i-1");
    withdrawal.set_started(1000);
    const auto is_stored = [&]
    {
        const auto result =
            hosts[1]->get(hosts[1]->logs().withdraw(withdrawal));
        return result.verdict() == messages::change_accepted;
    };
    ASSERT_TRUE(eventually(is_stored));
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        stop(i);
    }
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        start(i);
    }
    for (auto& host : hosts)
    {
        const auto is_confirmed = [&]
        {
            return host->get(host->logs().confirm_configuration());
        };
        EXPECT_TRUE(eventually(is_confirmed));
        EXPECT_EQ(host->logs().withdrawals_of("h1").size(), 1U);
        EXPECT_TRUE(host->logs().withdrawals_of("h2").empty());
        EXPECT_EQ(host->logs().at(), revision());
    }
}

TEST_F(control_hosts, an_emptied_folder_is_repaired_before_a_second_loss)
{
    ASSERT_EQ(
        change(0, declare("a", "payout")).verdict(), messages::change_accepted);
    stop(0);
    std::filesystem::remove_all(folder.path() / "c1");
    start(0);
    ASSERT_EQ(
        change(1, declare("b", "view")).verdict(), messages::change_accepted);
    // On its own, the host with the emptied folder belongs to no cluster.
    EXPECT_EQ(hosts[0]->logs().present().revision(), 0U);
    const auto outcome = hosts[1]->get(hosts[1]->logs().replace_member(
        host_id("c1"), host_id("c1"), initial[0].address));
    EXPECT_EQ(outcome, replace_outcome::replaced)
        << boost::json::serialize(hosts[1]->logs().state());
    // A second host is lost right after the repair.
    stop(1);
    EXPECT_EQ(change(0, declare("c", "lookup")).revision(), 3U);
    EXPECT_TRUE(hosts[0]->get(hosts[0]->logs().confirm_configuration()));
    EXPECT_EQ(hosts[0]->logs().present().classes_size(), 3);
}

TEST_F(control_hosts, a_planned_stop_hands_leadership_over)
{
    ASSERT_EQ(
        change(0, declare("a", "payout")).verdict(), messages::change_accepted);
    for (std::size_t i = 0; i < 2; ++i)
    {
        hosts[i]->get(hosts[i]->logs().hand_over(test_limit));
    }
    ASSERT_TRUE(eventually(
        [&]
        {
            const auto leaders = hosts[2]->logs().claim_leaders();
            return std::all_of(
                leaders.begin(),
                leaders.end(),
                [&](const auto& leader)
                {
                    return leader == initial[2].address;
                });
        }));
    EXPECT_EQ(
        change(2, declare("b", "view")).verdict(), messages::change_accepted);
}

} // namespace
} // namespace nutmegusher::node
