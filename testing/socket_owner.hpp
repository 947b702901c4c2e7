// Finds out which process opened a TCP connection on this machine.
#ifndef NUTMEGUSHER_TESTING_SOCKET_OWNER_HPP
#define NUTMEGUSHER_TESTING_SOCKET_OWNER_HPP

#include "testing/endpoint.hpp"

#include <sys/types.h>

namespace nutmegusher::test_support::internal
{

// True if `process` holds the socket that is connected from `local` to
// `remote` (IPv4). All processes of a deployment connect from 127.0.0.1, so
// a relay can't tell them apart by address.
[[nodiscard]] bool owns_connection(
    pid_t process, const tcp_endpoint& local, const tcp_endpoint& remote);

} // namespace nutmegusher::test_support::internal

#endif
