// Implementation of stand_in_upstream: a single-threaded HTTP server.
#ifndef NUTMEGUSHER_TESTING_STAND_IN_SERVER_HPP
#define NUTMEGUSHER_TESTING_STAND_IN_SERVER_HPP

#include "testing/async_http_client.hpp"
#include "testing/slot_queue.hpp"
#include "testing/stand_in_upstream.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <thread>

namespace nutmegusher::test_support
{

class stand_in_upstream::server
{
public:
    server(const stand_in_options& options, std::unique_ptr<execution_log> log);
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Listens and starts the thread.
    boost::system::error_code start();

    // Thread-safe.
    outcome<void, behavior_problem> control(std::string_view json);

    [[nodiscard]] const stand_in_options& options() const
    {
        return options_;
    }

    [[nodiscard]] const execution_log& log() const
    {
        return *log_;
    }

private:
    using request_message =
        boost::beast::http::request<boost::beast::http::string_body>;
    using response_message =
        boost::beast::http::response<boost::beast::http::string_body>;
    using call_pointer = std::shared_ptr<internal::running_call>;

    // One connection and its latest request.
    struct session
    {
        explicit session(boost::asio::ip::tcp::socket socket)
            : stream(std::move(socket))
        {
        }

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        request_message request;
        bool open = true;
    };
    using session_pointer = std::shared_ptr<session>;

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> announce_periodically();
    boost::asio::awaitable<void> serve(session_pointer from);
    boost::asio::awaitable<void> serve_call(session_pointer from);
    boost::asio::awaitable<void>
    run_call(session_pointer from, call_pointer call);
    boost::asio::awaitable<void>
    execute(session_pointer from, call_pointer call);
    boost::asio::awaitable<bool> wait(call_pointer call, double milliseconds);
    boost::asio::awaitable<bool> make_sub_calls(session_pointer from);
    boost::asio::awaitable<void> send_body(session_pointer from);
    boost::asio::awaitable<void>
    send(session_pointer from, response_message answer);

    void watch_for_close(const session_pointer& from, const call_pointer& call);
    outcome<void, behavior_problem> apply(std::string_view json);
    [[nodiscard]] response_message
    answer_control_request(const request_message& request);
    [[nodiscard]] std::string load_json();
    [[nodiscard]] std::string status_json() const;
    [[nodiscard]] bool should_shed() const;
    [[nodiscard]] double service_ms(const request_message& request);
    [[nodiscard]] double cold_multiplier() const;

    stand_in_options options_;
    upstream_behavior behavior_;
    std::unique_ptr<execution_log> log_;
    random_engine random_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_{context_};
    async_http_client client_{context_};
    internal::slot_queue slots_;
    std::optional<time_point> cold_until_;
    duration cold_length_{};
    time_point load_sampled_at_{};
    std::size_t load_sample_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t sub_calls_made_ = 0;
    std::uint64_t sub_calls_failed_ = 0;
    std::uint64_t without_deadline_ = 0;
    std::thread thread_;
};

} // namespace nutmegusher::test_support

#endif
