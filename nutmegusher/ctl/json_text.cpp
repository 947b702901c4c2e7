#include "nutmegusher/ctl/json_text.hpp"

#include "nutmegusher/ctl/json_field.hpp"
#include "nutmegusher/ctl/text_table.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

namespace nutmegusher::ctl
{
namespace
{

constexpr std::size_t indent_step = 2;

bool is_scalar(const json::value& value)
{
    return !value.is_object() && !value.is_array();
}

bool is_list_of_objects(const json::array& items)
{
    return !items.empty() && std::all_of(
                                 items.begin(),
                                 items.end(),
                                 [](const json::value& item)
                                 {
                                     return item.is_object();
                                 });
}

std::string key_text(const json::key_value_pair& item)
{
    return std::string(item.key().data(), item.key().size());
}

// The columns are the fields of the first item. Fields that only later items
// have are left out; `--json` shows them.
void print_table(
    std::ostream& out, const json::array& items, std::size_t indent)
{
    std::vector<std::string> header;
    for (const auto& item : items.front().get_object())
    {
        header.push_back(key_text(item));
    }
    text_table table(header);
    for (const auto& item : items)
    {
        std::vector<std::string> row;
        row.reserve(header.size());
        for (const auto& column : header)
        {
            row.push_back(text_field(item, column));
        }
        table.add(std::move(row));
    }
    table.print(out, indent);
}

void print_list(std::ostream& out, const json::array& items, std::size_t indent)
{
    if (is_list_of_objects(items))
    {
        print_table(out, items, indent);
        return;
    }
    if (items.empty())
    {
        out << std::string(indent, ' ') << "none\n";
    }
    for (const auto& item : items)
    {
        out << std::string(indent, ' ') << cell_text(item) << '\n';
    }
}

void print_value(
    std::ostream& out, const json::value& value, std::size_t indent);

void print_object(
    std::ostream& out, const json::object& object, std::size_t indent)
{
    for (const auto& item : object)
    {
        out << std::string(indent, ' ') << key_text(item) << ':';
        if (is_scalar(item.value()))
        {
            out << ' ' << cell_text(item.value()) << '\n';
            continue;
        }
        out << '\n';
        print_value(out, item.value(), indent + indent_step);
    }
}

// The recursion is bounded by the JSON parser's depth limit.
void print_value(
    std::ostream& out, const json::value& value, std::size_t indent)
{
    if (const auto* const object = value.if_object())
    {
        print_object(out, *object, indent);
    }
    else if (const auto* const items = value.if_array())
    {
        print_list(out, *items, indent);
    }
    else
    {
        out << std::string(indent, ' ') << cell_text(value) << '\n';
    }
}

} // namespace

void print_text(std::ostream& out, const boost::json::value& value)
{
    print_value(out, value, 0);
}

void print_json(std::ostream& out, const boost::json::value& value)
{
    out << json::serialize(value) << '\n';
}

} // namespace nutmegusher::ctl
