// Tests the syncs that a control host holds.
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

// The maximum time that a control host holds a sync.
constexpr std::chrono::seconds max_hold{5};

// A sync server on a listener, without replicated logs.
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
        tasks.spawn(server.exchange_leases(sessions, tasks));
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
        made.known_current_at = [this]
        {
            const duration age(configuration_age.load());
            return host_clock().now() - age;
        };
        made.confirm = [this]() -> asio::awaitable<bool>
        {
            return confirm();
        };
        made.withdrawals_of = [](const std::string& host)
        {
            messages::upstream_withdrawal withdrawal;
            withdrawal.set_host(host);
            withdrawal.set_upstream("i-1");
            return std::vector<messages::upstream_withdrawal>{withdrawal};
        };
        return made;
    }

    asio::awaitable<bool> confirm()
    {
        co_return majority_answers.load();
    }

    // Sends a sync with the state of an earlier reply, so that there are no
    // updates.
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
        request.set_wait_ms(std::chrono::milliseconds(max_hold).count());
        co_return co_await send(std::move(request));
    }

    asio::awaitable<std::optional<messages::sync_reply>>
    send(messages::sync_request request)
    {
        const auto body = request.SerializeAsString();
        const auto text = co_await wire::call(
            sessions,
            listening->local_endpoint(),
            "/control/sync",
            body,
            2 * max_hold);
        messages::sync_reply reply;
        if (!text || !reply.ParseFromString(*text))
        {
            co_return std::nullopt;
        }
        co_return reply;
    }

    std::atomic<duration::rep> configuration_age = 0;
    std::atomic<bool> majority_answers = true;
    asio::io_context context{1};
    sync_server server;
    wire::session_pool sessions{context, wire::session_options()};
    wire::task_group tasks{context};
    std::unique_ptr<wire::server> listening;
    std::thread thread;
};

// Guards against holding syncs on old state: a control host that had lost its
// disk rejoined far behind a long log. It still heard from a leader, so it kept
// holding the syncs of its daemons, whose configuration was 15 s old by then.
// The host had applied 6 revisions and the others 92:
//
//     46.33 s  control_change_accepted revision=5   (the host)
//     37.69 s  configuration_in_force revision=87   (a daemon; its last line)
TEST_F(held_sync, ends_when_what_this_host_knows_becomes_old)
{
    const auto first = sync({}).get();
    ASSERT_TRUE(first);
    auto held = sync(*first);
    ASSERT_EQ(
        held.wait_for(std::chrono::milliseconds(300)),
        std::future_status::timeout);
    configuration_age = (2 * max_hold_age).count();
    ASSERT_EQ(held.wait_for(max_hold / 2), std::future_status::ready);
    const auto reply = held.get();
    ASSERT_TRUE(reply);
    const duration before =
        std::chrono::milliseconds(-reply->current_after_ms());
    EXPECT_GE(before, max_hold_age - max_hold / 2);
}

TEST_F(held_sync, is_answered_at_once_by_a_host_that_knows_nothing_current)
{
    const auto first = sync({}).get();
    ASSERT_TRUE(first);
    configuration_age = (3 * max_hold_age).count();
    auto held = sync(*first);
    ASSERT_EQ(held.wait_for(max_hold / 2), std::future_status::ready);
    const auto reply = held.get();
    ASSERT_TRUE(reply);
    const duration after = std::chrono::milliseconds(reply->current_after_ms());
    EXPECT_LE(after, -2 * max_hold_age);
}

// Guards against a daemon that starts with the withdrawals of a control host
// that lacks some.
TEST_F(held_sync, lists_withdrawals_only_if_a_majority_confirmed_them)
{
    messages::sync_request request;
    request.set_host("d1");
    request.set_incarnation(1);
    request.set_linearizable(true);
    const auto confirmed =
        asio::co_spawn(context, send(request), asio::use_future).get();
    ASSERT_TRUE(confirmed);
    EXPECT_TRUE(confirmed->linearizable());
    ASSERT_EQ(confirmed->withdrawals_size(), 1);
    EXPECT_EQ(confirmed->withdrawals(0).host(), "d1");
    majority_answers = false;
    const auto unconfirmed =
        asio::co_spawn(context, send(request), asio::use_future).get();
    ASSERT_TRUE(unconfirmed);
    EXPECT_FALSE(unconfirmed->linearizable());
    EXPECT_EQ(unconfirmed->withdrawals_size(), 0);
}

// The age is relative to the arrival of the request, not to the reply.
TEST_F(held_sync, reports_up_to_when_its_host_is_current)
{
    const auto first = sync({}).get();
    ASSERT_TRUE(first);
    EXPECT_GE(first->current_after_ms(), 0);
    auto held = sync(*first);
    const auto reply = held.get();
    ASSERT_TRUE(reply);
    EXPECT_GE(
        reply->current_after_ms(),
        std::chrono::milliseconds(max_hold - std::chrono::seconds(1)).count());
}

// One daemon observes a crash of an upstream, and another one calls the
// service.
class crash_syncs : public held_sync
{
protected:
    using reply_future = std::future<std::optional<messages::sync_reply>>;

    reply_future exchange(
        const std::string& host,
        const std::string& service,
        const crash_tracker& tracker)
    {
        messages::sync_request request;
        request.set_host(host);
        request.set_incarnation(1);
        request.add_services(service);
        request.set_known_stamp(registry.stamp());
        request.set_registry_epoch(registry.registry_epoch());
        request.set_wait_ms(std::chrono::milliseconds(max_hold).count());
        tracker.fill_request(request);
        last_request = request;
        return asio::co_spawn(
            context, send(std::move(request)), asio::use_future);
    }

    void simulate_crash(crash_tracker& tracker, std::uint64_t upstream)
    {
        const auto run = tracker.begin_run(digest);
        tracker.mark_run_lost(run);
        tracker.on_upstream_crashed(
            upstream, "i-" + std::to_string(upstream), service_name("views"));
    }

    static constexpr std::uint64_t digest = 77;
    messages::sync_reply registry;
    messages::sync_request last_request;
};

TEST_F(crash_syncs, wake_the_daemons_that_call_the_service)
{
    crash_tracker observer;
    crash_tracker caller;
    registry = exchange("d2", "views", caller).get().value();
    caller.on_reply(last_request, registry);
    auto held = exchange("d2", "views", caller);
    const auto held_request = last_request;
    ASSERT_EQ(
        held.wait_for(std::chrono::milliseconds(200)),
        std::future_status::timeout);
    simulate_crash(observer, 1);
    auto report = exchange("d1", "views", observer);
    ASSERT_EQ(held.wait_for(max_hold / 2), std::future_status::ready);
    caller.on_reply(held_request, held.get().value());
    EXPECT_EQ(caller.assess(digest).ends, 1U);
    report.wait();
}

TEST_F(crash_syncs, tell_nothing_of_services_that_a_daemon_does_not_call)
{
    crash_tracker observer;
    crash_tracker caller;
    simulate_crash(observer, 1);
    exchange("d1", "views", observer).wait();
    registry = exchange("d2", "payouts", caller).get().value();
    EXPECT_EQ(registry.crashes_size(), 0);
    caller.on_reply(last_request, registry);
    // From now on the daemon calls the service, so earlier records matter too.
    registry = exchange("d2", "views", caller).get().value();
    EXPECT_EQ(registry.crashes_size(), 1);
}

TEST_F(crash_syncs, tell_a_daemon_that_starts)
{
    crash_tracker observer;
    for (std::uint64_t upstream = 1; upstream <= 3; ++upstream)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        simulate_crash(observer, upstream);
    }
    exchange("d1", "views", observer).wait();
    crash_tracker started;
    registry = exchange("d2", "views", started).get().value();
    started.on_reply(last_request, registry);
    EXPECT_EQ(started.assess(digest).suspicion, crash_suspicion::quarantined);
}

} // namespace
} // namespace nutmegusher::node
