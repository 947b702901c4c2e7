// For tests: requests at daemons that shut down, with time limits that no slow
// machine reaches, and an upstream that can hold its answers back.
#ifndef NUTMEGUSHER_ROUTED_BLOCKED_PATH_HPP
#define NUTMEGUSHER_ROUTED_BLOCKED_PATH_HPP

#include "nutmegusher/routed/test_path.hpp"

namespace nutmegusher::routed::test_path
{

class blocked_path : public routed_path
{
protected:
    // Of the requests and their routes.
    static constexpr std::chrono::milliseconds time_limit{60'000};
    static constexpr std::chrono::milliseconds poll_interval{5};
    static constexpr std::chrono::seconds event_timeout{20};

    // Ends the scripts before what they use.
    ~blocked_path() override
    {
        blocked = false;
        entry.reset();
        upstream_node.reset();
        other.reset();
        upstream.reset();
        other_upstream.reset();
    }

    void start(scripted_upstream::script script)
    {
        start_without_routes(std::move(script));
        install_long_routes();
    }

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
            each.set_deadline_ms(time_limit.count());
        }
        entry->shared.configuration.accept(delta);
    }

    [[nodiscard]] text_response
    ask(const std::string& path,
        const std::string& id,
        const std::string& body = "") const
    {
        auto request = make_request(path, id, body);
        request.set("nutmeg-timeout-ms", std::to_string(time_limit.count()));
        return routed_path::ask(request);
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

    // Counts each request, and answers it once nothing is `blocked`.
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

    static void wait_for(const std::function<bool()>& condition)
    {
        const auto until = host_clock().now() + event_timeout;
        while (!condition() && host_clock().now() < until)
        {
            std::this_thread::sleep_for(poll_interval);
        }
        ASSERT_TRUE(condition());
    }

    std::atomic<int> runs = 0;
    std::atomic<bool> blocked = false;
};

} // namespace nutmegusher::routed::test_path

#endif
