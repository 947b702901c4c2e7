#include "nutmegusher/wire/header.hpp"

#include <algorithm>

namespace nutmegusher::wire
{

std::optional<std::string_view>
find_header(std::span<const header> fields, std::string_view name)
{
    const auto found = std::ranges::find(fields, name, &header::name);
    if (found == fields.end())
    {
        return std::nullopt;
    }
    return found->value;
}

} // namespace nutmegusher::wire
