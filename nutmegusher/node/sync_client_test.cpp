// Tests the daemon's side of a sync against control hosts with scripted
// replies.
#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/sync_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <deque>

namespace nutmegusher::node
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Far above what any step takes; a test that reaches it has failed.
constexpr seconds test_limit{20};

using tcp = asio::ip::tcp;

const endpoint any_port(asio::ip::address_v4::loopback(), 0);

// Returns the body of the first request in the bytes that an HTTP/2 client has
// sent; empty until it is complete.
std::string first_body(std::string_view sent)
{
    constexpr std::size_t preface_bytes = 24;
    constexpr std::size_t head_bytes = 9;
    std::string body;
    sent.remove_prefix(std::min(sent.size(), preface_bytes));
    while (sent.size() >= head_bytes)
    {
        const auto octet = [&sent](std::size_t at)
        {
            return static_cast<unsigned char>(sent[at]);
        };
        const std::size_t size = octet(0) << 16U | octet(1) << 8U | octet(2);
        const bool is_data = octet(3) == 0;
        const bool ends = (octet(4) & 1U) != 0;
        sent.remove_prefix(head_bytes);
        if (sent.size() < size)
        {
            break;
        }
        body += is_data ? sent.substr(0, size) : std::string_view();
        sent.remove_prefix(size);
        if (is_data && ends)
        {
            return body;
        }
    }
    return {};
}

class scripted_control_hosts : public testing::Test
{
protected:
    using stream_pointer = std::shared_ptr<wire::server_stream>;
    // Called with the number of the control host that received the request.
    using script = std::function<asio::awaitable<void>(
        std::size_t, messages::sync_request, stream_pointer)>;

    void start(std::size_t count, script answer)
    {
        answer_ = std::move(answer);
        settings made;
        made.host.id = host_id("d1");
        made.host.data_center = data_center_name("dc");
        made.host.region = region_name("region");
        made.host.threads = 1;
        for (std::size_t number = 0; number < count; ++number)
        {
            const auto serve = [this, number](stream_pointer stream)
            {
                return serve_one(number, std::move(stream));
            };
            auto& listening = servers_.emplace_back(std::move(
                wire::server::listen(
                    context_, any_port, serve, wire::session_options(), false)
                    .value()));
            made.control_hosts.push_back(listening->local_endpoint());
        }
        shared_.emplace(made, incarnation(1));
        worker_.emplace(*shared_, 0);
        client_.emplace(*worker_);
        asio::co_spawn(worker_->context, client_->run(), asio::detached);
        asio::co_spawn(
            worker_->context, client_->monitor_age(), asio::detached);
    }

    // Returns false if the condition was not met within the limit.
    bool run_until(const std::function<bool()>& done)
    {
        const auto limit = host_clock().now() + test_limit;
        while (!done() && host_clock().now() < limit)
        {
            context_.run_for(milliseconds(1));
            context_.restart();
            worker_->context.run_for(milliseconds(1));
            worker_->context.restart();
        }
        return done();
    }

    // Announces an upstream on the daemon's host.
    void announce()
    {
        announcement message;
        message.service = service_name("members");
        message.state = messages::upstream_serving;
        shared_->upstream.announce(message, host_clock().now());
        client_->sync_now();
    }

    // Stops the only control host and listens at its address in its place.
    tcp::acceptor replace_control_host()
    {
        const auto address = servers_.front()->local_endpoint();
        servers_.front().reset();
        tcp::acceptor acceptor(context_);
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
        acceptor.non_blocking(true);
        return acceptor;
    }

    [[nodiscard]] std::uint64_t running_revision() const
    {
        return shared_->configuration.current()->at().value();
    }

    static std::string reply_of(std::uint64_t revision)
    {
        messages::sync_reply reply;
        reply.set_accepted(true);
        reply.set_linearizable(true);
        reply.set_current_after_ms(0);
        reply.mutable_delta()->mutable_full()->set_revision(revision);
        return reply.SerializeAsString();
    }

    static asio::awaitable<void> send(stream_pointer stream, std::string body)
    {
        wire::response_head head{200, {}};
        co_await stream->write_head(std::move(head), false);
        co_await stream->write(std::as_bytes(std::span(body)), true);
    }

    asio::awaitable<void> pause(duration length)
    {
        asio::steady_timer timer(context_, length);
        co_await timer.async_wait(asio::use_awaitable);
    }

private:
    asio::awaitable<void> serve_one(std::size_t number, stream_pointer stream)
    {
        std::string text;
        std::array<std::byte, 4096> chunk;
        while (true)
        {
            const auto read_size = co_await stream->read_some(chunk);
            if (!read_size || *read_size == 0)
            {
                break;
            }
            text.append(
                reinterpret_cast<const char*>(chunk.data()), *read_size);
        }
        messages::sync_request request;
        EXPECT_TRUE(request.ParseFromString(text));
        co_await answer_(number, std::move(request), std::move(stream));
    }

    asio::io_context context_{1};
    script answer_;
    std::deque<std::unique_ptr<wire::server>> servers_;
    std::optional<controllers> shared_;
    std::optional<worker> worker_;
    std::optional<sync_client> client_;
};

// Guards against an endless restart: many daemons start at once beside one
// control host and each downloads a full configuration, which takes longer than
// a reply without updates may. The transfer was aborted and begun again each
// time.
TEST_F(scripted_control_hosts, an_answer_that_arrives_slowly_is_taken)
{
    std::size_t request_count = 0;
    const auto answer = [&request_count, this](
                            std::size_t,
                            messages::sync_request,
                            stream_pointer stream) -> asio::awaitable<void>
    {
        ++request_count;
        const auto body = reply_of(7);
        wire::response_head head{200, {}};
        co_await stream->write_head(std::move(head), false);
        for (std::size_t at = 0; at < body.size(); ++at)
        {
            const auto wait = milliseconds(3000 / body.size());
            co_await pause(wait);
            const bool is_last = at + 1 == body.size();
            const auto byte = std::span(body).subspan(at, 1);
            co_await stream->write(std::as_bytes(byte), is_last);
        }
    };
    start(1, answer);
    EXPECT_TRUE(run_until(
        [this]
        {
            return running_revision() == 7;
        }));
    EXPECT_EQ(request_count, 1U);
}

// The control host that holds the poll becomes silent, or its reply is lost,
// while another one has a newer configuration.
TEST_F(scripted_control_hosts, a_daemon_asks_another_one_before_its_poll_ends)
{
    std::optional<std::size_t> silent_host;
    time_point silent_since;
    const auto answer = [&](std::size_t number,
                            messages::sync_request,
                            stream_pointer stream) -> asio::awaitable<void>
    {
        if (!silent_host)
        {
            silent_host = number;
            silent_since = host_clock().now();
            co_await send(stream, reply_of(1));
        }
        else if (silent_host == number)
        {
            co_await pause(test_limit);
        }
        else
        {
            co_await send(stream, reply_of(2));
        }
    };
    start(2, answer);
    EXPECT_TRUE(run_until(
        [this]
        {
            return running_revision() == 2;
        }));
    // Shorter than the poll's own timeout, after which the daemon would have
    // asked another host anyway.
    EXPECT_LT(host_clock().now() - silent_since, milliseconds(2500));
}

// All control hosts and the daemon start together. The hosts replay their logs
// before they know what is current; the daemon ran revision 9 before.
TEST_F(scripted_control_hosts, a_daemon_that_starts_takes_nothing_old)
{
    std::size_t request_count = 0;
    std::uint64_t lowest_revision = 9;
    const auto answer = [&](std::size_t,
                            messages::sync_request,
                            stream_pointer stream) -> asio::awaitable<void>
    {
        const bool is_behind = ++request_count <= 5;
        messages::sync_reply reply;
        EXPECT_TRUE(
            reply.ParseFromString(reply_of(is_behind ? request_count : 9)));
        reply.set_linearizable(!is_behind);
        reply.set_current_after_ms(is_behind ? -1'000'000 : 0);
        co_await send(stream, reply.SerializeAsString());
    };
    start(2, answer);
    EXPECT_TRUE(run_until(
        [&]
        {
            lowest_revision =
                running_revision() == 0
                    ? lowest_revision
                    : std::min(lowest_revision, running_revision());
            return running_revision() == 9;
        }));
    EXPECT_EQ(lowest_revision, 9U);
    EXPECT_GT(request_count, 5U);
}

// The control host keeps answering, but reports that it is not current.
TEST_F(scripted_control_hosts, a_daemon_leaves_one_that_is_behind)
{
    std::optional<std::size_t> lagging_host;
    const auto answer = [&](std::size_t number,
                            messages::sync_request,
                            stream_pointer stream) -> asio::awaitable<void>
    {
        lagging_host = lagging_host.value_or(number);
        messages::sync_reply reply;
        EXPECT_TRUE(
            reply.ParseFromString(reply_of(lagging_host == number ? 1 : 2)));
        reply.set_current_after_ms(lagging_host == number ? -15'000 : 0);
        co_await send(stream, reply.SerializeAsString());
    };
    start(2, answer);
    EXPECT_TRUE(run_until(
        [this]
        {
            return running_revision() == 2;
        }));
}

// The upstream announces itself while the session is being opened. A poll
// without that announcement would be held.
TEST_F(scripted_control_hosts, the_poll_tells_what_happened_while_it_connected)
{
    std::size_t held_count = 0;
    const auto answer = [&](std::size_t,
                            messages::sync_request request,
                            stream_pointer stream) -> asio::awaitable<void>
    {
        if (request.wait_ms() == 0)
        {
            co_await send(stream, reply_of(1));
            co_return;
        }
        ++held_count;
        co_await pause(test_limit);
    };
    start(1, answer);
    ASSERT_TRUE(run_until(
        [&]
        {
            return held_count == 1;
        }));
    auto acceptor = replace_control_host();
    tcp::socket session(acceptor.get_executor());
    ASSERT_TRUE(run_until(
        [&]
        {
            boost::system::error_code none_yet;
            if (!session.is_open())
            {
                acceptor.accept(session, none_yet);
            }
            return session.is_open();
        }));
    announce();
    const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
    asio::write(session, asio::buffer(settings));
    session.non_blocking(true);
    std::string sent;
    messages::sync_request request;
    ASSERT_TRUE(run_until(
        [&]
        {
            std::array<char, 4096> chunk{};
            boost::system::error_code failed;
            const auto read_size =
                session.read_some(asio::buffer(chunk), failed);
            sent.append(chunk.data(), read_size);
            return request.ParseFromString(first_body(sent)) &&
                   !request.host().empty();
        }));
    EXPECT_EQ(request.own().service(), "members");
}

} // namespace
} // namespace nutmegusher::node
