// Header fields and heads of requests and responses.
#ifndef NUTMEGUSHER_WIRE_HEADER_HPP
#define NUTMEGUSHER_WIRE_HEADER_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher::wire
{

// A header field. Names are lower-case and exclude pseudo-headers.
struct header
{
    std::string name;
    std::string value;

    friend bool operator==(const header&, const header&) = default;
};

using headers = std::vector<header>;

// Returns the value of the first field with this name; `name` must be
// lower-case. The view is valid as long as `fields`.
[[nodiscard]] std::optional<std::string_view>
find_header(std::span<const header> fields, std::string_view name);

struct request_head
{
    std::string method;
    std::string path;
    headers fields;
};

struct response_head
{
    unsigned status = 200;
    headers fields;
};

} // namespace nutmegusher::wire

#endif
