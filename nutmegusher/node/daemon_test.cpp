// Daemons in this process that stop while they work on requests: nothing may be
// left over that refers to parts of the daemon.
#include "nutmegusher/node/control_test_hosts.hpp"
#include "nutmegusher/node/daemon.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <span>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>

namespace nutmegusher::node
{
namespace
{

using std::chrono::milliseconds;

// Far above what any step takes; a test that reaches it has failed.
constexpr std::chrono::seconds test_limit{30};
constexpr std::chrono::hours long_wait(1);
// Short, so that each stop reaches it while requests are in flight.
constexpr duration stop_limit = std::chrono::seconds(1);

bool eventually(const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + test_limit;
    while (!condition() && std::chrono::steady_clock::now() < limit)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    return condition();
}

settings make_settings(const std::string& host, std::uint32_t threads)
{
    settings made;
    made.host.id = host_id(host);
    made.host.data_center = data_center_name("dc");
    made.host.region = region_name("region");
    made.host.threads = threads;
    made.listen.callers = free_address();
    made.listen.upstream = free_address();
    made.listen.peers = free_address();
    made.listen.operators = free_address();
    made.listen.metrics = free_address();
    made.shutdown.limit = stop_limit;
    return made;
}

std::string to_text(const endpoint& address)
{
    std::ostringstream text;
    text << address;
    return text.str();
}

// Counts the handlers that haven't ended.
class counted_handler
{
public:
    explicit counted_handler(std::atomic<int>& count)
        : count_(count)
    {
        ++count_;
    }

    counted_handler(const counted_handler&) = delete;
    counted_handler& operator=(const counted_handler&) = delete;

    ~counted_handler()
    {
        --count_;
    }

private:
    std::atomic<int>& count_;
};

// Handles every request on every listener for ever.
class holding_extension final : public extension
{
public:
    explicit holding_extension(std::atomic<int>& handlers)
        : handlers_(handlers)
    {
    }

    void attach(const extension_context&) override
    {
    }

    void
    restore_withdrawals(std::span<const messages::upstream_withdrawal>) override
    {
    }

    asio::awaitable<bool> serve_caller(worker&, caller_exchange&) override
    {
        return hold();
    }

    asio::awaitable<bool> serve_upstream(worker&, caller_exchange&) override
    {
        return hold();
    }

    asio::awaitable<bool> serve_operator(worker&, caller_exchange&) override
    {
        return hold();
    }

    asio::awaitable<bool>
    serve_peer(worker&, std::shared_ptr<wire::server_stream>) override
    {
        return hold();
    }

    void leave() override
    {
    }

    [[nodiscard]] std::size_t calls_in_flight() const override
    {
        return 0;
    }

    [[nodiscard]] boost::json::value dump() const override
    {
        return nullptr;
    }

private:
    asio::awaitable<bool> hold()
    {
        const counted_handler counted(handlers_);
        asio::steady_timer timer(co_await asio::this_coro::executor, long_wait);
        co_await timer.async_wait(asio::use_awaitable);
        co_return true;
    }

    std::atomic<int>& handlers_;
};

// Throws the reason if the daemon cannot start.
std::unique_ptr<daemon> start_daemon(
    const settings& from, std::unique_ptr<extension> optional_extension)
{
    return leaf::try_handle_all(
        [&]
        {
            return daemon::start(from, std::move(optional_extension));
        },
        [](const listen_error& error) -> std::unique_ptr<daemon>
        {
            throw std::system_error(error.code, to_text(error.address));
        },
        [](const wire::listen_failure& error) -> std::unique_ptr<daemon>
        {
            throw std::system_error(error.cause, to_text(error.address));
        },
        [](const storage_failure& error) -> std::unique_ptr<daemon>
        {
            throw std::system_error(
                error.code, std::generic_category(), error.file);
        },
        []() -> std::unique_ptr<daemon>
        {
            throw std::runtime_error("daemon start failed");
        });
}

// A daemon on a thread of its own.
class running_daemon
{
public:
    explicit running_daemon(
        const settings& from,
        std::unique_ptr<extension> optional_extension = nullptr)
        : daemon_(start_daemon(from, std::move(optional_extension)))
        , thread_(
              [this]
              {
                  daemon_->run();
                  has_ended_ = true;
              })
    {
    }

    running_daemon(const running_daemon&) = delete;
    running_daemon& operator=(const running_daemon&) = delete;

    ~running_daemon()
    {
        stop();
        join();
    }

    void stop()
    {
        daemon_->stop();
    }

    void join()
    {
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    [[nodiscard]] bool has_ended() const
    {
        return has_ended_;
    }

private:
    std::unique_ptr<daemon> daemon_;
    std::atomic<bool> has_ended_ = false;
    std::thread thread_;
};

// Sends requests to daemons from a thread of its own.
class requester
{
public:
    requester()
        : thread_(
              [this]
              {
                  const auto guard = asio::make_work_guard(context_);
                  context_.run();
              })
    {
    }

    requester(const requester&) = delete;
    requester& operator=(const requester&) = delete;

    ~requester()
    {
        context_.stop();
        thread_.join();
    }

    // Sends a request over HTTP/1.1 and waits for its answer.
    void request_http(endpoint at)
    {
        asio::co_spawn(context_, exchange_http(std::move(at)), asio::detached);
    }

    // Sends a request as another daemon would, and waits for its answer.
    void call(endpoint at, std::string path, std::string body)
    {
        asio::co_spawn(
            context_,
            exchange_wire(std::move(at), std::move(path), std::move(body)),
            asio::detached);
    }

    // Sends the head of a request as another daemon would, and no body.
    void begin_call(endpoint at, std::string path)
    {
        asio::co_spawn(
            context_,
            begin_wire(std::move(at), std::move(path)),
            asio::detached);
    }

private:
    asio::awaitable<void> exchange_http(endpoint at)
    {
        asio::ip::tcp::socket socket(context_);
        co_await socket.async_connect(at, asio::use_awaitable);
        constexpr std::string_view head =
            "GET /v1/dump HTTP/1.1\r\nhost: test\r\n\r\n";
        co_await asio::async_write(
            socket, asio::buffer(head), asio::use_awaitable);
        std::array<char, 16384> answer;
        while (true)
        {
            co_await socket.async_read_some(
                asio::buffer(answer), asio::use_awaitable);
        }
    }

    asio::awaitable<void>
    exchange_wire(endpoint at, std::string path, std::string body)
    {
        static_cast<void>(co_await wire::call(
            sessions_, std::move(at), path, body, test_limit));
    }

    asio::awaitable<void> begin_wire(endpoint at, std::string path)
    {
        const auto session = co_await sessions_.get(std::move(at));
        if (!session)
        {
            co_return;
        }
        const wire::request_head head{"POST", std::move(path), {}};
        const auto stream = (*session)->open(head, false);
        if (stream)
        {
            static_cast<void>(co_await (*stream)->read_head());
        }
    }

    asio::io_context context_;
    wire::session_pool sessions_{context_, wire::session_options()};
    std::thread thread_;
};

class stopped_daemon : public testing::TestWithParam<std::uint32_t>
{
};

// Guards against handlers that outlive the daemon: they were destroyed with its
// event loops, after the parts that they refer to.
TEST_P(stopped_daemon, has_ended_every_handler_when_run_returns)
{
    const auto from = make_settings("d1", GetParam());
    std::atomic<int> handlers = 0;
    running_daemon stopped(from, std::make_unique<holding_extension>(handlers));
    requester callers;
    callers.request_http(*from.listen.callers);
    callers.request_http(*from.listen.upstream);
    callers.request_http(from.listen.operators);
    callers.call(from.listen.peers, "/pay/1", "{}");
    ASSERT_TRUE(eventually(
        [&handlers]
        {
            return handlers == 4;
        }));
    stopped.stop();
    ASSERT_TRUE(eventually(
        [&stopped]
        {
            return stopped.has_ended();
        }));
    EXPECT_EQ(handlers, 0);
}

// The session is gone, so no connection shows that its handler still runs.
TEST_P(stopped_daemon, has_ended_handlers_of_lost_sessions)
{
    const auto from = make_settings("d1", GetParam());
    std::atomic<int> handlers = 0;
    running_daemon stopped(from, std::make_unique<holding_extension>(handlers));
    {
        requester lost;
        lost.call(from.listen.peers, "/pay/1", "{}");
        ASSERT_TRUE(eventually(
            [&handlers]
            {
                return handlers == 1;
            }));
    }
    stopped.stop();
    ASSERT_TRUE(eventually(
        [&stopped]
        {
            return stopped.has_ended();
        }));
    EXPECT_EQ(handlers, 0);
}

INSTANTIATE_TEST_SUITE_P(threads, stopped_daemon, testing::Values(1, 2, 4));

// Three control hosts with daemons' requests under way. Meaningful under the
// address sanitizer.
class stopped_control_hosts : public testing::TestWithParam<std::uint32_t>
{
protected:
    static constexpr std::size_t count = 3;

    stopped_control_hosts()
    {
        std::vector<named_address> initial;
        for (std::size_t i = 0; i < count; ++i)
        {
            const auto host = "c" + std::to_string(i);
            all[i] = make_settings(host, GetParam());
            initial.push_back({host_id(host), all[i].listen.peers});
        }
        for (auto& each : all)
        {
            control_host_settings control;
            control.data_folder = folder.path() / each.host.id.str();
            control.initial = initial;
            each.control = control;
            for (const auto& other : initial)
            {
                each.control_hosts.push_back(other.address);
            }
        }
    }

    void start(std::size_t number)
    {
        hosts[number] = std::make_unique<running_daemon>(all[number]);
    }

    // Sends one of each kind of request that a control host handles.
    void request_all(requester& from, std::size_t number)
    {
        const auto at = all[number].listen.peers;
        messages::sync_request held;
        held.set_host("d" + std::to_string(engine()));
        held.set_incarnation(1);
        held.set_wait_ms(5000);
        from.call(at, "/control/sync", held.SerializeAsString());
        held.set_host("e" + std::to_string(engine()));
        held.set_linearizable(true);
        from.call(at, "/control/sync", held.SerializeAsString());
        from.call(at, "/control/propose", change().SerializeAsString());
        messages::claim_command claim;
        claim.mutable_key()->set_customer("zakat");
        claim.mutable_key()->set_class_name("payouts");
        claim.mutable_key()->set_idempotency_key(std::to_string(engine()));
        claim.mutable_look_up();
        from.call(at, "/control/claim", claim.SerializeAsString());
        from.begin_call(at, "/control/raft");
        from.begin_call(at, "/control/sync");
        from.request_http(all[number].listen.operators);
        from.request_http(*all[number].listen.metrics);
    }

    messages::change change()
    {
        messages::change made;
        made.set_change_id(std::to_string(engine()));
        made.set_author("test");
        auto& declared = *made.mutable_declare();
        declared.set_name("payouts");
        declared.set_service("disbursement");
        declared.set_path_prefix("/");
        declared.mutable_target()->set_latency_ms(200);
        declared.mutable_target()->set_completion_ppm(999'000);
        return made;
    }

    void sleep_up_to(std::uint64_t limit_ms)
    {
        std::this_thread::sleep_for(milliseconds(engine() % limit_ms));
    }

    scratch_folder folder;
    std::array<settings, count> all;
    std::array<std::unique_ptr<running_daemon>, count> hosts;
    random_engine engine{1};
};

// Without the other two there is no leader: the change is still handled when
// the host stops. Guards against a handler on a worker's thread that held the
// last reference to the logs, whose event loop was gone.
TEST_P(stopped_control_hosts, end_a_change_that_is_being_handled)
{
    start(0);
    requester lost;
    for (int i = 0; i < 8; ++i)
    {
        request_all(lost, 0);
    }
    std::this_thread::sleep_for(milliseconds(300));
    hosts[0].reset();
}

// Guards against parts of a start that fails half way which outlive the others.
TEST_P(stopped_control_hosts, that_cannot_listen_leave_nothing_behind)
{
    asio::io_context context;
    const asio::ip::tcp::acceptor taken(context, all[0].listen.operators);
    const bool started = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(daemon::start(all[0]));
            return true;
        },
        []
        {
            return false;
        });
    EXPECT_FALSE(started);
}

TEST_P(stopped_control_hosts, may_be_destroyed_without_having_run)
{
    auto unused = daemon::start(all[0]);
    ASSERT_TRUE(unused);
    std::this_thread::sleep_for(milliseconds(100));
}

// `NUTMEGUSHER_STOP_SEEDS=first:count` selects other seeds.
TEST_P(stopped_control_hosts, end_everything_at_any_moment)
{
    std::uint64_t first = 1;
    std::uint64_t rounds = 2;
    if (const char* const chosen = std::getenv("NUTMEGUSHER_STOP_SEEDS"))
    {
        const std::string text(chosen);
        const auto colon = text.find(':');
        ASSERT_NE(colon, std::string::npos);
        first = std::stoull(text.substr(0, colon));
        rounds = std::stoull(text.substr(colon + 1));
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        start(i);
    }
    for (std::uint64_t seed = first; seed < first + rounds; ++seed)
    {
        SCOPED_TRACE("seed " + std::to_string(seed));
        engine = random_engine(seed);
        auto early = std::make_unique<requester>();
        requester late;
        const auto stops = 1 + engine() % count;
        for (std::size_t i = 0; i < count; ++i)
        {
            request_all(*early, i);
            request_all(late, i);
        }
        sleep_up_to(400);
        const auto from = engine() % count;
        for (std::size_t i = 0; i < stops; ++i)
        {
            hosts[(from + i) % count]->stop();
            request_all(late, (from + i) % count);
            sleep_up_to(200);
        }
        // Requests of a sender that is gone are still being handled.
        early.reset();
        for (std::size_t i = 0; i < stops; ++i)
        {
            hosts[(from + i) % count].reset();
            start((from + i) % count);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    threads, stopped_control_hosts, testing::Values(1, 2, 4));

} // namespace
} // namespace nutmegusher::node
