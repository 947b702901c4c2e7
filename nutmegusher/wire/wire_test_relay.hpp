// An in-process TCP relay that can stop forwarding without closing connections,
// or close them in the middle of a response.
#ifndef NUTMEGUSHER_WIRE_WIRE_TEST_RELAY_HPP
#define NUTMEGUSHER_WIRE_WIRE_TEST_RELAY_HPP

#include "nutmegusher/wire/wire_test_support.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/write.hpp>

#include <limits>

namespace nutmegusher::wire
{

class tcp_relay
{
public:
    tcp_relay(asio::io_context& context, tcp::endpoint target)
        : state_(std::make_shared<state>(context, std::move(target)))
    {
        asio::co_spawn(context, accept(state_), asio::detached);
    }

    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    ~tcp_relay()
    {
        boost::system::error_code ignored;
        state_->acceptor.close(ignored);
        for (const auto& current_link : state_->links)
        {
            current_link->close();
        }
    }

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return state_->acceptor.local_endpoint();
    }

    // Stops forwarding on the present connections, in both directions, and
    // keeps them open. New connections work.
    void silence()
    {
        for (const auto& current_link : state_->links)
        {
            current_link->silent = true;
        }
    }

    // Closes each connection accepted from now on after `bytes` response bytes.
    void cut_answers_after(std::size_t bytes)
    {
        state_->answer_limit = bytes;
    }

    [[nodiscard]] std::size_t accepted() const
    {
        return state_->links.size();
    }

private:
    struct link
    {
        explicit link(asio::io_context& context)
            : client_socket(context)
            , server_socket(context)
        {
        }

        void close()
        {
            boost::system::error_code ignored;
            client_socket.close(ignored);
            server_socket.close(ignored);
        }

        tcp::socket client_socket;
        tcp::socket server_socket;
        bool silent = false;
        std::size_t answer_bytes_left = 0;
    };

    struct state
    {
        state(asio::io_context& context, tcp::endpoint to)
            : context(context)
            , acceptor(context, any_port())
            , target(std::move(to))
        {
        }

        asio::io_context& context;
        tcp::acceptor acceptor;
        tcp::endpoint target;
        std::size_t answer_limit = std::numeric_limits<std::size_t>::max();
        std::vector<std::shared_ptr<link>> links;
    };

    static asio::awaitable<void> accept(std::shared_ptr<state> shared)
    {
        const auto token = asio::as_tuple(asio::use_awaitable);
        for (;;)
        {
            const auto new_link = std::make_shared<link>(shared->context);
            const auto [error] = co_await shared->acceptor.async_accept(
                new_link->client_socket, token);
            if (error)
            {
                co_return;
            }
            new_link->answer_bytes_left = shared->answer_limit;
            shared->links.push_back(new_link);
            asio::co_spawn(
                shared->context,
                connect_and_relay(shared, new_link),
                asio::detached);
        }
    }

    static asio::awaitable<void> connect_and_relay(
        std::shared_ptr<state> shared, std::shared_ptr<link> current_link)
    {
        const auto token = asio::as_tuple(asio::use_awaitable);
        const auto [error] = co_await current_link->server_socket.async_connect(
            shared->target, token);
        if (error)
        {
            current_link->close();
            co_return;
        }
        asio::co_spawn(
            shared->context,
            relay_one_way(current_link, false),
            asio::detached);
        co_await relay_one_way(current_link, true);
    }

    static asio::awaitable<void>
    relay_one_way(std::shared_ptr<link> current_link, bool to_client)
    {
        auto& from = to_client ? current_link->server_socket
                               : current_link->client_socket;
        auto& to = to_client ? current_link->client_socket
                             : current_link->server_socket;
        const auto token = asio::as_tuple(asio::use_awaitable);
        std::array<char, 16384> buffer;
        for (;;)
        {
            const auto [error, count] =
                co_await from.async_read_some(asio::buffer(buffer), token);
            if (current_link->silent)
            {
                co_return;
            }
            auto allowed = count;
            if (to_client)
            {
                allowed = std::min(count, current_link->answer_bytes_left);
                current_link->answer_bytes_left -= allowed;
            }
            const auto part = asio::buffer(buffer.data(), allowed);
            const auto [failed, sent] =
                co_await asio::async_write(to, part, token);
            if (error || failed || allowed < count)
            {
                current_link->close();
                co_return;
            }
        }
    }

    std::shared_ptr<state> state_;
};

} // namespace nutmegusher::wire

#endif
