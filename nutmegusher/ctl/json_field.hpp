// Reads fields of the daemon's JSON answers.
#ifndef NUTMEGUSHER_CTL_JSON_FIELD_HPP
#define NUTMEGUSHER_CTL_JSON_FIELD_HPP

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegusher::ctl
{

namespace json = boost::json;

// Null where there is no such field, or `from` isn't an object.
[[nodiscard]] const json::value*
find_field(const json::value& from, std::string_view name);

// The field's text as a cell shows it; empty where it is missing.
[[nodiscard]] std::string
text_field(const json::value& from, std::string_view name);

// 0 where it is missing or not a whole number.
[[nodiscard]] std::uint64_t
number_field(const json::value& from, std::string_view name);

// A scalar as a cell shows it.
[[nodiscard]] std::string cell_text(const json::value& value);

// The items of an array field; none where it is missing.
[[nodiscard]] const json::array&
array_field(const json::value& from, std::string_view name);

} // namespace nutmegusher::ctl

#endif
