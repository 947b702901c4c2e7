// Hosts that lose power while callers have open sessions to them.
#include "nutmegusher/routed/test_path.hpp"
#include "nutmegusher/wire/wire_test_relay.hpp"

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;

// Connects to the daemons through TCP relays that can stop forwarding while
// their connections stay open.
class silent_host : public routed_path
{
protected:
    void SetUp() override
    {
        relay_thread = std::thread(
            [this]
            {
                const auto guard = asio::make_work_guard(relay_context);
                relay_context.run();
            });
        start(counting_script(runs_on_silent));
        put_relay_before(*upstream_node);
    }

    void TearDown() override
    {
        relay_context.stop();
        relay_thread.join();
    }

    void put_relay_before(routed_node& node)
    {
        on_relays(
            [this, &node]
            {
                const auto target = node.peer_server->local_endpoint();
                auto relay =
                    std::make_unique<wire::tcp_relay>(relay_context, target);
                relays.push_back(std::move(relay));
            });
        std::ostringstream address;
        address << relays.back()->endpoint();
        for (auto& record : records)
        {
            if (record.host() == node.shared.configured.host.id.str())
            {
                record.set_address(address.str());
            }
        }
        entry->shared.routes.update(service_name("balances"), records);
    }

    // Runs `action` on the relays' thread.
    template <class Action>
    void on_relays(Action action)
    {
        std::promise<void> done;
        const auto run = [&]
        {
            action();
            done.set_value();
        };
        asio::post(relay_context, run);
        done.get_future().wait();
    }

    static scripted_upstream::script counting_script(std::atomic<int>& runs)
    {
        return [&runs](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                ++runs;
                http::write(socket, answer_to(id_of(*request), "done"));
            }
        };
    }

    void silence()
    {
        on_relays(
            [this]
            {
                for (const auto& each : relays)
                {
                    each->silence();
                }
            });
        // Longer than a session is trusted without having received anything.
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }

    std::atomic<int> runs_on_silent = 0;
    std::atomic<int> runs_on_other = 0;
    asio::io_context relay_context;
    std::vector<std::unique_ptr<wire::tcp_relay>> relays;
    std::thread relay_thread;
};

TEST_F(silent_host, an_unrepeatable_call_is_reported_as_not_run)
{
    EXPECT_EQ(ask("/pay/1", "id-1", "amount 7").result_int(), 200U);
    silence();
    const auto answer = ask("/pay/1", "id-2", "amount 8");
    EXPECT_EQ(answer["nutmeg-outcome"], "not-run");
    EXPECT_EQ(runs_on_silent, 1);
}

TEST_F(silent_host, an_unrepeatable_call_runs_on_another_upstream)
{
    EXPECT_EQ(ask("/pay/1", "id-1", "amount 7").result_int(), 200U);
    start_another(counting_script(runs_on_other));
    silence();
    for (int i = 0; i < 10; ++i)
    {
        const auto id = "id-" + std::to_string(i + 2);
        EXPECT_EQ(ask("/pay/1", id, "amount 8").result_int(), 200U) << i;
    }
    EXPECT_EQ(runs_on_silent + runs_on_other, 11);
}

// Two hosts of three go silent together: the first lost call reveals one, and
// no further call is lost to the other.
TEST_F(silent_host, after_one_loss_calls_confirm_their_session_first)
{
    start_another(counting_script(runs_on_silent));
    put_relay_before(*other);
    for (int i = 0; i < 20; ++i)
    {
        ask("/views/1", "warm-" + std::to_string(i));
    }
    scripted_upstream last_upstream(counting_script(runs_on_other));
    routed_node last("last");
    announce(last, last_upstream);
    last.start();
    silence();
    for (int i = 0; i < 10; ++i)
    {
        const auto id = "id-" + std::to_string(i);
        EXPECT_EQ(ask("/views/1", id).result_int(), 200U) << i;
    }
}

} // namespace
} // namespace nutmegusher::routed
