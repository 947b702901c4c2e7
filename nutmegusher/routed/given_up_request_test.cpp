// Requests that a daemon still works on when its shutdown reaches its limit.
#include "nutmegusher/routed/test_path.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;

constexpr std::chrono::seconds wait_limit(20);
constexpr std::chrono::milliseconds poll_interval(5);

class given_up_request : public routed_path
{
protected:
    // Ends the scripts before what they use.
    ~given_up_request() override
    {
        blocked = false;
        entry.reset();
        upstream_node.reset();
        upstream.reset();
    }

    // Answers nothing while `blocked`.
    [[nodiscard]] scripted_upstream::script answer_when_unblocked()
    {
        return [this](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                ++runs;
                while (blocked)
                {
                    std::this_thread::sleep_for(poll_interval);
                }
                boost::system::error_code failed;
                http::write(socket, answer_to(id_of(*request), "done"), failed);
            }
        };
    }

    [[nodiscard]] std::future<text_response> ask_later(const std::string& id)
    {
        return std::async(
            std::launch::async,
            [this, id]
            {
                return ask("/pay/1", id, "7");
            });
    }

    void wait_for_runs(int number) const
    {
        const auto until = host_clock().now() + wait_limit;
        while (runs < number && host_clock().now() < until)
        {
            std::this_thread::sleep_for(poll_interval);
        }
        ASSERT_EQ(runs, number);
    }

    [[nodiscard]] static bool
    counts_one(const routed_node& node, const std::string& side)
    {
        return node.shared.decisions.exposition().find(
                   "requests_given_up_total{side=\"" + side + "\"} 1") !=
               std::string::npos;
    }

    std::atomic<int> runs = 0;
    std::atomic<bool> blocked = true;
};

// Guards against answers in place of an upstream's that no metric shows.
TEST_F(given_up_request, is_counted_by_the_side_that_gives_it_up)
{
    start(answer_when_unblocked());
    auto first = ask_later("id-1");
    wait_for_runs(1);
    asio::post(
        upstream_node->worker.context,
        [this]
        {
            upstream_node->peer_server->give_up();
        });
    EXPECT_EQ(first.get()["nutmeg-outcome"], "unknown");
    EXPECT_TRUE(counts_one(*upstream_node, "upstream"));
    EXPECT_FALSE(counts_one(*entry, "entry"));
    auto second = ask_later("id-2");
    wait_for_runs(2);
    asio::post(
        entry->worker.context,
        [this]
        {
            entry->caller_server->close_intake();
            entry->caller_server->give_up();
        });
    EXPECT_EQ(second.get()["nutmeg-outcome"], "unknown");
    EXPECT_TRUE(counts_one(*entry, "entry"));
}

// Guards against answers that are cut in their middle without a trace.
TEST_F(given_up_request, is_counted_if_its_answer_is_cut)
{
    constexpr std::size_t length = 2'000'000;
    start(
        [this](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            const auto request = read_request(socket, buffer);
            const auto beginning =
                "HTTP/1.1 200 OK\r\nnutmeg-request-id: " + id_of(*request) +
                "\r\ncontent-length: " + std::to_string(length) + "\r\n\r\n" +
                std::string(length / 2, 'x');
            boost::system::error_code failed;
            asio::write(socket, asio::buffer(beginning), failed);
            while (blocked)
            {
                std::this_thread::sleep_for(poll_interval);
            }
        });
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(entry->caller_server->local_endpoint());
    http::write(socket, make_request("/views/1", "id-1", ""));
    std::array<char, length / 4> part{};
    asio::read(socket, asio::buffer(part));
    std::promise<void> ended;
    asio::co_spawn(
        entry->worker.context,
        entry->caller_server->end(),
        [&ended](const std::exception_ptr&)
        {
            ended.set_value();
        });
    ended.get_future().wait();
    EXPECT_TRUE(counts_one(*entry, "entry"));
}

} // namespace
} // namespace nutmegusher::routed
