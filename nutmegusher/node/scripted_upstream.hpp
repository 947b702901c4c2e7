// For tests: an upstream whose connections follow a script.
#ifndef NUTMEGUSHER_NODE_SCRIPTED_UPSTREAM_HPP
#define NUTMEGUSHER_NODE_SCRIPTED_UPSTREAM_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
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

} // namespace nutmegusher::node::test

#endif
