// Key encoding, fingerprints and comparisons for the claim table.
#ifndef NUTMEGUSHER_EXECUTION_CLAIM_ENCODING_HPP
#define NUTMEGUSHER_EXECUTION_CLAIM_ENCODING_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/execution.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegusher::internal
{

inline constexpr unsigned varint_group_bits = 7;
inline constexpr std::uint64_t varint_group_mask =
    (1U << varint_group_bits) - 1;

// Appends a variable-length integer: 7 bits per byte, least significant group
// first; the high bit of a byte says that more bytes follow. The encoding is
// the same on every host.
inline void append_varint(std::string& out, std::uint64_t value)
{
    while (value > varint_group_mask)
    {
        out.push_back(static_cast<char>(
            (value & varint_group_mask) | ~varint_group_mask));
        value >>= varint_group_bits;
    }
    out.push_back(static_cast<char>(value));
}

// Reads an integer that `append_varint` wrote and removes it from the front.
inline std::uint64_t read_varint(std::string_view& bytes)
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; !bytes.empty(); shift += varint_group_bits)
    {
        const auto byte = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        value |= (byte & varint_group_mask) << shift;
        if (byte <= varint_group_mask)
        {
            break;
        }
    }
    return value;
}

// Appends the length, then the bytes. The length makes the encoding of a list
// of strings unambiguous.
inline void append_length_prefixed(std::string& out, std::string_view part)
{
    append_varint(out, part.size());
    out.append(part);
}

// Reads a string that `append_length_prefixed` wrote and removes it from the
// front.
inline std::string read_length_prefixed(std::string_view& bytes)
{
    const auto size = read_varint(bytes);
    std::string part(bytes.substr(0, size));
    bytes.remove_prefix(part.size());
    return part;
}

inline std::string encode(const messages::claim_key& key)
{
    std::string out;
    append_length_prefixed(out, key.customer());
    append_length_prefixed(out, key.class_name());
    append_length_prefixed(out, key.idempotency_key());
    return out;
}

inline messages::claim_key decode(std::string_view bytes)
{
    messages::claim_key key;
    key.set_customer(read_length_prefixed(bytes));
    key.set_class_name(read_length_prefixed(bytes));
    key.set_idempotency_key(read_length_prefixed(bytes));
    return key;
}

inline void append(std::string& out, const messages::attempt& by)
{
    append_length_prefixed(out, by.entry_host());
    append_varint(out, by.entry_incarnation());
    append_varint(out, by.sequence());
}

// Returns a 64-bit hash of the key and the attempt.
inline std::uint64_t
fingerprint(const std::string& key, const messages::attempt& by)
{
    std::string bytes = key;
    append(bytes, by);
    return stable_hash(bytes);
}

// Estimated memory of a record besides its key and answer: two allocations, the
// node and bucket of the map, and the slot in the queue. bench/capacity
// measures the actual figure.
inline constexpr std::uint64_t record_overhead_bytes = 200;

inline std::uint64_t estimated_record_bytes(const std::string& key)
{
    return record_overhead_bytes + key.size();
}

inline bool
is_same(const messages::attempt& one, const messages::attempt& other)
{
    return one.sequence() == other.sequence() &&
           one.entry_incarnation() == other.entry_incarnation() &&
           one.entry_host() == other.entry_host();
}

inline bool is_same(
    const messages::claim_executor& one, const messages::claim_executor& other)
{
    return one.execution() == other.execution() &&
           one.incarnation() == other.incarnation() &&
           one.host() == other.host();
}

} // namespace nutmegusher::internal

#endif
