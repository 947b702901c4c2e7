// How the claim table stores keys and compares attempts.
#ifndef NUTMEGUSHER_EXECUTION_CLAIM_ENCODING_HPP
#define NUTMEGUSHER_EXECUTION_CLAIM_ENCODING_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/execution.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegusher::internal
{

inline constexpr unsigned bits_per_digit = 7;
inline constexpr std::uint64_t digit_mask = (1U << bits_per_digit) - 1;

// Appends a number, low digits first; the high bit of a byte says that more
// follow. Short numbers stay short, the same on every host.
inline void append_number(std::string& out, std::uint64_t value)
{
    while (value > digit_mask)
    {
        out.push_back(static_cast<char>((value & digit_mask) | ~digit_mask));
        value >>= bits_per_digit;
    }
    out.push_back(static_cast<char>(value));
}

// Takes from the front what `append_number` wrote.
inline std::uint64_t take_number(std::string_view& bytes)
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; !bytes.empty(); shift += bits_per_digit)
    {
        const auto byte = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        value |= (byte & digit_mask) << shift;
        if (byte <= digit_mask)
        {
            break;
        }
    }
    return value;
}

// A part's length goes first, so that no two lists of parts encode alike.
inline void append_part(std::string& out, std::string_view part)
{
    append_number(out, part.size());
    out.append(part);
}

inline std::string take_part(std::string_view& bytes)
{
    const auto size = take_number(bytes);
    std::string part(bytes.substr(0, size));
    bytes.remove_prefix(part.size());
    return part;
}

inline std::string encode(const messages::claim_key& key)
{
    std::string out;
    append_part(out, key.customer());
    append_part(out, key.class_name());
    append_part(out, key.idempotency_key());
    return out;
}

inline messages::claim_key decode(std::string_view bytes)
{
    messages::claim_key key;
    key.set_customer(take_part(bytes));
    key.set_class_name(take_part(bytes));
    key.set_idempotency_key(take_part(bytes));
    return key;
}

inline void append(std::string& out, const messages::attempt& by)
{
    append_part(out, by.entry_host());
    append_number(out, by.entry_incarnation());
    append_number(out, by.sequence());
}

inline std::uint64_t
fingerprint(const std::string& key, const messages::attempt& by)
{
    std::string bytes = key;
    append(bytes, by);
    return stable_hash(bytes);
}

// What a record costs besides key and answer: two allocations, the map's node
// and bucket, the queue's slot. bench/capacity measures the true figure.
inline constexpr std::uint64_t record_overhead_bytes = 200;

inline std::uint64_t record_cost(const std::string& key)
{
    return record_overhead_bytes + key.size();
}

inline bool same(const messages::attempt& one, const messages::attempt& other)
{
    return one.sequence() == other.sequence() &&
           one.entry_incarnation() == other.entry_incarnation() &&
           one.entry_host() == other.entry_host();
}

inline bool
same(const messages::claim_executor& one, const messages::claim_executor& other)
{
    return one.execution() == other.execution() &&
           one.incarnation() == other.incarnation() &&
           one.host() == other.host();
}

} // namespace nutmegusher::internal

#endif
