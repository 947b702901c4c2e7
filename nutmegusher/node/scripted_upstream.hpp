// For tests: an upstream whose connections follow a script.
#ifndef NUTMEGUSHER_NODE_SCRIPTED_UPSTREAM_HPP
#define NUTMEGUSHER_NODE_SCRIPTED_UPSTREAM_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace nutmegusher::node::test
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

inline const tcp::endpoint any_port(asio::ip::make_address("127.0.0.1"), 0);

// Runs a script for each connection on a thread of its own.
class scripted_upstream
{
public:
    using script = std::function<void(tcp::socket&)>;

    explicit scripted_upstream(script behavior)
        : acceptor_(context_, any_port)
        , script_(std::move(behavior))
        , accept_thread_(
              [this]
              {
                  accept();
              })
    {
    }

    ~scripted_upstream()
    {
        stopping_ = true;
        boost::system::error_code ignored;
        tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint(), ignored);
        accept_thread_.join();
        const std::scoped_lock lock(mutex_);
        for (auto& socket : sockets_)
        {
            socket->shutdown(tcp::socket::shutdown_both, ignored);
        }
        for (auto& each : connection_threads_)
        {
            each.join();
        }
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    void accept()
    {
        while (!stopping_)
        {
            auto socket = std::make_shared<tcp::socket>(acceptor_.accept());
            const std::scoped_lock lock(mutex_);
            sockets_.push_back(socket);
            connection_threads_.emplace_back(
                [this, socket]
                {
                    if (!stopping_)
                    {
                        script_(*socket);
                    }
                    boost::system::error_code ignored;
                    socket->shutdown(tcp::socket::shutdown_both, ignored);
                });
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    script script_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::vector<std::thread> connection_threads_;
    std::thread accept_thread_;
};

// How an upstream ends a connection whose request it hasn't read.
enum class connection_end : std::uint8_t
{
    reset,
    // Ends its side and reads the rest of the request.
    half_close_and_read,
    // Ends its side and leaves the rest of the request unread.
    half_close_and_wait,
    half_close_and_reset
};

inline void reset(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

inline void end_connection(tcp::socket& socket, connection_end end)
{
    constexpr std::chrono::milliseconds time_unread(1000);
    boost::system::error_code failed;
    if (end != connection_end::reset)
    {
        socket.shutdown(tcp::socket::shutdown_send, failed);
    }
    std::array<char, 65536> rest{};
    switch (end)
    {
    case connection_end::half_close_and_reset:
    case connection_end::reset:
        reset(socket);
        return;
    case connection_end::half_close_and_wait:
        std::this_thread::sleep_for(time_unread);
        [[fallthrough]];
    case connection_end::half_close_and_read:
        while (!failed)
        {
            socket.read_some(asio::buffer(rest), failed);
        }
    }
}

// Answers with these bytes when the first bytes of a request arrive, and ends
// the connection soon after.
inline scripted_upstream::script
make_early_answer(std::string answer, connection_end end)
{
    return [answer = std::move(answer), end](tcp::socket& socket)
    {
        constexpr std::chrono::milliseconds time_to_end(60);
        boost::system::error_code failed;
        std::array<char, 1024> beginning{};
        socket.read_some(asio::buffer(beginning), failed);
        asio::write(socket, asio::buffer(answer), failed);
        std::this_thread::sleep_for(time_to_end);
        end_connection(socket, end);
    };
}

} // namespace nutmegusher::node::test

#endif
