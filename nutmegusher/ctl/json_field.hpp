// Reads fields of the JSON replies of a process.
#ifndef NUTMEGUSHER_CTL_JSON_FIELD_HPP
#define NUTMEGUSHER_CTL_JSON_FIELD_HPP

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegusher::ctl
{

namespace json = boost::json;

// Null if there is no such field or `from` isn't an object.
[[nodiscard]] const json::value*
find_field(const json::value& from, std::string_view name);

// The field as `cell_text` formats it; empty if it is missing.
[[nodiscard]] std::string
text_field(const json::value& from, std::string_view name);

// 0 if the field is missing or not an unsigned integer.
[[nodiscard]] std::uint64_t
number_field(const json::value& from, std::string_view name);

// The value as a table cell: a string without quotes, `-` for null, and JSON
// otherwise.
[[nodiscard]] std::string cell_text(const json::value& value);

// The items of an array field; empty if it is missing or not an array.
[[nodiscard]] const json::array&
array_field(const json::value& from, std::string_view name);

} // namespace nutmegusher::ctl

#endif
