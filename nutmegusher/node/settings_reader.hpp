// Reads typed settings from a parsed INI text; errors carry the line of the
// key.
#ifndef NUTMEGUSHER_NODE_SETTINGS_READER_HPP
#define NUTMEGUSHER_NODE_SETTINGS_READER_HPP

#include "nutmegusher/node/settings.hpp"

#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegusher::node::internal
{

namespace pt = boost::property_tree;

inline constexpr std::size_t max_name_length = 64;

inline std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos)
    {
        return {};
    }
    const auto last = text.find_last_not_of(" \t\r");
    return std::string(text.substr(first, last - first + 1));
}

inline std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> parts;
    std::istringstream in{std::string(text)};
    std::string part;
    while (std::getline(in, part, ','))
    {
        if (auto item = trimmed(part); !item.empty())
        {
            parts.push_back(std::move(item));
        }
    }
    return parts;
}

// Maps sections and keys to line numbers, which PropertyTree doesn't keep.
class line_index
{
public:
    explicit line_index(std::string_view text)
    {
        std::istringstream in{std::string(text)};
        std::string raw;
        std::string section;
        for (std::size_t line = 1; std::getline(in, raw); ++line)
        {
            const auto item = trimmed(raw);
            if (item.empty() || item.front() == ';' || item.front() == '#')
            {
                continue;
            }
            if (item.front() == '[')
            {
                section = item.substr(1, item.find(']') - 1);
                sections_.emplace(section, line);
                continue;
            }
            const auto key = trimmed(item.substr(0, item.find('=')));
            lines_.emplace(std::pair(section, key), line);
        }
    }

    [[nodiscard]] std::size_t
    line_of(const std::string& section, const std::string& key) const
    {
        const auto found = lines_.find(std::pair(section, key));
        if (found != lines_.end())
        {
            return found->second;
        }
        const auto start = sections_.find(section);
        return start == sections_.end() ? 0 : start->second;
    }

private:
    std::map<std::pair<std::string, std::string>, std::size_t> lines_;
    std::map<std::string, std::size_t> sections_;
};

inline bool is_name(std::string_view text)
{
    const auto allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

// Reads typed values of keys. Each `result` fails with a `settings_error` that
// names the file, line, section, key and value.
class settings_reader
{
public:
    settings_reader(
        std::string_view file, std::string_view text, const pt::ptree& tree)
        : file_(file)
        , lines_(text)
        , tree_(tree)
    {
    }

    [[nodiscard]] leaf::result<void> check_keys() const
    {
        for (const auto& [section, keys] : tree_)
        {
            if (!has_section(section))
            {
                return fail(section, "", "", settings_problem::unknown_section);
            }
            for (const auto& [key, value] : keys)
            {
                if (!has_key(section, key))
                {
                    return fail(
                        section,
                        key,
                        value.data(),
                        settings_problem::unknown_key);
                }
            }
        }
        return {};
    }

    [[nodiscard]] bool has(const char* section) const
    {
        return tree_.find(section) != tree_.not_found();
    }

    [[nodiscard]] std::optional<std::string>
    text(const std::string& section, const std::string& key) const
    {
        const auto found = tree_.find(section);
        if (found == tree_.not_found())
        {
            return std::nullopt;
        }
        const auto value = found->second.find(key);
        if (value == found->second.not_found())
        {
            return std::nullopt;
        }
        return trimmed(value->second.data());
    }

    [[nodiscard]] leaf::result<std::string>
    required(const std::string& section, const std::string& key) const
    {
        if (auto value = text(section, key))
        {
            return *std::move(value);
        }
        return fail(section, key, "", settings_problem::missing_key);
    }

    template <class Name>
    [[nodiscard]] leaf::result<Name>
    required_name(const std::string& section, const std::string& key) const
    {
        BOOST_LEAF_AUTO(value, required(section, key));
        if (!is_name(value))
        {
            return fail(section, key, value, settings_problem::bad_name);
        }
        return Name(value);
    }

    [[nodiscard]] leaf::result<endpoint>
    address(const std::string& section, const std::string& key) const
    {
        BOOST_LEAF_AUTO(value, required(section, key));
        if (const auto parsed = parse_endpoint(value))
        {
            return *parsed;
        }
        return fail(section, key, value, settings_problem::bad_address);
    }

    [[nodiscard]] leaf::result<std::optional<endpoint>>
    optional_address(const std::string& section, const std::string& key) const
    {
        if (!text(section, key))
        {
            return std::optional<endpoint>();
        }
        BOOST_LEAF_AUTO(value, address(section, key));
        return std::optional<endpoint>(value);
    }

    [[nodiscard]] leaf::result<std::uint32_t> count(
        const std::string& section,
        const std::string& key,
        std::uint32_t default_value,
        std::uint32_t min_value,
        std::uint32_t max_value) const
    {
        const auto value = text(section, key);
        if (!value)
        {
            return default_value;
        }
        std::uint32_t parsed = 0;
        const auto* const end = value->data() + value->size();
        const auto [rest, code] = std::from_chars(value->data(), end, parsed);
        if (code == std::errc::result_out_of_range)
        {
            return fail(section, key, *value, settings_problem::out_of_range);
        }
        if (code != std::errc() || rest != end)
        {
            return fail(section, key, *value, settings_problem::bad_number);
        }
        if (parsed < min_value || parsed > max_value)
        {
            return fail(section, key, *value, settings_problem::out_of_range);
        }
        return parsed;
    }

    // A number that may have a fraction.
    [[nodiscard]] leaf::result<double> fraction(
        const std::string& section,
        const std::string& key,
        double default_value,
        double min_value,
        double max_value) const
    {
        const auto value = text(section, key);
        if (!value)
        {
            return default_value;
        }
        double parsed = 0;
        const auto* const end = value->data() + value->size();
        const auto [rest, code] = std::from_chars(value->data(), end, parsed);
        if (code != std::errc() || rest != end)
        {
            return fail(section, key, *value, settings_problem::bad_number);
        }
        if (!(parsed >= min_value && parsed <= max_value))
        {
            return fail(section, key, *value, settings_problem::out_of_range);
        }
        return parsed;
    }

    // Returns true for `true_text`, false for `false_text`, and `default_value`
    // if the key is absent.
    [[nodiscard]] leaf::result<bool> choice(
        const std::string& section,
        const std::string& key,
        std::string_view true_text,
        std::string_view false_text,
        bool default_value) const
    {
        const auto value = text(section, key);
        if (!value)
        {
            return default_value;
        }
        if (*value != true_text && *value != false_text)
        {
            return fail(section, key, *value, settings_problem::bad_choice);
        }
        return *value == true_text;
    }

    [[nodiscard]] leaf::result<std::vector<endpoint>>
    addresses(const std::string& section, const std::string& key) const
    {
        BOOST_LEAF_AUTO(value, required(section, key));
        std::vector<endpoint> all;
        for (const auto& item : split(value))
        {
            const auto parsed = parse_endpoint(item);
            if (!parsed)
            {
                return fail(section, key, item, settings_problem::bad_address);
            }
            all.push_back(*parsed);
        }
        if (all.empty())
        {
            return fail(section, key, value, settings_problem::empty_list);
        }
        return all;
    }

    [[nodiscard]] leaf::result<std::vector<named_address>>
    named_addresses(const std::string& section, const std::string& key) const
    {
        BOOST_LEAF_AUTO(value, required(section, key));
        std::vector<named_address> all;
        for (const auto& item : split(value))
        {
            const auto equals = item.find('=');
            const auto parsed =
                equals == std::string::npos
                    ? std::nullopt
                    : parse_endpoint(
                          trimmed(std::string_view(item).substr(equals + 1)));
            if (!parsed)
            {
                return fail(section, key, item, settings_problem::bad_address);
            }
            const auto host = trimmed(std::string_view(item).substr(0, equals));
            if (!is_name(host))
            {
                return fail(section, key, item, settings_problem::bad_name);
            }
            all.push_back({host_id(host), *parsed});
        }
        if (all.empty())
        {
            return fail(section, key, value, settings_problem::empty_list);
        }
        return all;
    }

private:
    [[nodiscard]] leaf::error_id fail(
        const std::string& section,
        const std::string& key,
        std::string_view value,
        settings_problem problem) const
    {
        return leaf::new_error(settings_error{
            file_,
            lines_.line_of(section, key),
            section,
            key,
            std::string(value),
            problem});
    }

    static bool has_section(std::string_view section)
    {
        const auto all = known_settings();
        return std::any_of(
            all.begin(),
            all.end(),
            [section](const auto& entry)
            {
                return entry.section == section;
            });
    }

    static bool has_key(std::string_view section, std::string_view key)
    {
        const auto all = known_settings();
        return std::any_of(
            all.begin(),
            all.end(),
            [&](const auto& entry)
            {
                return entry.section == section && entry.key == key;
            });
    }

    std::string file_;
    line_index lines_;
    pt::ptree tree_;
};

} // namespace nutmegusher::node::internal

#endif
