#include "nutmegusher/ctl/json_field.hpp"

#include <boost/json/serialize.hpp>

namespace nutmegusher::ctl
{

const json::value* find_field(const json::value& from, std::string_view name)
{
    const auto* const object = from.if_object();
    return object == nullptr ? nullptr
                             : object->if_contains(
                                   json::string_view(name.data(), name.size()));
}

std::string cell_text(const json::value& value)
{
    if (const auto* const text = value.if_string())
    {
        return std::string(text->data(), text->size());
    }
    return value.is_null() ? "-" : json::serialize(value);
}

std::string text_field(const json::value& from, std::string_view name)
{
    const auto* const found = find_field(from, name);
    return found == nullptr ? "" : cell_text(*found);
}

std::uint64_t number_field(const json::value& from, std::string_view name)
{
    const auto* const found = find_field(from, name);
    if (found == nullptr)
    {
        return 0;
    }
    json::error_code parse_error;
    const auto value = found->to_number<std::uint64_t>(parse_error);
    return parse_error ? 0 : value;
}

const json::array& array_field(const json::value& from, std::string_view name)
{
    static const json::array none;
    const auto* const found = find_field(from, name);
    const auto* const items = found == nullptr ? nullptr : found->if_array();
    return items == nullptr ? none : *items;
}

} // namespace nutmegusher::ctl
