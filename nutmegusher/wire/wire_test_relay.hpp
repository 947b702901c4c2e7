// A TCP relay inside the test's process, which loses track of connections.
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
        for (const auto& one : state_->links)
        {
            one->close();
        }
    }

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return state_->acceptor.local_endpoint();
    }

    // The connections of now carry nothing any more, in both directions, and
    // stay open. New ones work.
    void silence()
    {
        for (const auto& one : state_->links)
        {
            one->silent = true;
        }
    }

    // From now on a connection is closed after so many bytes of the answers.
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
            : near(context)
            , far(context)
        {
        }

        void close()
        {
            boost::system::error_code ignored;
            near.close(ignored);
            far.close(ignored);
        }

        tcp::socket near;
        tcp::socket far;
        bool silent = false;
        std::size_t answer_left = 0;
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

    static asio::awaitable<void> accept(std::shared_ptr<state> all)
    {
        const auto token = asio::as_tuple(asio::use_awaitable);
        for (;;)
        {
            const auto made = std::make_shared<link>(all->context);
            const auto [error] =
                co_await all->acceptor.async_accept(made->near, token);
            if (error)
            {
                co_return;
            }
            made->answer_left = all->answer_limit;
            all->links.push_back(made);
            asio::co_spawn(all->context, carry(all, made), asio::detached);
        }
    }

    static asio::awaitable<void>
    carry(std::shared_ptr<state> all, std::shared_ptr<link> one)
    {
        const auto token = asio::as_tuple(asio::use_awaitable);
        const auto [error] =
            co_await one->far.async_connect(all->target, token);
        if (error)
        {
            one->close();
            co_return;
        }
        asio::co_spawn(all->context, pump(one, false), asio::detached);
        co_await pump(one, true);
    }

    static asio::awaitable<void> pump(std::shared_ptr<link> one, bool answers)
    {
        auto& from = answers ? one->far : one->near;
        auto& to = answers ? one->near : one->far;
        const auto token = asio::as_tuple(asio::use_awaitable);
        std::array<char, 16384> buffer;
        for (;;)
        {
            const auto [error, count] =
                co_await from.async_read_some(asio::buffer(buffer), token);
            if (one->silent)
            {
                co_return;
            }
            auto allowed = count;
            if (answers)
            {
                allowed = std::min(count, one->answer_left);
                one->answer_left -= allowed;
            }
            const auto part = asio::buffer(buffer.data(), allowed);
            const auto [failed, sent] =
                co_await asio::async_write(to, part, token);
            if (error || failed || allowed < count)
            {
                one->close();
                co_return;
            }
        }
    }

    std::shared_ptr<state> state_;
};

} // namespace nutmegusher::wire

#endif
