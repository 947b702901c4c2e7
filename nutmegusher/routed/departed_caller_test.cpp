// Callers that leave before they have their answer, at each point at which a
// request can wait.
#include "nutmegusher/routed/test_path.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>

#include <sys/socket.h>

#include <condition_variable>
#include <tuple>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;
using std::chrono::milliseconds;

// An upstream may work for a caller that has left for at most this long.
constexpr milliseconds max_work_after_leaving(500);
constexpr milliseconds event_timeout(5000);
// Far above `max_work_after_leaving`, so that no request ends by its deadline.
constexpr int request_timeout_ms = 20'000;
constexpr std::size_t slots = 4;

// Where a request waits when its caller leaves.
enum class wait_point
{
    routes,
    upstream_list,
    peer_session,
    slot,
    upstream_connection,
    answer_head,
    answer_part,
    answer_rest,
    slow_caller
};

// How a caller leaves.
enum class departure
{
    close,
    reset,
    // It has sent the beginning of another request first.
    close_after_pipelining
};

enum class placement
{
    // The upstream stands beside the entry, or beside another daemon.
    local,
    remote
};

// What the upstreams have seen.
class run_journal
{
public:
    void begin()
    {
        const std::scoped_lock lock(mutex_);
        ++begun_;
        changed_.notify_all();
    }

    void end()
    {
        const std::scoped_lock lock(mutex_);
        ++ended_;
        changed_.notify_all();
    }

    [[nodiscard]] int begun() const
    {
        const std::scoped_lock lock(mutex_);
        return begun_;
    }

    bool wait_until_begun(int count)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(
            lock,
            event_timeout,
            [&]
            {
                return begun_ >= count;
            });
    }

    bool wait_until_ended(int count, milliseconds limit)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(
            lock,
            limit,
            [&]
            {
                return ended_ >= count;
            });
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    int begun_ = 0;
    int ended_ = 0;
};

// Accepts no connection: further ones wait until their timeout.
class full_listener
{
public:
    full_listener()
        : acceptor_(context_, tcp::v4())
    {
        acceptor_.bind(any_port);
        acceptor_.listen(0);
        for (auto& each : fillers_)
        {
            each.open(tcp::v4());
            each.native_non_blocking(true);
            // Asio's connect would wait.
            const auto to = acceptor_.local_endpoint();
            static_cast<void>(
                ::connect(each.native_handle(), to.data(), to.size()));
        }
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::array<tcp::socket, 4> fillers_{
        tcp::socket(context_),
        tcp::socket(context_),
        tcp::socket(context_),
        tcp::socket(context_)};
};

// A caller on a connection of its own.
class test_caller
{
public:
    explicit test_caller(const tcp::endpoint& entry)
        : socket_(context_)
    {
        socket_.connect(entry);
    }

    void send(text_request request)
    {
        request.set("nutmeg-timeout-ms", std::to_string(request_timeout_ms));
        http::write(socket_, request);
    }

    void send_text(std::string_view text)
    {
        asio::write(socket_, asio::buffer(text));
    }

    // Reads until `bytes` of the answer have arrived.
    void read_some(std::size_t bytes)
    {
        std::vector<char> into(bytes);
        asio::read(socket_, asio::buffer(into));
    }

    void leave(departure how)
    {
        if (how == departure::close_after_pipelining)
        {
            send_text("GET /views/next HTTP/1.1\r\nhost: a.example\r\n");
            std::this_thread::sleep_for(milliseconds(20));
        }
        if (how == departure::reset)
        {
            socket_.set_option(asio::socket_base::linger(true, 0));
        }
        socket_.close();
    }

private:
    asio::io_context context_;
    tcp::socket socket_;
};

class departed_caller : public routed_path
{
protected:
    // Starts an entry and, for `placement::remote`, a second daemon, with one
    // upstream of the service. `has_routes` and `is_announced` say what the
    // entry knows from the start.
    void start_at(
        placement where,
        scripted_upstream::script script,
        bool has_routes = true,
        bool is_announced = true)
    {
        upstream = std::make_unique<scripted_upstream>(std::move(script));
        entry = std::make_unique<routed_node>("entry");
        if (where == placement::remote)
        {
            upstream_node = std::make_unique<routed_node>("beside");
        }
        serving =
            where == placement::remote ? upstream_node.get() : entry.get();
        report(upstream->address());
        if (is_announced)
        {
            announce_address(serving->peer_server->local_endpoint());
        }
        entry->start();
        if (upstream_node)
        {
            upstream_node->start();
        }
        if (has_routes)
        {
            install_long_routes();
        }
    }

    // Routes whose deadline is later than the test's end.
    void install_long_routes()
    {
        messages::configuration_delta delta;
        delta.mutable_full()->set_revision(1);
        auto& document = *delta.mutable_full()->mutable_routes();
        document.set_version(1);
        add_route(document, "/views/", true);
        add_route(document, "/pay/", false);
        for (auto& each : *document.mutable_routes())
        {
            each.set_deadline_ms(request_timeout_ms);
        }
        entry->shared.configuration.accept(delta);
    }

    void report(const tcp::endpoint& address)
    {
        upstream_report new_report;
        new_report.id = "i-1";
        new_report.service = service_name("balances");
        new_report.address = address;
        new_report.slots = slots;
        new_report.order = {1, ++reports};
        serving->state.local.report(new_report);
        serving->state.slots.set_slots(slots);
    }

    void announce_address(const tcp::endpoint& address)
    {
        messages::upstream_record record;
        record.set_host(serving->shared.configured.host.id.str());
        record.set_data_center("dc");
        record.set_region("region");
        record.set_state(messages::upstream_serving);
        std::ostringstream text;
        text << address;
        record.set_address(text.str());
        records = {record};
        entry->shared.routes.update(service_name("balances"), records);
    }

    // Reads requests and doesn't answer them.
    scripted_upstream::script silent_script()
    {
        return [this](tcp::socket& socket)
        {
            hold(socket, "");
        };
    }

    // Answers with `part` of a body of `length` bytes, and stops there.
    scripted_upstream::script
    partial_script(std::size_t length, std::size_t part)
    {
        return [this, length, part](tcp::socket& socket)
        {
            hold(
                socket,
                "content-length: " + std::to_string(length) + "\r\n\r\n" +
                    std::string(part, 'x'));
        };
    }

    // Runs one request until its connection ends.
    void hold(tcp::socket& socket, const std::string& answer)
    {
        beast::flat_buffer buffer;
        const auto request = read_request(socket, buffer);
        if (!request)
        {
            return;
        }
        journal.begin();
        boost::system::error_code failed;
        if (!answer.empty())
        {
            const auto text =
                "HTTP/1.1 200 OK\r\nnutmeg-request-id: " + id_of(*request) +
                "\r\n" + answer;
            asio::write(socket, asio::buffer(text), failed);
        }
        std::array<char, 64> rest{};
        while (!failed)
        {
            socket.read_some(asio::buffer(rest), failed);
        }
        journal.end();
    }

    // Runs `query` on the thread of the entry.
    template <class Query>
    auto on_entry(Query query) const
    {
        std::packaged_task<decltype(query())()> task(query);
        auto result = task.get_future();
        asio::post(
            entry->worker.context,
            [&task]
            {
                task();
            });
        return result.get();
    }

    [[nodiscard]] std::size_t requests_in_flight() const
    {
        return on_entry(
            [this]
            {
                return entry->caller_server->in_flight();
            });
    }

    template <class Condition>
    static bool wait_until(Condition condition, milliseconds limit)
    {
        const auto until = host_clock().now() + limit;
        while (!condition() && host_clock().now() < until)
        {
            std::this_thread::sleep_for(milliseconds(2));
        }
        return condition();
    }

    // Blocks the thread of `node` while `action` runs.
    template <class Action>
    static void while_blocked(routed_node& node, Action action)
    {
        std::promise<void> blocked;
        std::promise<void> released;
        auto release = released.get_future();
        asio::post(
            node.worker.context,
            [&]
            {
                blocked.set_value();
                release.wait();
            });
        blocked.get_future().wait();
        action();
        released.set_value();
    }

    run_journal journal;
    // The daemon beside the upstream.
    routed_node* serving = nullptr;
    std::uint64_t reports = 0;
};

using wait_parameters = std::tuple<wait_point, placement, departure>;

class departed_caller_at : public departed_caller,
                           public ::testing::WithParamInterface<wait_parameters>
{
protected:
    // Brings a request to the wait point.
    void start_and_wait(wait_point at, placement where)
    {
        switch (at)
        {
        case wait_point::routes:
            start_at(where, silent_script(), false);
            break;
        case wait_point::upstream_list:
            start_at(where, silent_script(), true, false);
            break;
        case wait_point::answer_part:
            start_at(where, partial_script(100'000, 1'000));
            break;
        case wait_point::answer_rest:
            start_at(where, partial_script(2'000'000, 500'000));
            break;
        case wait_point::slow_caller:
            start_at(where, partial_script(50'000'000, 50'000'000));
            break;
        default:
            start_at(where, silent_script());
        }
        if (at == wait_point::upstream_connection)
        {
            report(full.address());
        }
        if (at == wait_point::peer_session)
        {
            announce_address(full.address());
        }
        if (at == wait_point::slot)
        {
            occupy_slots();
        }
        send_and_wait(at);
    }

    // The wait for a session ends by itself after a quarter of a second. A
    // request whose wait has ended before this thread went on is sent again.
    void send_and_wait(wait_point at)
    {
        const auto is_waiting = [this]
        {
            return requests_in_flight() == blockers.size() + 1;
        };
        const int tries = at == wait_point::peer_session ? 20 : 1;
        bool waits = false;
        for (int i = 0; i < tries && !waits; ++i)
        {
            caller.emplace(entry->caller_server->local_endpoint());
            caller->send(make_request("/views/1", "id-1", ""));
            const bool runs = at >= wait_point::answer_head;
            if (runs)
            {
                ASSERT_TRUE(journal.wait_until_begun(1));
            }
            if (at == wait_point::answer_rest)
            {
                caller->read_some(300'000);
            }
            static_cast<void>(wait_until(is_waiting, event_timeout / tries));
            std::this_thread::sleep_for(milliseconds(50));
            waits = is_waiting();
        }
        ASSERT_TRUE(waits);
    }

    void occupy_slots()
    {
        for (std::size_t i = 0; i < slots; ++i)
        {
            auto& each = blockers.emplace_back(std::make_unique<test_caller>(
                entry->caller_server->local_endpoint()));
            each->send(
                make_request("/views/1", "blocker-" + std::to_string(i), ""));
        }
        ASSERT_TRUE(journal.wait_until_begun(static_cast<int>(slots)));
    }

    // Lets requests pass that wait at the entry or for a slot.
    void remove_obstacle(wait_point at)
    {
        if (at == wait_point::routes)
        {
            install_long_routes();
        }
        if (at == wait_point::upstream_list)
        {
            announce_address(serving->peer_server->local_endpoint());
        }
        blockers.clear();
    }

    full_listener full;
    std::optional<test_caller> caller;
    std::vector<std::unique_ptr<test_caller>> blockers;
};

TEST_P(departed_caller_at, nothing_is_done_for_it)
{
    const auto [at, where, how] = GetParam();
    start_and_wait(at, where);
    if (HasFatalFailure())
    {
        return;
    }
    const int begun = journal.begun();
    caller->leave(how);
    const bool runs = at >= wait_point::answer_head;
    EXPECT_TRUE(journal.wait_until_ended(runs ? 1 : 0, max_work_after_leaving));
    EXPECT_TRUE(wait_until(
        [this]
        {
            const auto state = serving->state.slots.state();
            return requests_in_flight() == blockers.size() &&
                   state.running == blockers.size() && state.waiting == 0;
        },
        max_work_after_leaving));
    remove_obstacle(at);
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(journal.begun(), begun);
}

std::string name_of(const ::testing::TestParamInfo<wait_parameters>& info)
{
    static constexpr std::array points{
        "routes",
        "upstream_list",
        "peer_session",
        "slot",
        "upstream_connection",
        "answer_head",
        "answer_part",
        "answer_rest",
        "slow_caller"};
    static constexpr std::array places{"local", "remote"};
    static constexpr std::array departures{"close", "reset", "pipelining"};
    const auto [at, where, how] = info.param;
    return std::string(points.at(static_cast<std::size_t>(at))) + "_" +
           places.at(static_cast<std::size_t>(where)) + "_" +
           departures.at(static_cast<std::size_t>(how));
}

INSTANTIATE_TEST_SUITE_P(
    waits,
    departed_caller_at,
    ::testing::Combine(
        ::testing::Values(
            wait_point::routes,
            wait_point::upstream_list,
            wait_point::slot,
            wait_point::upstream_connection,
            wait_point::answer_head,
            wait_point::answer_part,
            wait_point::answer_rest,
            wait_point::slow_caller),
        ::testing::Values(placement::local, placement::remote),
        ::testing::Values(
            departure::close,
            departure::reset,
            departure::close_after_pipelining)),
    name_of);

INSTANTIATE_TEST_SUITE_P(
    session_waits,
    departed_caller_at,
    ::testing::Combine(
        ::testing::Values(wait_point::peer_session),
        ::testing::Values(placement::remote),
        ::testing::Values(
            departure::close,
            departure::reset,
            departure::close_after_pipelining)),
    name_of);

class departed_caller_from
    : public departed_caller,
      public ::testing::WithParamInterface<std::tuple<placement, departure>>
{
};

// The daemon reads the requests after their callers have left.
TEST_P(departed_caller_from, its_unread_request_is_not_sent)
{
    const auto [where, how] = GetParam();
    start_at(where, silent_script());
    while_blocked(
        *entry,
        [this, departure = how]
        {
            for (int i = 0; i < 20; ++i)
            {
                test_caller caller(entry->caller_server->local_endpoint());
                const auto id = "id-" + std::to_string(i);
                caller.send(
                    i % 2 == 0 ? make_request("/views/1", id, "")
                               : make_request("/pay/1", id, "amount 7"));
                caller.leave(departure);
            }
        });
    const auto left_all = [this]
    {
        return on_entry(
                   [this]
                   {
                       return entry->caller_server->connections();
                   }) == 0;
    };
    std::this_thread::sleep_for(milliseconds(50));
    EXPECT_TRUE(wait_until(left_all, event_timeout));
    EXPECT_EQ(journal.begun(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    places,
    departed_caller_from,
    ::testing::Combine(
        ::testing::Values(placement::local, placement::remote),
        ::testing::Values(
            departure::close,
            departure::reset,
            departure::close_after_pipelining)));

// The daemon beside the upstream reads a call and its reset together.
TEST_F(departed_caller, a_call_that_was_reset_before_it_was_read_is_not_sent)
{
    start_at(placement::remote, silent_script());
    {
        // Opens the session between the daemons.
        test_caller caller(entry->caller_server->local_endpoint());
        caller.send(make_request("/views/1", "id-0", ""));
        ASSERT_TRUE(journal.wait_until_begun(1));
    }
    ASSERT_TRUE(journal.wait_until_ended(1, event_timeout));
    while_blocked(
        *upstream_node,
        [this]
        {
            for (int i = 1; i <= 20; ++i)
            {
                test_caller caller(entry->caller_server->local_endpoint());
                const auto id = "id-" + std::to_string(i);
                caller.send(
                    i % 2 == 0 ? make_request("/views/1", id, "")
                               : make_request("/pay/1", id, "amount 7"));
                std::this_thread::sleep_for(milliseconds(5));
            }
            EXPECT_TRUE(wait_until(
                [this]
                {
                    return requests_in_flight() == 0;
                },
                event_timeout));
        });
    std::this_thread::sleep_for(milliseconds(100));
    EXPECT_EQ(journal.begun(), 1);
}

} // namespace
} // namespace nutmegusher::routed
