// Owners of nghttp2's objects, and how a session is made from our options.
#ifndef NUTMEGUSHER_WIRE_H2_SESSION_HPP
#define NUTMEGUSHER_WIRE_H2_SESSION_HPP

#include "nutmegusher/wire/header.hpp"
#include "nutmegusher/wire/session_options.hpp"

#include <nghttp2/nghttp2.h>

#include <memory>

namespace nutmegusher::wire::internal
{

class connection;

enum class side : std::uint8_t
{
    client,
    server
};

struct h2_session_deleter
{
    void operator()(nghttp2_session* session) const
    {
        nghttp2_session_del(session);
    }
};

using h2_session = std::unique_ptr<nghttp2_session, h2_session_deleter>;

// A session whose callbacks are `owner`'s, with our SETTINGS queued.
[[nodiscard]] h2_session
make_h2_session(side role, connection& owner, const session_options& options);

// Name and value pairs that point into a head; valid as long as the head.
using h2_fields = std::vector<nghttp2_nv>;

[[nodiscard]] h2_fields to_h2(const request_head& head);
// `status_text` holds the digits; it must live as long as the fields.
[[nodiscard]] h2_fields
to_h2(const response_head& head, std::string& status_text);

// What HTTP/2 counts for a field: its bytes and 32 more.
inline constexpr std::size_t field_overhead = 32;

[[nodiscard]] std::size_t header_list_size(const h2_fields& fields);

} // namespace nutmegusher::wire::internal

#endif
