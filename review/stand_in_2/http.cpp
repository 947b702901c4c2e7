#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <memory>
#include <utility>

namespace stand_in
{

namespace
{

constexpr std::size_t chunk_bytes = 16384;
constexpr int backlog = 512;
constexpr int hexadecimal = 16;

sockaddr_in to_socket_address(const address& of)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(of.port);
    ::inet_pton(AF_INET, of.ip.c_str(), &made.sin_addr);
    return made;
}

int milliseconds_until(clock::time_point until)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

bool wait_for(int descriptor, short events, clock::time_point until)
{
    pollfd waiting{descriptor, events, 0};
    return ::poll(&waiting, 1, milliseconds_until(until)) > 0;
}

std::string to_lower(std::string text)
{
    for (char& each : text)
    {
        each = each >= 'A' && each <= 'Z' ? static_cast<char>(each - 'A' + 'a')
                                          : each;
    }
    return text;
}

std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(' ');
    const auto last = text.find_last_not_of(' ');
    return first == std::string::npos ? std::string()
                                      : text.substr(first, last - first + 1);
}

std::string second_word(const std::string& line)
{
    const auto begin = line.find(' ');
    if (begin == std::string::npos)
    {
        return {};
    }
    return line.substr(begin + 1, line.find(' ', begin + 1) - begin - 1);
}

std::string
make_message(std::string text, const fields& head, const std::string& body)
{
    for (const auto& [name, value] : head)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text + body;
}

} // namespace

std::string message::field(const std::string& name) const
{
    const auto found = head.find(name);
    return found == head.end() ? std::string() : found->second;
}

int message::status() const
{
    return first_line.starts_with("HTTP/")
               ? std::atoi(second_word(first_line).c_str())
               : 0;
}

std::string message::path() const
{
    return second_word(first_line);
}

connection::connection(int descriptor)
    : descriptor_(descriptor)
{
    const int enabled = 1;
    ::setsockopt(
        descriptor_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

connection::~connection()
{
    ::close(descriptor_);
}

bool connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto count = ::send(
            descriptor_,
            bytes.data() + sent,
            bytes.size() - sent,
            MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::receive(clock::time_point until)
{
    if (!wait_for(descriptor_, POLLIN, until))
    {
        return false;
    }
    std::array<char, chunk_bytes> chunk{};
    const auto count = ::recv(descriptor_, chunk.data(), chunk.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    buffer_.append(chunk.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> connection::read_line(clock::time_point until)
{
    auto end = buffer_.find("\r\n");
    while (end == std::string::npos)
    {
        if (!receive(until))
        {
            return std::nullopt;
        }
        end = buffer_.find("\r\n");
    }
    auto line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return line;
}

bool connection::read_bytes(
    std::size_t count, std::string& into, clock::time_point until)
{
    while (buffer_.size() < count)
    {
        if (!receive(until))
        {
            return false;
        }
    }
    into.append(buffer_, 0, count);
    buffer_.erase(0, count);
    return true;
}

std::optional<message> connection::read(clock::time_point until)
{
    message made;
    auto line = read_line(until);
    if (!line)
    {
        return std::nullopt;
    }
    made.first_line = *line;
    for (line = read_line(until); line && !line->empty();
         line = read_line(until))
    {
        const auto colon = line->find(':');
        if (colon == std::string::npos)
        {
            return std::nullopt;
        }
        made.head.emplace(
            to_lower(line->substr(0, colon)), trimmed(line->substr(colon + 1)));
    }
    if (!line)
    {
        return std::nullopt;
    }
    if (made.field("transfer-encoding").empty())
    {
        const auto length =
            std::strtoul(made.field("content-length").c_str(), nullptr, 10);
        return read_bytes(length, made.body, until) ? std::optional(made)
                                                    : std::nullopt;
    }
    while (true)
    {
        const auto size = read_line(until);
        const auto count =
            size ? std::strtoul(size->c_str(), nullptr, hexadecimal) : 0;
        if (!size || !read_bytes(count, made.body, until) || !read_line(until))
        {
            return std::nullopt;
        }
        if (count == 0)
        {
            return made;
        }
    }
}

void connection::shut_down()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

void connection::reset_at_end()
{
    const linger option{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

std::unique_ptr<connection> connect_to(const address& to, milliseconds timeout)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (made < 0)
    {
        return nullptr;
    }
    auto opened = std::make_unique<connection>(made);
    const int flags = ::fcntl(made, F_GETFL);
    ::fcntl(made, F_SETFL, flags | O_NONBLOCK);
    const auto at = to_socket_address(to);
    const int begun =
        ::connect(made, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
    if (begun != 0 && errno != EINPROGRESS)
    {
        return nullptr;
    }
    int failed = 0;
    socklen_t size = sizeof(failed);
    const bool ready = wait_for(made, POLLOUT, clock::now() + timeout);
    if (!ready ||
        ::getsockopt(made, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 ||
        failed != 0)
    {
        return nullptr;
    }
    ::fcntl(made, F_SETFL, flags);
    return opened;
}

std::optional<message>
exchange(const address& to, const std::string& request, milliseconds timeout)
{
    const auto until = clock::now() + timeout;
    const auto opened = connect_to(to, timeout);
    if (!opened || !opened->send(request))
    {
        return std::nullopt;
    }
    return opened->read(until);
}

std::string make_request(
    const std::string& method,
    const std::string& path,
    const fields& head,
    const std::string& body)
{
    return make_message(method + " " + path + " HTTP/1.1\r\n", head, body);
}

std::string make_answer(int status, const fields& head, const std::string& body)
{
    return make_message(
        "HTTP/1.1 " + std::to_string(status) + " Status\r\n", head, body);
}

server::server(const address& at, handler handle)
    : handle_(std::move(handle))
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const auto bound = to_socket_address(at);
    if (::bind(
            made, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) !=
            0 ||
        ::listen(made, backlog) != 0)
    {
        ::close(made);
        return;
    }
    listener_ = made;
    accepting_ = std::thread(
        [this]
        {
            accept_all();
        });
}

server::~server()
{
    if (listener_ < 0)
    {
        return;
    }
    stopped_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    ::close(listener_);
    {
        const std::scoped_lock lock(mutex_);
        for (auto* const each : open_)
        {
            each->shut_down();
        }
    }
    for (auto& each : threads_)
    {
        each.join();
    }
}

void server::accept_all()
{
    while (!stopped_)
    {
        const int accepted =
            ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
        {
            continue;
        }
        threads_.emplace_back(
            [this, accepted]
            {
                connection opened(accepted);
                {
                    const std::scoped_lock lock(mutex_);
                    open_.push_back(&opened);
                }
                if (!stopped_)
                {
                    handle_(opened);
                }
                const std::scoped_lock lock(mutex_);
                open_.remove(&opened);
            });
    }
}

} // namespace stand_in
