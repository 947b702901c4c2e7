#include "nutmegusher/teams/authorization.hpp"

#include <algorithm>

namespace nutmegusher
{

namespace
{

constexpr std::string_view blanks = " \t";
constexpr std::string_view lower_case_scheme = "bearer";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    const auto last = text.find_last_not_of(blanks);
    return text.substr(first, last - first + 1);
}

char to_lower(char letter)
{
    const bool is_upper = letter >= 'A' && letter <= 'Z';
    return is_upper ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool is_scheme(std::string_view text)
{
    return std::equal(
        text.begin(),
        text.end(),
        lower_case_scheme.begin(),
        lower_case_scheme.end(),
        [](char left, char right)
        {
            return to_lower(left) == right;
        });
}

bool is_key(std::string_view text)
{
    return !text.empty() && std::all_of(
                                text.begin(),
                                text.end(),
                                [](char each)
                                {
                                    return each > ' ' && each <= '~' &&
                                           each != ',';
                                });
}

} // namespace

std::optional<std::string_view>
bearer_key(std::span<const std::string_view> fields)
{
    if (fields.size() != 1)
    {
        return std::nullopt;
    }
    const auto text = trimmed(fields.front());
    const auto scheme_end = text.find_first_of(blanks);
    if (scheme_end == std::string_view::npos ||
        !is_scheme(text.substr(0, scheme_end)))
    {
        return std::nullopt;
    }
    const auto key = trimmed(text.substr(scheme_end));
    return is_key(key) ? std::optional(key) : std::nullopt;
}

} // namespace nutmegusher
