// Calls to another daemon that end before their answer arrives.
#include "nutmegusher/routed/test_path.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;

// The caller disconnects, or this process stops, while the session is being
// opened.
TEST(peer_exchange, does_not_send_a_call_cancelled_while_connecting)
{
    node::controllers shared(
        routed_node::make_settings("entry"), incarnation(1));
    node::worker worker(shared, 0);
    int served = 0;
    const auto serve = [&served](std::shared_ptr<wire::server_stream> stream)
        -> asio::awaitable<void>
    {
        ++served;
        wire::response_head head{200, {{"nutmeg-status", "200"}}};
        co_await stream->write_head(std::move(head), true);
    };
    const auto peer = std::move(
        wire::server::listen(
            worker.context, any_port, serve, wire::session_options(), false)
            .value());
    routed_call call;
    call.head.method = "GET";
    call.head.path = "/";
    call.metadata.repeatable = true;
    call.metadata.deadline = host_clock().now() + std::chrono::seconds(20);
    const auto cancelled = std::make_shared<node::cancellation>();
    peer_feedback feedback;
    auto result = asio::co_spawn(
        worker.context,
        call_peer(worker, peer->local_endpoint(), call, cancelled, feedback),
        asio::use_future);
    asio::post(
        worker.context,
        [cancelled]
        {
            cancelled->requested = true;
        });
    while (result.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready)
    {
        worker.context.run_one();
    }
    const auto ended = result.get();
    EXPECT_EQ(served, 0);
    ASSERT_FALSE(ended);
    EXPECT_FALSE(ended.error().sent);
    EXPECT_EQ(ended.error().details.reason, node::call_reason::cancelled);
    EXPECT_EQ(ended.error().details.result, call_outcome::not_run);
}

} // namespace
} // namespace nutmegusher::routed
