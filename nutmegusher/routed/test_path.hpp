// For tests: routed requests over real sockets, from a caller to upstreams that
// follow a script.
#ifndef NUTMEGUSHER_ROUTED_TEST_PATH_HPP
#define NUTMEGUSHER_ROUTED_TEST_PATH_HPP

#include "nutmegusher/node/scripted_upstream.hpp"
#include "nutmegusher/routed/entry.hpp"
#include "nutmegusher/routed/peer_exchange.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace nutmegusher::routed
{
namespace test_path
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using text_request = http::request<http::string_body>;
using text_response = http::response<http::string_body>;

using node::test::any_port;
using node::test::scripted_upstream;

inline std::optional<text_request>
read_request(tcp::socket& from, beast::flat_buffer& in)
{
    text_request request;
    boost::system::error_code failed;
    http::read(from, in, request, failed);
    return failed ? std::nullopt : std::optional(request);
}

inline text_response answer_to(std::string_view id, std::string_view body)
{
    text_response result(http::status::ok, 11);
    result.set("nutmeg-request-id", beast::string_view(id.data(), id.size()));
    result.set("x-own", "kept");
    result.body() = body;
    result.prepare_payload();
    return result;
}

inline std::string id_of(const text_request& request)
{
    return std::string(request["nutmeg-request-id"]);
}

// The part of a daemon that serves routed requests, on a thread of its own.
class routed_node
{
public:
    explicit routed_node(
        const std::string& host,
        duration max_configuration_age = duration::zero())
        : shared(make_settings(host, max_configuration_age), incarnation(1))
        , worker(shared, 0)
        , state(shared, request_dialect(), [] {})
    {
        node::http_server_options options;
        caller_server = std::move(node::http_server::listen(
                                      worker.context,
                                      any_port,
                                      [this](node::caller_exchange& exchange)
                                      {
                                          return serve_routed_request(
                                              worker, state, exchange);
                                      },
                                      options)
                                      .value());
        peer_server = std::move(
            wire::server::listen(
                worker.context,
                any_port,
                [this](std::shared_ptr<wire::server_stream> stream)
                {
                    return serve_routed_call(worker, state, std::move(stream));
                },
                wire::session_options(),
                false)
                .value());
    }

    ~routed_node()
    {
        worker.context.stop();
        thread.join();
    }

    void start()
    {
        thread = std::thread(
            [this]
            {
                worker.context.run();
            });
    }

    static node::settings make_settings(
        const std::string& host,
        duration max_configuration_age = duration::zero())
    {
        node::settings result;
        result.host.id = host_id(host);
        result.host.data_center = data_center_name("dc");
        result.host.region = region_name("region");
        result.upstream.service = service_name("members");
        result.dialect = "test";
        result.teams.max_configuration_age = max_configuration_age;
        return result;
    }

    node::controllers shared;
    node::worker worker;
    routed_state state;
    std::unique_ptr<node::http_server> caller_server;
    std::unique_ptr<wire::server> peer_server;
    std::thread thread;
};

class routed_path : public ::testing::Test
{
protected:
    void start(scripted_upstream::script script)
    {
        start_without_routes(std::move(script));
        install_routes();
    }

    void start_without_routes(scripted_upstream::script script)
    {
        upstream = std::make_unique<scripted_upstream>(std::move(script));
        entry = std::make_unique<routed_node>("entry", max_configuration_age);
        upstream_node = std::make_unique<routed_node>("beside");
        announce(*upstream_node, *upstream);
        entry->start();
        upstream_node->start();
    }

    void install_routes()
    {
        messages::configuration_delta delta;
        delta.mutable_full()->set_revision(1);
        auto& document = *delta.mutable_full()->mutable_routes();
        document.set_version(1);
        add_route(document, "/views/", true);
        add_route(document, "/pay/", false);
        entry->shared.configuration.accept(delta);
    }

    // Adds a second upstream of the service, with a daemon of its own.
    void start_another(scripted_upstream::script script)
    {
        other_upstream = std::make_unique<scripted_upstream>(std::move(script));
        other = std::make_unique<routed_node>("other");
        announce(*other, *other_upstream);
        other->start();
    }

    // Registers the upstream with its daemon, and the daemon with the entry.
    void announce(routed_node& node, const scripted_upstream& serves)
    {
        upstream_report new_report;
        new_report.id = "i-1";
        new_report.service = service_name("balances");
        new_report.address = serves.address();
        new_report.slots = 4;
        new_report.order = {1, 1};
        node.state.local.report(new_report);
        node.state.slots.set_slots(4);
        messages::upstream_record record;
        record.set_host(node.shared.configured.host.id.str());
        record.set_data_center("dc");
        record.set_region("region");
        record.set_state(messages::upstream_serving);
        std::ostringstream address;
        address << node.peer_server->local_endpoint();
        record.set_address(address.str());
        records.push_back(record);
        entry->shared.routes.update(service_name("balances"), records);
    }

    static void add_route(
        messages::route_document& to,
        const std::string& prefix,
        bool repeatable)
    {
        auto& route = *to.add_routes();
        route.set_name(prefix);
        route.set_host("a.example");
        route.set_path_prefix(prefix);
        route.set_repeatable(repeatable);
        route.set_deadline_ms(3000);
        route.set_max_tries(2);
        auto& destination = *route.add_destinations();
        destination.set_service("balances");
        destination.set_weight(1);
    }

    static text_request make_request(
        const std::string& path, const std::string& id, const std::string& body)
    {
        text_request request(
            body.empty() ? http::verb::get : http::verb::post, path, 11);
        request.set("host", "a.example");
        request.set("nutmeg-request-id", id);
        request.set("nutmeg-timeout-ms", "2000");
        request.set("nutmeg-caller-service", "forged");
        request.set("x-caller", "kept");
        request.body() = body;
        request.prepare_payload();
        return request;
    }

    [[nodiscard]] text_response
    ask(const std::string& path,
        const std::string& id,
        const std::string& body = "") const
    {
        return ask(make_request(path, id, body));
    }

    [[nodiscard]] text_response ask(const text_request& request) const
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(entry->caller_server->local_endpoint());
        http::write(socket, request);
        beast::flat_buffer buffer;
        text_response answer;
        boost::system::error_code failed;
        http::read(socket, buffer, answer, failed);
        EXPECT_FALSE(failed) << failed.message();
        return answer;
    }

    // Of the entry's settings.
    duration max_configuration_age{0};
    std::vector<messages::upstream_record> records;
    std::unique_ptr<scripted_upstream> upstream;
    std::unique_ptr<scripted_upstream> other_upstream;
    std::unique_ptr<routed_node> entry;
    std::unique_ptr<routed_node> upstream_node;
    std::unique_ptr<routed_node> other;
};

} // namespace test_path
} // namespace nutmegusher::routed

#endif
