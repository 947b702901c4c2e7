// Asio types of this package, bound to io_context's own executor: unlike the
// type-erased executor, it needs no indirect calls per operation.
#ifndef NUTMEGUSHER_WIRE_ASIO_TYPES_HPP
#define NUTMEGUSHER_WIRE_ASIO_TYPES_HPP

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace nutmegusher::wire::internal
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using executor = asio::io_context::executor_type;
using tcp_socket = asio::basic_stream_socket<tcp, executor>;
using tcp_acceptor = asio::basic_socket_acceptor<tcp, executor>;
using timer = asio::basic_waitable_timer<
    std::chrono::steady_clock,
    asio::wait_traits<std::chrono::steady_clock>,
    executor>;

} // namespace nutmegusher::wire::internal

#endif
