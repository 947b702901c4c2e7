// Requests that a daemon still works on when its shutdown reaches its limit.
#include "nutmegusher/routed/blocked_path.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;

class given_up_request : public blocked_path
{
protected:
    void wait_for_runs(int number)
    {
        wait_for(
            [this, number]
            {
                return runs == number;
            });
    }

    [[nodiscard]] static bool
    counts_one(const routed_node& node, const std::string& side)
    {
        return node.shared.decisions.exposition().find(
                   "requests_given_up_total{side=\"" + side + "\"} 1") !=
               std::string::npos;
    }
};

// Guards against answers in place of an upstream's that no metric shows.
TEST_F(given_up_request, is_counted_by_the_side_that_gives_it_up)
{
    blocked = true;
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
    blocked = true;
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
    auto request = make_request("/views/1", "id-1", "");
    request.set("nutmeg-timeout-ms", std::to_string(time_limit.count()));
    http::write(socket, request);
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
