// The order in which the waiting calls of one rank start where teams take
// turns.
//
//     turns.add(team, place);
//     const auto next = turns.next();     // of the team whose turn it is
//     turns.remove(team, place);
//     turns.on_start(team);               // its turn is over
//
// Pattern of load: an upstream has a long queue, and most of it are calls of
// one team. By deadline alone, the calls of all others wait behind them, and
// are refused because of a wait that one team causes.
//
// Round robin over the teams, within a team by deadline. Calls without a team
// (0) have no turns; the earlier deadline decides between theirs and the one
// whose turn it is.
#ifndef NUTMEGUSHER_POLICY_TEAM_TURNS_HPP
#define NUTMEGUSHER_POLICY_TEAM_TURNS_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>

namespace nutmegusher::internal
{

// The place of a waiting call, ordered by rank, then by deadline, then by
// arrival.
struct queue_place
{
    std::uint8_t rank = 0;
    time_point deadline;
    std::uint64_t arrival_number = 0;

    friend auto operator<=>(const queue_place&, const queue_place&) = default;
};

class team_turns
{
public:
    void add(std::uint64_t team, const queue_place& at);
    void remove(std::uint64_t team, const queue_place& at);

    // A call of the team started.
    void on_start(std::uint64_t team);

    // The call that starts next; nullopt if none waits.
    [[nodiscard]] std::optional<queue_place> next() const;

    // How many of the waiting calls would start before one of the team at the
    // place, which may wait already.
    [[nodiscard]] std::size_t
    ahead_of(std::uint64_t team, const queue_place& at) const;

    // Whether calls of any team wait.
    [[nodiscard]] bool has_teams() const
    {
        return !order_.empty();
    }

    [[nodiscard]] std::size_t size() const
    {
        return size_;
    }

private:
    using places = std::set<queue_place>;

    struct team_queue
    {
        places waiting;
        std::list<std::uint64_t>::iterator turn;
    };

    std::size_t size_ = 0;
    places without_team_;
    std::unordered_map<std::uint64_t, team_queue> teams_;
    // The teams with waiting calls; whose turn is next comes first.
    std::list<std::uint64_t> order_;
};

} // namespace nutmegusher::internal

#endif
