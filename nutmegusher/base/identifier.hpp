// Strong types for names and numbers, which the compiler keeps apart.
#ifndef NUTMEGUSHER_BASE_IDENTIFIER_HPP
#define NUTMEGUSHER_BASE_IDENTIFIER_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace nutmegusher
{

// A string of one kind, such as a service name. Names with different tags don't
// convert to each other.
template <class Tag>
class name
{
public:
    name() = default;

    explicit name(std::string_view text)
        : text_(text)
    {
    }

    [[nodiscard]] const std::string& str() const
    {
        return text_;
    }

    [[nodiscard]] bool empty() const
    {
        return text_.empty();
    }

    friend auto operator<=>(const name&, const name&) = default;

private:
    std::string text_;
};

// A number of one kind, such as a revision. Numbers with different tags don't
// convert to each other.
template <class Tag>
class number
{
public:
    constexpr number() = default;

    constexpr explicit number(std::uint64_t value)
        : value_(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return value_;
    }

    [[nodiscard]] constexpr number next() const
    {
        return number(value_ + 1);
    }

    friend constexpr auto operator<=>(const number&, const number&) = default;

private:
    std::uint64_t value_ = 0;
};

using host_id = name<struct host_id_tag>;
using data_center_name = name<struct data_center_tag>;
using region_name = name<struct region_tag>;
using service_name = name<struct service_tag>;
using class_name = name<struct class_tag>;
using customer_id = name<struct customer_tag>;
using request_id = name<struct request_tag>;
using idempotency_key = name<struct idempotency_key_tag>;

// Number of an accepted configuration. A daemon never returns to a lower one.
using revision = number<struct revision_tag>;
// Identifies one run of a process; each restart gets a higher value.
using incarnation = number<struct incarnation_tag>;

// A 64-bit hash (XXH64, seed 0) that is the same on every host and build.
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes);

// The same hash with a seed, for rendezvous hashing.
[[nodiscard]] std::uint64_t
stable_hash(std::string_view bytes, std::uint64_t seed);

} // namespace nutmegusher

template <class Tag>
struct std::hash<nutmegusher::name<Tag>>
{
    std::size_t operator()(const nutmegusher::name<Tag>& value) const noexcept
    {
        return std::hash<std::string>{}(value.str());
    }
};

template <class Tag>
struct std::hash<nutmegusher::number<Tag>>
{
    std::size_t operator()(const nutmegusher::number<Tag>& value) const noexcept
    {
        return std::hash<std::uint64_t>{}(value.value());
    }
};

#endif
