// A small blocking client and server for HTTP/1.1, for stand-ins.
#ifndef REVIEW_STAND_IN_2_HTTP_HPP
#define REVIEW_STAND_IN_2_HTTP_HPP

#include <netinet/in.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace stand_in
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

// Names of fields are in lower case.
using fields = std::multimap<std::string, std::string>;

struct message
{
    // "GET /path HTTP/1.1" or "HTTP/1.1 200 OK".
    std::string first_line;
    fields head;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const;
    // Of an answer; 0 if the first line is none.
    [[nodiscard]] int status() const;
    // The second word of a request's first line.
    [[nodiscard]] std::string path() const;
};

// A connected socket, which is closed with this object.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool send(const std::string& bytes);
    // Reads a request or an answer with a length or in chunks. Returns nullopt
    // if the connection ends first, or at `until`.
    std::optional<message> read(clock::time_point until);
    // Ends the reads and writes of other threads.
    void shut_down();
    // The end of the connection becomes a reset.
    void reset_at_end();
    [[nodiscard]] int descriptor() const
    {
        return descriptor_;
    }

private:
    bool receive(clock::time_point until);
    std::optional<std::string> read_line(clock::time_point until);
    bool read_bytes(std::size_t count, std::string& into, clock::time_point);

    int descriptor_;
    std::string buffer_;
};

// Returns nullptr if there is no connection within `timeout`.
std::unique_ptr<connection> connect_to(const address& to, milliseconds timeout);

// Opens a connection, sends one request and reads the answer.
std::optional<message>
exchange(const address& to, const std::string& request, milliseconds timeout);

std::string make_request(
    const std::string& method,
    const std::string& path,
    const fields& head,
    const std::string& body);

std::string
make_answer(int status, const fields& head, const std::string& body);

// Calls the handler on a thread of its own for each connection.
class server
{
public:
    using handler = std::function<void(connection&)>;

    server(const address& at, handler handle);
    // Ends the listener and all connections, as the end of a process does.
    ~server();

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] bool is_listening() const
    {
        return listener_ >= 0;
    }

private:
    void accept_all();

    handler handle_;
    int listener_ = -1;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::list<connection*> open_;
    std::list<std::thread> threads_;
    std::thread accepting_;
};

} // namespace stand_in

#endif
