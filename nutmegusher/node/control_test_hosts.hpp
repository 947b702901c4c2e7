// Runs control hosts in one process over real files and connections, for tests
// and benchmarks.
#ifndef NUTMEGUSHER_NODE_CONTROL_TEST_HOSTS_HPP
#define NUTMEGUSHER_NODE_CONTROL_TEST_HOSTS_HPP

#include "nutmegusher/node/control_logs.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>

#include <unistd.h>

#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <thread>

namespace nutmegusher::node
{

// A temporary folder that is deleted with this object.
class scratch_folder
{
public:
    scratch_folder()
        : path_(
              std::filesystem::temp_directory_path() /
              ("nutmegusher-control-" + std::to_string(std::random_device{}())))
    {
    }

    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    ~scratch_folder()
    {
        std::filesystem::remove_all(path_);
    }

    [[nodiscard]] const std::filesystem::path& path() const
    {
        return path_;
    }

private:
    std::filesystem::path path_;
};

// One control host with its logs and its peer listener, on a thread of its own.
class running_host
{
public:
    explicit running_host(control_settings settings)
        : context_(1)
    {
        const auto serve = [this](std::shared_ptr<wire::server_stream> stream)
            -> asio::awaitable<void>
        {
            const bool served = co_await logs_->handle(std::move(stream));
            static_cast<void>(served);
        };
        auto listening = wire::server::listen(
            context_, settings.address, serve, wire::session_options(), false);
        server_ = std::move(listening.value());
        settings.address = server_->local_endpoint();
        auto made = control_logs::create(context_, settings);
        logs_ = std::move(made.value());
        thread_ = std::thread(
            [this]
            {
                const auto guard = asio::make_work_guard(context_);
                context_.run();
            });
    }

    running_host(const running_host&) = delete;
    running_host& operator=(const running_host&) = delete;

    ~running_host()
    {
        context_.stop();
        thread_.join();
        logs_.reset();
        server_.reset();
    }

    [[nodiscard]] control_logs& logs()
    {
        return *logs_;
    }

    [[nodiscard]] asio::io_context& context()
    {
        return context_;
    }

    // Runs a coroutine on the host's thread and waits for its result.
    template <class T>
    T get(asio::awaitable<T> action)
    {
        return asio::co_spawn(context_, std::move(action), asio::use_future)
            .get();
    }

private:
    asio::io_context context_;
    std::unique_ptr<wire::server> server_;
    std::unique_ptr<control_logs> logs_;
    std::thread thread_;
};

// The number of calls of `free_address` in a row that return different
// addresses.
inline constexpr std::uint32_t max_free_addresses = 254;

// Returns an address whose port was free a moment ago. Its IP address is unique
// to this process, so that neither tests in other processes nor outgoing
// connections take the port before it is used. Not thread-safe.
inline asio::ip::tcp::endpoint free_address()
{
    // The system may choose the same port again, as nothing holds it yet.
    static std::uint32_t calls = 0;
    const std::uint32_t last_byte = 1 + calls++ % max_free_addresses;
    asio::io_context context;
    const auto process = static_cast<std::uint32_t>(::getpid());
    constexpr std::uint32_t loopback = 0x7f000000;
    constexpr std::uint32_t process_mask = 0x7fff;
    const asio::ip::address_v4 own_address(
        loopback | (1U << 23) | ((process & process_mask) << 8) | last_byte);
    const asio::ip::tcp::endpoint any_port(own_address, 0);
    const asio::ip::tcp::acceptor acceptor(context, any_port);
    return acceptor.local_endpoint();
}

} // namespace nutmegusher::node

#endif
