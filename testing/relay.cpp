#include "testing/relay.hpp"

#include "testing/endpoint.hpp"
#include "testing/socket_owner.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <array>
#include <future>
#include <map>
#include <set>
#include <thread>

namespace nutmegusher::test_support
{

namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;

namespace
{

constexpr std::size_t chunk_size = 16 * 1024;

// Both sides of a relayed connection and its behavior.
struct relayed_pair
{
    explicit relayed_pair(asio::ip::tcp::socket client_socket)
        : client(std::move(client_socket))
        , target(client.get_executor())
    {
    }

    void close()
    {
        error_code ignored;
        // Closing with zero linger sends a reset.
        const asio::socket_base::linger reset(true, 0);
        client.set_option(reset, ignored);
        target.set_option(reset, ignored);
        client.close(ignored);
        target.close(ignored);
    }

    asio::ip::tcp::socket client;
    asio::ip::tcp::socket target;
    relay_behavior behavior;
};

using pair_pointer = std::shared_ptr<relayed_pair>;

} // namespace

class relay::server
{
public:
    explicit server(const std::string& target)
        : target_(parse_endpoint(target))
    {
    }

    ~server()
    {
        context_.stop();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    error_code start(const std::string& listen);

    // Runs `action` on the relay's thread and waits for it.
    template <class Action>
    auto run(Action action)
    {
        std::packaged_task<decltype(action())()> task(action);
        auto result = task.get_future();
        asio::post(
            context_,
            [&task]
            {
                task();
            });
        return result.get();
    }

    void set(const relay_behavior& behavior);
    void set_for_process(pid_t process, const relay_behavior& behavior);
    void clear_process(pid_t process);
    void cut();

    [[nodiscard]] std::size_t open_connections() const
    {
        return open_.size();
    }

private:
    asio::awaitable<void> accept_connections();
    asio::awaitable<void> connect(pair_pointer pair);
    asio::awaitable<void> pump(pair_pointer pair, bool to_target);
    // The behavior set for the connection's process, else `fallback`.
    [[nodiscard]] relay_behavior
    behavior_of(const relayed_pair& pair, const relay_behavior& fallback) const;

    tcp_endpoint target_;
    asio::io_context context_{1};
    asio::ip::tcp::acceptor acceptor_{context_};
    relay_behavior new_connection_behavior_;
    std::map<pid_t, relay_behavior> by_process_;
    std::set<pair_pointer> open_;
    std::thread thread_;
};

error_code relay::server::start(const std::string& listen)
{
    error_code error;
    const auto endpoint = parse_endpoint(listen);
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
    {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        acceptor_.bind(endpoint, error);
    }
    if (!error)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error)
    {
        asio::co_spawn(context_, accept_connections(), asio::detached);
        thread_ = std::thread(
            [this]
            {
                context_.run();
            });
    }
    return error;
}

void relay::server::set(const relay_behavior& behavior)
{
    new_connection_behavior_ =
        behavior.new_connections_too ? behavior : relay_behavior();
    new_connection_behavior_.refuse_new = behavior.refuse_new;
    for (const auto& pair : open_)
    {
        pair->behavior = behavior_of(*pair, behavior);
    }
}

void relay::server::set_for_process(
    pid_t process, const relay_behavior& behavior)
{
    by_process_[process] = behavior;
    for (const auto& pair : open_)
    {
        pair->behavior = behavior_of(*pair, pair->behavior);
    }
}

void relay::server::clear_process(pid_t process)
{
    set_for_process(process, new_connection_behavior_);
    by_process_.erase(process);
}

relay_behavior relay::server::behavior_of(
    const relayed_pair& pair, const relay_behavior& fallback) const
{
    error_code error;
    const auto from = pair.client.remote_endpoint(error);
    const auto local = pair.client.local_endpoint(error);
    for (const auto& [process, behavior] : by_process_)
    {
        if (!error && internal::owns_connection(process, from, local))
        {
            return behavior;
        }
    }
    return fallback;
}

void relay::server::cut()
{
    for (const auto& pair : open_)
    {
        pair->close();
    }
    open_.clear();
}

asio::awaitable<void> relay::server::accept_connections()
{
    for (;;)
    {
        error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        auto socket = co_await acceptor_.async_accept(token);
        if (error || new_connection_behavior_.refuse_new)
        {
            continue;
        }
        auto pair = std::make_shared<relayed_pair>(std::move(socket));
        pair->behavior = behavior_of(*pair, new_connection_behavior_);
        open_.insert(pair);
        asio::co_spawn(context_, connect(std::move(pair)), asio::detached);
    }
}

asio::awaitable<void> relay::server::connect(pair_pointer pair)
{
    error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    co_await pair->target.async_connect(target_, token);
    if (error)
    {
        pair->close();
        open_.erase(pair);
        co_return;
    }
    const asio::ip::tcp::no_delay no_delay(true);
    pair->client.set_option(no_delay, error);
    pair->target.set_option(no_delay, error);
    asio::co_spawn(context_, pump(pair, true), asio::detached);
    asio::co_spawn(context_, pump(pair, false), asio::detached);
}

asio::awaitable<void> relay::server::pump(pair_pointer pair, bool to_target)
{
    auto& from = to_target ? pair->client : pair->target;
    auto& into = to_target ? pair->target : pair->client;
    std::array<char, chunk_size> chunk{};
    asio::steady_timer timer(context_);
    for (;;)
    {
        error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        const auto read_buffer = asio::buffer(chunk);
        const std::size_t size =
            co_await from.async_read_some(read_buffer, token);
        if (pair->behavior.delay.count() > 0)
        {
            error_code ignored;
            timer.expires_after(pair->behavior.delay);
            co_await timer.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        }
        const auto direction =
            to_target ? pair->behavior.to_target : pair->behavior.to_client;
        if (direction == relay_direction::silent)
        {
            if (error)
            {
                co_return; // The close isn't forwarded either.
            }
            continue;
        }
        if (!error)
        {
            const auto bytes = asio::buffer(chunk.data(), size);
            co_await asio::async_write(into, bytes, token);
        }
        if (error)
        {
            pair->close();
            open_.erase(pair);
            co_return;
        }
    }
}

outcome<std::unique_ptr<relay>, error_code>
relay::start(const std::string& listen, const std::string& target)
{
    auto running = std::make_unique<server>(target);
    if (const auto error = running->start(listen))
    {
        return error;
    }
    return std::unique_ptr<relay>(new relay(std::move(running)));
}

relay::relay(std::unique_ptr<server> running)
    : server_(std::move(running))
{
}

relay::~relay() = default;

void relay::set(const relay_behavior& behavior)
{
    server_->run(
        [this, &behavior]
        {
            server_->set(behavior);
        });
}

void relay::set_for_process(pid_t process, const relay_behavior& behavior)
{
    server_->run(
        [this, process, &behavior]
        {
            server_->set_for_process(process, behavior);
        });
}

void relay::clear_process(pid_t process)
{
    server_->run(
        [this, process]
        {
            server_->clear_process(process);
        });
}

void relay::cut()
{
    server_->run(
        [this]
        {
            server_->cut();
        });
}

std::size_t relay::open_connections()
{
    return server_->run(
        [this]
        {
            return server_->open_connections();
        });
}

outcome<relay_behavior, error_code> parse_relay_behavior(std::string_view text)
{
    error_code error;
    const auto value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
    {
        return make_error_code(boost::system::errc::invalid_argument);
    }
    const auto& object = value.get_object();
    const auto direction = [&object](const char* name)
    {
        const auto* member = object.if_contains(name);
        const bool silent =
            member && member->is_string() && member->get_string() == "silent";
        return silent ? relay_direction::silent : relay_direction::pass;
    };
    const auto flag = [&object](const char* name, bool fallback)
    {
        const auto* member = object.if_contains(name);
        return member && member->is_bool() ? member->get_bool() : fallback;
    };
    relay_behavior behavior;
    behavior.to_target = direction("to_target");
    behavior.to_client = direction("to_client");
    behavior.new_connections_too = flag("new_connections_too", true);
    behavior.refuse_new = flag("refuse_new", false);
    if (const auto* delay = object.if_contains("delay_ms");
        delay && delay->is_int64())
    {
        behavior.delay = std::chrono::milliseconds(delay->get_int64());
    }
    return behavior;
}

} // namespace nutmegusher::test_support
