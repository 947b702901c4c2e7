// Text of HTTP/1.1 heads.
#ifndef NUTMEGUSHER_NODE_MESSAGE_TEXT_HPP
#define NUTMEGUSHER_NODE_MESSAGE_TEXT_HPP

#include <string>
#include <string_view>

namespace nutmegusher::node::internal
{

// Appends "name: value\r\n". Requires: neither contains a line break.
inline void
append_field(std::string& to, std::string_view name, std::string_view value)
{
    to.append(name).append(": ").append(value).append("\r\n");
}

} // namespace nutmegusher::node::internal

#endif
