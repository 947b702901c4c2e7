#include "testing/socket_owner.hpp"

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace nutmegusher::test_support::internal
{

namespace
{

// Formats an IPv4 endpoint as /proc/net/tcp does, e.g. "0100007F:1F90".
std::string proc_net_text(const tcp_endpoint& endpoint)
{
    const auto bytes = endpoint.address().to_v4().to_bytes();
    std::array<char, 16> text{};
    std::snprintf(
        text.data(),
        text.size(),
        "%02X%02X%02X%02X:%04X",
        bytes[3],
        bytes[2],
        bytes[1],
        bytes[0],
        endpoint.port());
    return text.data();
}

// Returns the socket's inode, or an empty string without such a connection.
std::string
find_socket_inode(const tcp_endpoint& local, const tcp_endpoint& remote)
{
    const auto wanted = proc_net_text(local) + " " + proc_net_text(remote);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line))
    {
        if (line.find(wanted) == std::string::npos)
        {
            continue;
        }
        constexpr int fields_before_inode = 9;
        std::istringstream fields(line);
        std::string field;
        for (int i = 0; i <= fields_before_inode; ++i)
        {
            fields >> field;
        }
        return field;
    }
    return {};
}

} // namespace

bool owns_connection(
    pid_t process, const tcp_endpoint& local, const tcp_endpoint& remote)
{
    const auto inode = find_socket_inode(local, remote);
    if (inode.empty())
    {
        return false;
    }
    const auto wanted = "socket:[" + inode + "]";
    const std::filesystem::path folder =
        "/proc/" + std::to_string(process) + "/fd";
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error))
    {
        if (std::filesystem::read_symlink(entry.path(), error) == wanted)
        {
            return true;
        }
    }
    return false;
}

} // namespace nutmegusher::test_support::internal
