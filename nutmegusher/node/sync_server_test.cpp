// Syncs that a control host holds.
#include "nutmegusher/node/control_test_hosts.hpp"
#include "nutmegusher/node/sync_server.hpp"

#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace nutmegusher::node
{
namespace
{

// As long as a control host holds a sync at most.
constexpr std::chrono::seconds hold{5};

// A control host's sync on a listener, without replicated logs.
class held_sync : public testing::Test
{
protected:
    held_sync()
        : server(host_id("c1"), incarnation(1), make_source())
    {
        const auto serve = [this](std::shared_ptr<wire::server_stream> stream)
            -> asio::awaitable<void>
        {
            co_await server.serve(stream);
        };
        listening = std::move(
            wire::server::listen(
                context, free_address(), serve, wire::session_options(), false)
                .value());
        asio::co_spawn(
            context, server.exchange_leases(sessions), asio::detached);
        thread = std::thread(
            [this]
            {
                const auto guard = asio::make_work_guard(context);
                context.run();
            });
    }

    ~held_sync() override
    {
        context.stop();
        thread.join();
    }

    control_source make_source()
    {
        control_source made;
        made.present = []
        {
            return revision();
        };
        made.changes_since = [](revision)
        {
            return messages::configuration_delta();
        };
        made.claim_leaders = []
        {
            return std::vector<std::string>();
        };
        made.control_hosts = []
        {
            return std::vector<messages::control_host>();
        };
        made.without_leader = [this]
        {
            return leaderless.load();
        };
        return made;
    }

    // With what an earlier reply told, so that there is no news.
    std::future<std::optional<messages::sync_reply>>
    sync(const messages::sync_reply& known)
    {
        return asio::co_spawn(context, ask(known), asio::use_future);
    }

    asio::awaitable<std::optional<messages::sync_reply>>
    ask(messages::sync_reply known)
    {
        messages::sync_request request;
        request.set_host("d1");
        request.set_incarnation(1);
        request.set_known_stamp(known.stamp());
        request.set_registry_epoch(known.registry_epoch());
        request.set_wait_ms(std::chrono::milliseconds(hold).count());
        const auto body = request.SerializeAsString();
        const auto text = co_await wire::call(
            sessions,
            listening->local_endpoint(),
            "/control/sync",
            body,
            2 * hold);
        messages::sync_reply reply;
        if (!text || !reply.ParseFromString(*text))
        {
            co_return std::nullopt;
        }
        co_return reply;
    }

    std::atomic<bool> leaderless = false;
    asio::io_context context{1};
    sync_server server;
    wire::session_pool sessions{context, wire::session_options()};
    std::unique_ptr<wire::server> listening;
    std::thread thread;
};

TEST_F(held_sync, ends_when_the_leader_is_lost)
{
    const auto first = sync({}).get();
    ASSERT_TRUE(first);
    auto held = sync(*first);
    ASSERT_EQ(
        held.wait_for(std::chrono::milliseconds(300)),
        std::future_status::timeout);
    leaderless = true;
    ASSERT_EQ(held.wait_for(hold / 2), std::future_status::ready);
    const auto reply = held.get();
    ASSERT_TRUE(reply);
    EXPECT_TRUE(reply->without_leader());
}

} // namespace
} // namespace nutmegusher::node
