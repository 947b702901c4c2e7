// Hosts that are gone and whose addresses other hosts have taken over: a call
// runs on an upstream of its own service, or is proved not to have run.
#include "nutmegusher/routed/test_path.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;

upstream_report
report_of(const std::string& service, const scripted_upstream& at)
{
    upstream_report new_report;
    new_report.id = "i-" + service;
    new_report.service = service_name(service);
    new_report.address = at.address();
    new_report.slots = 4;
    new_report.order = {1, 1};
    return new_report;
}

class reused_address : public routed_path
{
protected:
    // Counts and answers each request.
    scripted_upstream::script counting_script(std::atomic<int>& runs)
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
};

TEST_F(
    reused_address,
    a_call_that_reaches_an_upstream_of_another_service_does_not_run)
{
    std::atomic<int> runs = 0;
    start(counting_script(runs));
    upstream_node->state.local.report(report_of("statements", *upstream));
    const auto answer = ask("/pay/1", "id-1", "amount 7");
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_EQ(answer["nutmeg-outcome"], "not-run");
    EXPECT_EQ(answer["nutmeg-reason"], "other-upstream");
    EXPECT_EQ(runs, 0);
}

// Also if the call may not be repeated, and without a retry by the caller.
TEST_F(reused_address, a_call_runs_on_another_upstream_of_its_service)
{
    std::atomic<int> wrong = 0;
    std::atomic<int> right = 0;
    start(counting_script(wrong));
    start_another(counting_script(right));
    upstream_node->state.local.report(report_of("statements", *upstream));
    for (int i = 0; i < 20; ++i)
    {
        const auto id = "id-" + std::to_string(i);
        EXPECT_EQ(ask("/pay/1", id, "amount 7").result_int(), 200U) << i;
    }
    EXPECT_EQ(wrong, 0);
    EXPECT_EQ(right, 20);
}

// The upstream is replaced by one of another service while the call waits.
TEST_F(reused_address, the_service_is_checked_again_after_the_wait_for_a_slot)
{
    std::atomic<int> runs = 0;
    start(counting_script(runs));
    upstream_node->state.slots.set_slots(1);
    call_info other;
    other.ticket = upstream_node->state.slots.next_ticket();
    other.deadline = host_clock().now() + std::chrono::minutes(1);
    asio::io_context context;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void>
        {
            co_await upstream_node->state.slots.enter(other);
        },
        asio::detached);
    context.run();
    auto asked = std::async(
        std::launch::async,
        [this]
        {
            return ask("/pay/1", "id-1", "amount 7");
        });
    while (upstream_node->state.slots.state().waiting == 0)
    {
        std::this_thread::yield();
    }
    upstream_node->state.local.report(report_of("statements", *upstream));
    upstream_node->state.slots.finish(other.ticket, call_result::ok);
    const auto answer = asked.get();
    EXPECT_EQ(answer.result_int(), 503U);
    EXPECT_EQ(answer["nutmeg-reason"], "other-upstream");
    EXPECT_EQ(runs, 0);
}

} // namespace
} // namespace nutmegusher::routed
