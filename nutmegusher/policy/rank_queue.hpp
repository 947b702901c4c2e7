// The calls that wait at one upstream, by strict rank.
//
// Pattern of load: more calls than slots. A first-in-first-out queue makes
// disbursements wait behind statements; one customer's thousand calls make all
// the others wait; and calls whose caller has gone are run all the same.
//
// Order: rank; within a rank sub-calls before new requests (more work is
// already in them); within those, customers in turn; a customer's own calls
// in order of arrival.
#ifndef NUTMEGUSHER_POLICY_RANK_QUEUE_HPP
#define NUTMEGUSHER_POLICY_RANK_QUEUE_HPP

#include "nutmegusher/policy/call.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace nutmegusher::internal
{

// One waiting call.
struct waiting_call
{
    call_info info;
    // Waiting longer than this helps nobody.
    time_point latest_start;
};

class rank_queue
{
public:
    [[nodiscard]] std::size_t size() const
    {
        return positions_.size();
    }

    [[nodiscard]] bool empty() const
    {
        return positions_.empty();
    }

    // Requires: the ticket doesn't wait already.
    void push(const waiting_call& call);

    // The call to run next, taken out.
    std::optional<waiting_call> pop();

    // Takes one call out; false where it doesn't wait.
    bool remove(ticket_id ticket);

    // Takes out one call whose latest start lies before `now`.
    std::optional<waiting_call> pop_expired(time_point now);

    // The earliest latest start.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    // Takes out the call that should make room for `arrival`: of the worst
    // rank, the newest call of the customer who has most calls there. None
    // where that would not be better: the rank is as good as the arrival's,
    // and no customer there has two calls more than the arrival's.
    std::optional<waiting_call> evict_for(const call_info& arrival);

    // How many waiting calls would run before `arrival`.
    [[nodiscard]] std::size_t ahead_of(const call_info& arrival) const;

    // Whether the arrival's customer has most calls at its level, and more
    // than one.
    [[nodiscard]] bool has_most_calls(const call_info& arrival) const;

private:
    // One customer's calls at one level.
    struct customer_queue
    {
        std::uint64_t customer = 0;
        std::list<waiting_call> calls;
    };

    using customer_queues = std::list<customer_queue>;

    // One rank, sub-calls or new requests.
    struct priority_level
    {
        // In the order of their turns.
        customer_queues round_robin;
        std::unordered_map<std::uint64_t, customer_queues::iterator>
            by_customer;
        // (calls, customer), to find the longest.
        std::set<std::pair<std::size_t, std::uint64_t>> by_length;
        std::size_t size = 0;
    };

    struct position
    {
        std::size_t priority_level = 0;
        customer_queues::iterator customer_queue;
        std::list<waiting_call>::iterator call;
    };

    static std::size_t level_of(const call_info& call);
    [[nodiscard]] std::size_t
    calls_of(const priority_level& level, std::uint64_t customer) const;
    customer_queues::iterator
    queue_for(priority_level& level, std::uint64_t customer);
    void update_length(
        priority_level& level,
        const customer_queue& changed,
        std::size_t before);
    waiting_call take(const position& from);
    waiting_call take_ticket(ticket_id ticket);

    std::array<priority_level, rank_count * 2> levels_;
    std::unordered_map<ticket_id, position> positions_;
    std::set<std::pair<time_point, ticket_id>> expiries_;
};

} // namespace nutmegusher::internal

#endif
