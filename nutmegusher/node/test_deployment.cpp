#include "nutmegusher/node/test_deployment.hpp"

#include "nutmegusher/node/entry_chain.hpp"
#include "nutmegusher/node/upstream_chain.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <array>
#include <sstream>

namespace nutmegusher::node::test
{

namespace
{

const endpoint any_port(asio::ip::address_v4::loopback(), 0);
constexpr duration request_limit = std::chrono::seconds(10);

settings make_settings(const std::string& host)
{
    settings result;
    result.host.id = host_id(host);
    result.host.data_center = data_center_name("dc");
    result.host.region = region_name("region");
    result.host.threads = 1;
    result.control_hosts.push_back(any_port);
    return result;
}

// Returns the value, or throws to fail the test.
template <class T>
T value_or_throw(leaf::result<T> result)
{
    if (!result)
    {
        throw std::runtime_error("failed to open a listener");
    }
    return std::move(*result);
}

asio::awaitable<client_answer>
exchange(upstream_pool& pool, endpoint at, upstream_request outgoing)
{
    client_answer answer;
    auto sent = co_await pool.send(at, outgoing);
    if (!sent)
    {
        co_return answer;
    }
    auto& call = **sent;
    auto head = co_await call.read_head();
    if (!head)
    {
        co_return answer;
    }
    answer.status = head->status;
    answer.fields = head->fields;
    std::array<std::byte, 16384> chunk;
    while (true)
    {
        const auto read_size = co_await call.read_some(chunk);
        if (!read_size || *read_size == 0)
        {
            answer.is_complete = read_size.has_value();
            co_return answer;
        }
        answer.body.append(
            reinterpret_cast<const char*>(chunk.data()), *read_size);
    }
}

} // namespace

test_node::test_node(const std::string& host)
    : shared(make_settings(host), incarnation(1))
    , node_worker(shared, 0)
{
    callers_ = value_or_throw(http_server::listen(
        node_worker.context,
        any_port,
        [this](caller_exchange& exchange)
        {
            return serve_request(node_worker, exchange, request_origin::caller);
        },
        {}));
    upstream_side_ = value_or_throw(http_server::listen(
        node_worker.context,
        any_port,
        [this](caller_exchange& exchange)
        {
            return serve_request(
                node_worker, exchange, request_origin::own_upstream);
        },
        {}));
    peers_ = value_or_throw(wire::server::listen(
        node_worker.context,
        any_port,
        [this](std::shared_ptr<wire::server_stream> stream)
        {
            return serve_peer_call(node_worker, std::move(stream));
        },
        wire::session_options(),
        false));
}

test_node::~test_node()
{
    node_worker.context.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void test_node::start()
{
    thread_ = std::thread(
        [this]
        {
            node_worker.context.run();
        });
}

endpoint test_node::peers() const
{
    return peers_->local_endpoint();
}

endpoint test_node::callers() const
{
    return callers_->local_endpoint();
}

endpoint test_node::upstream_side() const
{
    return upstream_side_->local_endpoint();
}

void test_node::close_peer_connections()
{
    const auto cut = [this]() -> asio::awaitable<void>
    {
        peers_.reset();
        co_return;
    };
    asio::co_spawn(node_worker.context, cut(), asio::use_future).get();
}

fake_upstream::fake_upstream(http_handler handler)
    : server_(value_or_throw(
          http_server::listen(context_, any_port, std::move(handler), {})))
{
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
}

fake_upstream::~fake_upstream()
{
    context_.stop();
    thread_.join();
}

endpoint fake_upstream::address() const
{
    return server_->local_endpoint();
}

fake_claim_log::fake_claim_log()
    : server_(value_or_throw(wire::server::listen(
          context_,
          any_port,
          [this](std::shared_ptr<wire::server_stream> stream)
          {
              return serve(std::move(stream));
          },
          wire::session_options(),
          false)))
{
    thread_ = std::thread(
        [this]
        {
            context_.run();
        });
}

fake_claim_log::~fake_claim_log()
{
    context_.stop();
    thread_.join();
}

endpoint fake_claim_log::address() const
{
    return server_->local_endpoint();
}

asio::awaitable<void>
fake_claim_log::serve(std::shared_ptr<wire::server_stream> stream)
{
    std::string text;
    std::array<std::byte, 16384> chunk;
    while (true)
    {
        const auto read_size = co_await stream->read_some(chunk);
        if (!read_size || *read_size == 0)
        {
            break;
        }
        text.append(reinterpret_cast<const char*>(chunk.data()), *read_size);
    }
    messages::claim_command command;
    if (!is_available || !command.ParseFromString(text))
    {
        wire::response_head refused{503, {}};
        co_await stream->write_head(std::move(refused), true);
        co_return;
    }
    const auto body = table_.apply(command).SerializeAsString();
    wire::response_head head{200, {}};
    co_await stream->write_head(std::move(head), body.empty());
    if (!body.empty())
    {
        co_await stream->write(std::as_bytes(std::span(body)), true);
    }
}

void declare(test_node& node, const messages::work_class& declared)
{
    messages::configuration_delta delta;
    auto& accepted = *delta.add_changes();
    const auto at = node.shared.configuration.current()->at();
    accepted.set_revision(at.next().value());
    *accepted.mutable_what()->mutable_declare() = declared;
    node.shared.configuration.accept(delta);
}

void route_to(
    test_node& node,
    const std::string& service,
    const std::vector<std::pair<std::string, endpoint>>& hosts)
{
    std::vector<messages::upstream_record> records;
    for (const auto& [host, address] : hosts)
    {
        std::ostringstream text;
        text << address;
        auto& record = records.emplace_back();
        record.set_host(host);
        record.set_service(service);
        record.set_data_center("dc");
        record.set_region("region");
        record.set_address(text.str());
        record.set_state(messages::upstream_serving);
    }
    node.shared.routes.request_routes(service_name(service));
    node.shared.routes.update(service_name(service), records);
}

messages::work_class
make_class(const std::string& name, const std::string& service, bool repeatable)
{
    messages::work_class result;
    result.set_name(name);
    result.set_service(service);
    result.set_path_prefix("/");
    result.set_repeatable(repeatable);
    result.mutable_target()->set_latency_ms(5000);
    result.mutable_target()->set_completion_ppm(999000);
    return result;
}

client_answer request(
    const endpoint& at,
    const std::string& method,
    const std::string& path,
    const wire::headers& fields,
    const std::string& body)
{
    asio::io_context context;
    upstream_pool pool(context);
    upstream_request outgoing;
    outgoing.head = {method, path, fields};
    outgoing.body = body;
    outgoing.time_left = request_limit;
    auto done = asio::co_spawn(
        context, exchange(pool, at, std::move(outgoing)), asio::use_future);
    context.run();
    return done.get();
}

} // namespace nutmegusher::node::test
