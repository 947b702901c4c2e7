#include "nutmegusher/control/frame.hpp"

#include <xxhash.h>

#include <array>
#include <optional>

namespace nutmegusher
{

namespace
{

constexpr std::string_view frame_magic = "nmf1";
constexpr std::size_t length_offset = 4;
constexpr std::size_t checksum_offset = 8;

template <class Number>
void append_little_endian(std::string& target, Number value)
{
    for (std::size_t i = 0; i < sizeof(Number); ++i)
    {
        target.push_back(static_cast<char>(value & 0xff));
        value = static_cast<Number>(value >> 8);
    }
}

template <class Number>
Number read_little_endian(std::string_view bytes)
{
    Number value = 0;
    for (std::size_t i = sizeof(Number); i > 0; --i)
    {
        const auto byte = static_cast<unsigned char>(bytes[i - 1]);
        value = static_cast<Number>((value << 8) | byte);
    }
    return value;
}

std::uint64_t checksum(std::string_view content)
{
    // The length is the seed, so that a damaged length is detected as well.
    return XXH3_64bits_withSeed(content.data(), content.size(), content.size());
}

// The content of the frame at the start of `bytes`; no value if it isn't
// intact.
std::optional<std::string_view> parse_first_frame(std::string_view bytes)
{
    if (bytes.size() < frame_overhead || !bytes.starts_with(frame_magic))
    {
        return std::nullopt;
    }
    const auto length =
        read_little_endian<std::uint32_t>(bytes.substr(length_offset, 4));
    if (length > bytes.size() - frame_overhead)
    {
        return std::nullopt;
    }
    const auto content = bytes.substr(frame_overhead, length);
    const auto expected =
        read_little_endian<std::uint64_t>(bytes.substr(checksum_offset, 8));
    if (checksum(content) != expected)
    {
        return std::nullopt;
    }
    return content;
}

bool contains_intact_frame(std::string_view bytes)
{
    for (auto at = bytes.find(frame_magic); at != std::string_view::npos;
         at = bytes.find(frame_magic, at + 1))
    {
        if (parse_first_frame(bytes.substr(at)))
        {
            return true;
        }
    }
    return false;
}

} // namespace

void append_frame(std::string& target, std::string_view content)
{
    target.reserve(target.size() + frame_overhead + content.size());
    target.append(frame_magic);
    append_little_endian(target, static_cast<std::uint32_t>(content.size()));
    append_little_endian(target, checksum(content));
    target.append(content);
}

leaf::result<frame_scan>
scan_frames(std::string_view bytes, std::string_view file)
{
    frame_scan scan;
    auto rest = bytes;
    while (!rest.empty())
    {
        const auto content = parse_first_frame(rest);
        if (!content)
        {
            break;
        }
        scan.contents.push_back(*content);
        rest.remove_prefix(frame_overhead + content->size());
    }
    scan.intact_size = bytes.size() - rest.size();
    if (!rest.empty() && contains_intact_frame(rest.substr(1)))
    {
        return leaf::new_error(storage_failure{
            storage_fault::bad_checksum, std::string(file), scan.intact_size});
    }
    return scan;
}

leaf::result<std::string_view>
single_frame(std::string_view bytes, std::string_view file)
{
    const auto content = parse_first_frame(bytes);
    if (!content || content->size() + frame_overhead != bytes.size())
    {
        return leaf::new_error(
            storage_failure{storage_fault::bad_checksum, std::string(file)});
    }
    return *content;
}

} // namespace nutmegusher
