// Calls to another daemon that end before their answer arrives.
#include "nutmegusher/routed/test_path.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;

// The caller disconnects, or this process stops, while the session is being
// opened.
TEST(peer_exchange, does_not_send_a_call_interrupted_while_connecting)
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
    peer_feedback feedback;
    wire::interruptible work;
    bool returned = false;
    bool finished = true;
    const auto body = [&]() -> asio::awaitable<void>
    {
        co_await call_peer(worker, peer->local_endpoint(), call, feedback);
        returned = true;
    };
    const auto run = [&]() -> asio::awaitable<void>
    {
        finished = co_await work.run(body());
    };
    bool ended = false;
    auto note_end = [&ended](const std::exception_ptr&)
    {
        ended = true;
    };
    asio::co_spawn(
        worker.context,
        run(),
        asio::bind_cancellation_slot(work.slot(), std::move(note_end)));
    asio::post(
        worker.context,
        [&work]
        {
            work.interrupt();
        });
    while (!ended)
    {
        worker.context.run_one();
    }
    EXPECT_EQ(served, 0);
    EXPECT_FALSE(finished);
    EXPECT_FALSE(returned);
    EXPECT_FALSE(feedback.progress.may_have_run());
    EXPECT_FALSE(feedback.broken);
    EXPECT_FALSE(worker.peers.had_recent_loss());
}

class peer_status : public ::testing::TestWithParam<const char*>
{
};

// Guards against a status of a peer that no caller can read.
TEST_P(peer_status, must_be_that_of_a_final_answer)
{
    node::controllers shared(
        routed_node::make_settings("entry"), incarnation(1));
    node::worker worker(shared, 0);
    const auto serve =
        [](std::shared_ptr<wire::server_stream> stream) -> asio::awaitable<void>
    {
        wire::response_head head{200, {{"nutmeg-status", GetParam()}}};
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
    peer_feedback feedback;
    std::optional<node::refusal> refused;
    bool ended = false;
    const auto run = [&]() -> asio::awaitable<void>
    {
        const auto result =
            co_await call_peer(worker, peer->local_endpoint(), call, feedback);
        if (!result)
        {
            refused = result.error().details;
        }
        ended = true;
    };
    asio::co_spawn(worker.context, run(), asio::detached);
    while (!ended)
    {
        worker.context.run_one();
    }
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->reason, node::call_reason::answer_broken);
    EXPECT_EQ(refused->result, call_outcome::unknown);
}

INSTANTIATE_TEST_SUITE_P(
    values,
    peer_status,
    ::testing::Values("", "2x0", "000", "099", "101", "600", "99999"));

} // namespace
} // namespace nutmegusher::routed
