// The key in the `Authorization` fields of a request.
#ifndef NUTMEGUSHER_TEAMS_AUTHORIZATION_HPP
#define NUTMEGUSHER_TEAMS_AUTHORIZATION_HPP

#include <optional>
#include <span>
#include <string_view>

namespace nutmegusher
{

// Returns the key of the form "Bearer KEY"; nullopt if the fields don't name
// exactly one.
//
// | fields | key |
// |---|---|
// | `Bearer k1`, `bearer k1`, `BEARER   k1`, ` Bearer k1 ` | `k1` |
// | `Bearer`, `Bearer `, `k1`, `Basic k1`, `Bearerk1` | none |
// | `Bearer k1 k2`, `Bearer k1,k2`, `Bearer k1, Bearer k2` | none |
// | two fields, also two equal ones | none |
//
// Spaces and tabs count as blanks. A key consists of visible ASCII characters
// other than the comma. The result refers to `fields`.
[[nodiscard]] std::optional<std::string_view>
bearer_key(std::span<const std::string_view> fields);

} // namespace nutmegusher

#endif
