// Upstreams that say in their answers how many calls they take a second, or
// that they leave.
#include "nutmegusher/routed/test_path.hpp"

#include <algorithm>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;
using std::chrono::milliseconds;
using std::chrono::seconds;

// In calls a second.
constexpr double named_limit = 20;
constexpr std::size_t caller_count = 16;

// Answers at once, with fields that can be changed.
class limited_upstream : public routed_path
{
protected:
    scripted_upstream::script answering_script()
    {
        return [this](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                auto answer = answer_to(id_of(*request), "done");
                {
                    const std::scoped_lock lock(mutex_);
                    arrivals_.push_back(host_clock().now());
                    for (const auto& [name, value] : fields_)
                    {
                        answer.set(name, value);
                    }
                }
                http::write(socket, answer);
            }
        };
    }

    void set_fields(std::map<std::string, std::string> fields)
    {
        const std::scoped_lock lock(mutex_);
        fields_ = std::move(fields);
    }

    [[nodiscard]] std::size_t arrivals_since(time_point since)
    {
        const std::scoped_lock lock(mutex_);
        return static_cast<std::size_t>(std::count_if(
            arrivals_.begin(),
            arrivals_.end(),
            [since](time_point each)
            {
                return each >= since;
            }));
    }

    // Sends requests one after the other from many callers for `length`. Half
    // of the requests may not be repeated.
    void send_for(duration length)
    {
        std::vector<std::thread> callers;
        const auto until = host_clock().now() + length;
        for (std::size_t i = 0; i < caller_count; ++i)
        {
            callers.emplace_back(
                [this, i, until]
                {
                    for (int n = 0; host_clock().now() < until; ++n)
                    {
                        const auto id = "id-" + std::to_string(++last_id_);
                        const bool repeatable = (i + n) % 2 == 0;
                        static_cast<void>(
                            repeatable ? ask("/views/1", id)
                                       : ask("/pay/1", id, "amount 7"));
                    }
                });
        }
        for (auto& each : callers)
        {
            each.join();
        }
    }

    // Sends for one second, in which the limit becomes known, and then counts
    // what arrives in two.
    void expect_limited()
    {
        send_for(seconds(1));
        const auto since = host_clock().now();
        send_for(seconds(2));
        const std::chrono::duration<double> elapsed(host_clock().now() - since);
        constexpr double burst = 2;
        EXPECT_LE(
            static_cast<double>(arrivals_since(since)),
            named_limit * elapsed.count() + burst);
        EXPECT_GE(arrivals_since(since), 20U);
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::string> fields_;
    std::vector<time_point> arrivals_;
    std::atomic<int> last_id_ = 0;
};

TEST_F(limited_upstream, gets_no_more_calls_than_it_names)
{
    set_fields({{"upstream-rate-limit", "20"}});
    start(answering_script());
    expect_limited();
}

TEST_F(limited_upstream, gets_all_calls_once_it_names_no_limit)
{
    set_fields({{"upstream-rate-limit", "20"}});
    start(answering_script());
    send_for(seconds(1));
    set_fields({});
    send_for(milliseconds(500));
    const auto since = host_clock().now();
    send_for(milliseconds(500));
    EXPECT_GE(arrivals_since(since), 50U);
}

TEST_F(limited_upstream, a_limit_that_is_no_number_is_ignored)
{
    set_fields({{"upstream-rate-limit", "nan"}});
    start(answering_script());
    send_for(milliseconds(200));
    const auto since = host_clock().now();
    send_for(milliseconds(500));
    EXPECT_GE(arrivals_since(since), 50U);
}

// The daemon beside the upstream forgets the limit; entries have been told.
TEST_F(limited_upstream, is_limited_at_once_after_its_daemon_restarts)
{
    set_fields({{"upstream-rate-limit", "20"}});
    start(answering_script());
    send_for(milliseconds(500));
    records.clear();
    upstream_node = std::make_unique<routed_node>("beside");
    announce(*upstream_node, *upstream);
    upstream_node->start();
    const auto since = host_clock().now();
    send_for(seconds(1));
    const std::chrono::duration<double> elapsed(host_clock().now() - since);
    EXPECT_LE(
        static_cast<double>(arrivals_since(since)),
        named_limit * elapsed.count() + 2);
    EXPECT_GE(arrivals_since(since), 5U);
}

TEST_F(limited_upstream, gets_no_calls_after_it_says_that_it_leaves)
{
    set_fields({{"upstream-leaving", "1"}});
    start(answering_script());
    EXPECT_EQ(ask("/views/1", "id-1").body(), "done");
    const auto since = host_clock().now();
    EXPECT_EQ(ask("/views/2", "id-2").result_int(), 503U);
    // A report that it has sent before.
    upstream_report late;
    late.id = "i-1";
    late.service = service_name("balances");
    late.address = upstream->address();
    late.slots = 4;
    late.order = {1, 2};
    upstream_node->state.local.report(late);
    EXPECT_EQ(ask("/views/3", "id-3").result_int(), 503U);
    EXPECT_EQ(arrivals_since(since), 0U);
    // Another start of it.
    set_fields({});
    late.order = {2, 1};
    upstream_node->state.local.report(late);
    for (auto& each : records)
    {
        each.set_upstream_start(2);
    }
    entry->shared.routes.update(service_name("balances"), records);
    EXPECT_EQ(ask("/views/4", "id-4").body(), "done");
}

} // namespace
} // namespace nutmegusher::routed
