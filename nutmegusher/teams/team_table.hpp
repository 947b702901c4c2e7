// The teams of one document of routes.
#ifndef NUTMEGUSHER_TEAMS_TEAM_TABLE_HPP
#define NUTMEGUSHER_TEAMS_TEAM_TABLE_HPP

#include "nutmegusher/messages/configuration.pb.h"
#include "nutmegusher/teams/key_digest.hpp"
#include "nutmegusher/teams/quota.hpp"
#include "nutmegusher/teams/rank_scale.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegusher
{

// One team, in the form that decisions use.
struct team
{
    std::string name;
    // 0 is refused last.
    std::optional<std::uint8_t> rank;
    quota limit;
};

// Finds the team of a key by one look-up in a hash table.
//
//     const auto table = team_table::create(document);
//     if (const team* found = table.find(key_digest::of(key)))
//         use(found->name);
//
// Immutable and thread-safe; holds digests and no keys.
class team_table
{
public:
    // Creates a table without teams.
    team_table() = default;

    // Requires: the document passed `check_routes`.
    [[nodiscard]] static team_table
    create(const messages::route_document& document);

    // Returns null if no team has the key.
    [[nodiscard]] const team* find(const key_digest& digest) const;

    // Returns null if there is no team of that name.
    [[nodiscard]] const team* find(std::string_view name) const;

    // Whether requests need no key.
    [[nodiscard]] bool empty() const
    {
        return teams_.empty();
    }

    [[nodiscard]] const std::vector<team>& teams() const
    {
        return teams_;
    }

    // The ranks of requests under this document.
    [[nodiscard]] const rank_scale& ranks() const
    {
        return ranks_;
    }

private:
    std::vector<team> teams_;
    std::unordered_map<key_digest, std::size_t, key_digest::hash> by_digest_;
    std::unordered_map<std::string, std::size_t> by_name_;
    rank_scale ranks_;
};

} // namespace nutmegusher

#endif
