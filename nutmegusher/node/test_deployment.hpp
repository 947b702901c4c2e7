// Parts of a deployment for the tests of this package, in one process on
// loopback: nodes with the filter chains of a daemon, fake upstreams and a fake
// claim log.
#ifndef NUTMEGUSHER_NODE_TEST_DEPLOYMENT_HPP
#define NUTMEGUSHER_NODE_TEST_DEPLOYMENT_HPP

#include "nutmegusher/execution/execution.hpp"
#include "nutmegusher/node/http_server.hpp"
#include "nutmegusher/node/worker.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace nutmegusher::node::test
{

// The answer that a client received.
struct client_answer
{
    unsigned status = 0;
    wire::headers fields;
    std::string body;
    // False if the connection closed before the answer was complete.
    bool is_complete = false;

    [[nodiscard]] std::string field(std::string_view name) const
    {
        return std::string(wire::find_header(fields, name).value_or(""));
    }
};

// One daemon: its controllers, and one worker on a thread of its own.
class test_node
{
public:
    explicit test_node(const std::string& host);
    test_node(const test_node&) = delete;
    test_node& operator=(const test_node&) = delete;
    ~test_node();

    // Starts serving peers, callers and the upstream on this host.
    void start();

    [[nodiscard]] endpoint peers() const;
    [[nodiscard]] endpoint callers() const;
    [[nodiscard]] endpoint upstream_side() const;

    // Closes all connections from other daemons.
    void close_peer_connections();

    controllers shared;
    worker node_worker;

private:
    std::unique_ptr<http_server> callers_;
    std::unique_ptr<http_server> upstream_side_;
    std::unique_ptr<wire::server> peers_;
    std::thread thread_;
};

// Serves HTTP/1.1 with a handler supplied by the test.
class fake_upstream
{
public:
    explicit fake_upstream(http_handler handler);
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;
    ~fake_upstream();

    [[nodiscard]] endpoint address() const;

private:
    asio::io_context context_;
    std::unique_ptr<http_server> server_;
    std::thread thread_;
};

// Serves "/control/claim" from one in-memory claim table. Answers 503 while
// `is_available` is false.
class fake_claim_log
{
public:
    fake_claim_log();
    fake_claim_log(const fake_claim_log&) = delete;
    fake_claim_log& operator=(const fake_claim_log&) = delete;
    ~fake_claim_log();

    [[nodiscard]] endpoint address() const;

    std::atomic<bool> is_available = true;

private:
    asio::awaitable<void> serve(std::shared_ptr<wire::server_stream> stream);

    asio::io_context context_;
    claim_table table_;
    std::unique_ptr<wire::server> server_;
    std::thread thread_;
};

// Declare a class and set the routes of a service on a node, as a sync with the
// control hosts would.
void declare(test_node& node, const messages::work_class& declared);
void route_to(
    test_node& node,
    const std::string& service,
    const std::vector<std::pair<std::string, endpoint>>& hosts);

[[nodiscard]] messages::work_class make_class(
    const std::string& name, const std::string& service, bool repeatable);

// Sends one request on a new connection, with a timeout of ten seconds.
[[nodiscard]] client_answer request(
    const endpoint& at,
    const std::string& method,
    const std::string& path,
    const wire::headers& fields = {},
    const std::string& body = "");

} // namespace nutmegusher::node::test

#endif
