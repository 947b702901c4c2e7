#include "nutmegusher/execution/execution.hpp"
#include "nutmegusher/node/control_logs.hpp"

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

// A folder that goes with the test.
class scratch_folder
{
public:
    scratch_folder()
        : path_(
              std::filesystem::temp_directory_path() /
              ("nutmegusher-control-" + std::to_string(std::random_device{}())))
    {
    }

    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    ~scratch_folder()
    {
        std::filesystem::remove_all(path_);
    }

    [[nodiscard]] const std::filesystem::path& path() const
    {
        return path_;
    }

private:
    std::filesystem::path path_;
};

// One control host: its logs and its peer listener, on a thread of their own.
class running_host
{
public:
    explicit running_host(control_settings settings)
        : context_(1)
    {
        const auto serve = [this](std::shared_ptr<wire::server_stream> stream)
            -> asio::awaitable<void>
        {
            const bool served = co_await logs_->handle(std::move(stream));
            EXPECT_TRUE(served);
        };
        auto listening = wire::server::listen(
            context_, settings.address, serve, wire::session_options(), false);
        EXPECT_TRUE(listening);
        server_ = std::move(*listening);
        settings.address = server_->local_endpoint();
        auto made = control_logs::create(context_, settings);
        EXPECT_TRUE(made);
        logs_ = std::move(*made);
        thread_ = std::thread(
            [this]
            {
                const auto guard = asio::make_work_guard(context_);
                context_.run();
            });
    }

    running_host(const running_host&) = delete;
    running_host& operator=(const running_host&) = delete;

    ~running_host()
    {
        context_.stop();
        thread_.join();
        logs_.reset();
        server_.reset();
    }

    [[nodiscard]] control_logs& logs()
    {
        return *logs_;
    }

    template <class T>
    T get(asio::awaitable<T> action)
    {
        return asio::co_spawn(context_, std::move(action), asio::use_future)
            .get();
    }

private:
    asio::io_context context_;
    std::unique_ptr<wire::server> server_;
    std::unique_ptr<control_logs> logs_;
    std::thread thread_;
};

// A port that was free a moment ago.
asio::ip::tcp::endpoint free_address()
{
    asio::io_context context;
    const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    asio::ip::tcp::acceptor acceptor(context, any);
    return acceptor.local_endpoint();
}

class control_hosts : public testing::Test
{
protected:
    control_hosts()
    {
        for (int i = 0; i < 3; ++i)
        {
            initial_.push_back(
                {host_id("c" + std::to_string(i + 1)), free_address()});
        }
        for (std::size_t i = 0; i < initial_.size(); ++i)
        {
            start(i);
        }
    }

    void start(std::size_t number)
    {
        control_settings settings;
        settings.data_folder = folder_.path() / initial_[number].host.str();
        settings.self = initial_[number].host;
        settings.address = initial_[number].address;
        settings.initial = initial_;
        hosts_[number] = std::make_unique<running_host>(settings);
    }

    void stop(std::size_t number)
    {
        hosts_[number].reset();
    }

    messages::change_result change(std::size_t at, const messages::change& what)
    {
        messages::change_result result;
        const auto limit = std::chrono::steady_clock::now() + test_limit;
        while (std::chrono::steady_clock::now() < limit)
        {
            result = hosts_[at]->get(hosts_[at]->logs().propose_change(what));
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

    scratch_folder folder_;
    std::vector<named_address> initial_;
    std::array<std::unique_ptr<running_host>, 3> hosts_;
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
// An attempt's number tells when it was made.
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
    for (auto& host : hosts_)
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
                result = hosts_[at]->get(hosts_[at]->logs().claim(command));
                return result.verdict() != messages::claim_unavailable;
            });
        return result.verdict();
    };
    EXPECT_EQ(claim(0, start_claim("k")), messages::claim_granted);
    auto other = start_claim("k");
    other.mutable_by()->set_sequence(first_sequence + 1);
    EXPECT_EQ(claim(1, other), messages::claim_in_progress);
    EXPECT_EQ(claim(2, start_claim("k")), messages::claim_granted);
    const auto known =
        hosts_[1]->get(hosts_[1]->logs().find_claim(other.key()));
    EXPECT_EQ(known.verdict(), messages::claim_in_progress);
}

TEST_F(control_hosts, what_was_accepted_outlives_a_restart_of_all)
{
    ASSERT_EQ(
        change(0, declare("a", "payout")).verdict(), messages::change_accepted);
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        stop(i);
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        start(i);
    }
    EXPECT_EQ(change(1, declare("b", "view")).revision(), 2U);
}

TEST_F(control_hosts, an_emptied_folder_is_repaired_before_a_second_loss)
{
    ASSERT_EQ(
        change(0, declare("a", "payout")).verdict(), messages::change_accepted);
    stop(0);
    std::filesystem::remove_all(folder_.path() / "c1");
    start(0);
    ASSERT_EQ(
        change(1, declare("b", "view")).verdict(), messages::change_accepted);
    // On its own the emptied host belongs to nothing.
    EXPECT_EQ(hosts_[0]->logs().present().revision(), 0U);
    const auto outcome = hosts_[1]->get(hosts_[1]->logs().replace_member(
        host_id("c1"), host_id("c1"), initial_[0].address));
    EXPECT_EQ(outcome, replace_outcome::replaced)
        << boost::json::serialize(hosts_[1]->logs().state());
    // Right after the repair a second host is lost.
    stop(1);
    EXPECT_EQ(change(0, declare("c", "lookup")).revision(), 3U);
    EXPECT_TRUE(hosts_[0]->get(hosts_[0]->logs().confirm_configuration()));
    EXPECT_EQ(hosts_[0]->logs().present().classes_size(), 3);
}

TEST_F(control_hosts, a_planned_stop_hands_leadership_over)
{
    ASSERT_EQ(
        change(0, declare("a", "payout")).verdict(), messages::change_accepted);
    for (std::size_t i = 0; i < 2; ++i)
    {
        hosts_[i]->get(hosts_[i]->logs().hand_over(test_limit));
    }
    ASSERT_TRUE(eventually(
        [&]
        {
            const auto leaders = hosts_[2]->logs().claim_leaders();
            return std::all_of(
                leaders.begin(),
                leaders.end(),
                [&](const auto& leader)
                {
                    return leader == initial_[2].address;
                });
        }));
    EXPECT_EQ(
        change(2, declare("b", "view")).verdict(), messages::change_accepted);
}

} // namespace
} // namespace nutmegusher::node
