// RAII owners of nghttp2's objects, and the creation of a session from
// `session_options`.
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

// Creates a session whose callbacks call `owner`, with our SETTINGS queued.
[[nodiscard]] h2_session
make_h2_session(side role, connection& owner, const session_options& options);

// Name and value pairs that point into a head; valid as long as the head.
using h2_fields = std::vector<nghttp2_nv>;

[[nodiscard]] h2_fields to_h2(const request_head& head);
// `status_text` receives the status digits; it must outlive the returned
// fields.
[[nodiscard]] h2_fields
to_h2(const response_head& head, std::string& status_text);

// HTTP/2 counts 32 bytes per field in addition to its name and value.
inline constexpr std::size_t field_overhead = 32;

[[nodiscard]] std::size_t header_list_size(const h2_fields& fields);

} // namespace nutmegusher::wire::internal

#endif
