#include "nutmegusher/wire/h2_session.hpp"

#include "nutmegusher/wire/connection.hpp"

#include <algorithm>
#include <array>

namespace nutmegusher::wire::internal
{
namespace
{

// More queued acknowledgements of PING and SETTINGS than this are treated as a
// flood.
constexpr std::size_t max_queued_acks = 128;
constexpr std::size_t max_settings_entries = 16;

struct callbacks_deleter
{
    void operator()(nghttp2_session_callbacks* callbacks) const
    {
        nghttp2_session_callbacks_del(callbacks);
    }
};

struct option_deleter
{
    void operator()(nghttp2_option* option) const
    {
        nghttp2_option_del(option);
    }
};

using callbacks_ptr =
    std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter>;
using option_ptr = std::unique_ptr<nghttp2_option, option_deleter>;

connection& owner_of(void* user_data)
{
    return *static_cast<connection*>(user_data);
}

int begin_headers(
    nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user)
{
    return owner_of(user).begin_headers(*frame);
}

int header_field(
    nghttp2_session* /*session*/,
    const nghttp2_frame* frame,
    const std::uint8_t* name,
    std::size_t name_size,
    const std::uint8_t* value,
    std::size_t value_size,
    std::uint8_t /*flags*/,
    void* user)
{
    const std::string_view name_text(
        reinterpret_cast<const char*>(name), name_size);
    const std::string_view value_text(
        reinterpret_cast<const char*>(value), value_size);
    return owner_of(user).header_field(*frame, name_text, value_text);
}

int frame_received(
    nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user)
{
    return owner_of(user).frame_received(*frame);
}

int data_received(
    nghttp2_session* /*session*/,
    std::uint8_t /*flags*/,
    std::int32_t stream_id,
    const std::uint8_t* data,
    std::size_t size,
    void* user)
{
    const auto bytes = std::as_bytes(std::span(data, size));
    owner_of(user).data_received(stream_id, bytes);
    return 0;
}

int frame_sent(
    nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user)
{
    owner_of(user).frame_sent(*frame);
    return 0;
}

int frame_not_sent(
    nghttp2_session* /*session*/,
    const nghttp2_frame* frame,
    int /*error*/,
    void* user)
{
    owner_of(user).frame_not_sent(*frame);
    return 0;
}

int stream_closed(
    nghttp2_session* /*session*/,
    std::int32_t stream_id,
    std::uint32_t error,
    void* user)
{
    owner_of(user).stream_closed(stream_id, error);
    return 0;
}

callbacks_ptr make_callbacks()
{
    nghttp2_session_callbacks* raw = nullptr;
    nghttp2_session_callbacks_new(&raw);
    callbacks_ptr all(raw);
    nghttp2_session_callbacks_set_on_begin_headers_callback(raw, begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(raw, header_field);
    nghttp2_session_callbacks_set_on_frame_recv_callback(raw, frame_received);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        raw, data_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(raw, frame_sent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(
        raw, frame_not_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(raw, stream_closed);
    return all;
}

option_ptr make_options(const session_options& options)
{
    nghttp2_option* raw = nullptr;
    nghttp2_option_new(&raw);
    option_ptr all(raw);
    // Flow-control window is returned to the peer as the reader consumes data.
    nghttp2_option_set_no_auto_window_update(raw, 1);
    // Priorities aren't used, so closed streams needn't be kept for them.
    nghttp2_option_set_no_closed_streams(raw, 1);
    nghttp2_option_set_max_outbound_ack(raw, max_queued_acks);
    nghttp2_option_set_max_settings(raw, max_settings_entries);
    nghttp2_option_set_stream_reset_rate_limit(
        raw,
        options.max_control_frames_per_second,
        options.max_control_frames_per_second);
    return all;
}

void submit_settings(
    nghttp2_session* session, side role, const session_options& options)
{
    const std::array<nghttp2_settings_entry, 5> entries{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
         options.max_concurrent_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, options.stream_window},
        {NGHTTP2_SETTINGS_MAX_FRAME_SIZE, options.max_frame_bytes},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, options.max_header_bytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    const bool is_client = role == side::client;
    const auto count = is_client ? entries.size() : entries.size() - 1;
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries.data(), count);
    nghttp2_session_set_local_window_size(
        session,
        NGHTTP2_FLAG_NONE,
        0,
        static_cast<std::int32_t>(options.connection_window));
}

// nghttp2 copies the strings and doesn't write through these pointers.
nghttp2_nv field(std::string_view name, std::string_view value)
{
    const auto bytes = [](std::string_view text)
    {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {
        bytes(name),
        bytes(value),
        name.size(),
        value.size(),
        NGHTTP2_NV_FLAG_NONE};
}

// Connection-specific fields of HTTP/1.1 must not appear in HTTP/2.
bool is_connection_specific(std::string_view name)
{
    constexpr std::array<std::string_view, 7> names{
        "connection",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "transfer-encoding",
        "upgrade"};
    return std::ranges::find(names, name) != names.end();
}

void append(h2_fields& fields, const headers& more)
{
    for (const auto& [name, value] : more)
    {
        if (!is_connection_specific(name))
        {
            fields.push_back(field(name, value));
        }
    }
}

} // namespace

h2_session
make_h2_session(side role, connection& owner, const session_options& options)
{
    const auto callbacks = make_callbacks();
    const auto option = make_options(options);
    nghttp2_session* raw = nullptr;
    if (role == side::client)
    {
        nghttp2_session_client_new2(
            &raw, callbacks.get(), &owner, option.get());
    }
    else
    {
        nghttp2_session_server_new2(
            &raw, callbacks.get(), &owner, option.get());
    }
    h2_session session(raw);
    submit_settings(raw, role, options);
    return session;
}

h2_fields to_h2(const request_head& head)
{
    constexpr std::size_t pseudo_fields = 4;
    h2_fields fields;
    fields.reserve(head.fields.size() + pseudo_fields);
    fields.push_back(field(":method", head.method));
    fields.push_back(field(":scheme", "http"));
    fields.push_back(field(":authority", "peer"));
    fields.push_back(field(":path", head.path));
    append(fields, head.fields);
    return fields;
}

h2_fields to_h2(const response_head& head, std::string& status_text)
{
    status_text = std::to_string(head.status);
    h2_fields fields;
    fields.reserve(head.fields.size() + 1);
    fields.push_back(field(":status", status_text));
    append(fields, head.fields);
    return fields;
}

std::size_t header_list_size(const h2_fields& fields)
{
    std::size_t size = 0;
    for (const auto& each_field : fields)
    {
        size += each_field.namelen + each_field.valuelen + field_overhead;
    }
    return size;
}

} // namespace nutmegusher::wire::internal
