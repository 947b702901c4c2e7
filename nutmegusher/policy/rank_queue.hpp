// The calls that wait for one upstream, in strict order of rank.
//
// Pattern of load: more calls than slots. In a first-in-first-out queue
// disbursements wait behind statements, one customer's thousand calls delay all
// other customers, and calls whose caller has gone are run nevertheless.
//
// Order: by rank; within a rank sub-calls before new requests (more work was
// already done for them); within those, customers round robin; a customer's own
// calls in order of arrival.
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
    // The call is refused if it hasn't started by then.
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

    // Adds a call. Requires: no call with its ticket waits here.
    void push(const waiting_call& call);

    // Removes and returns the call to run next.
    std::optional<waiting_call> pop();

    // Removes one call; returns false if it doesn't wait here.
    bool remove(ticket_id ticket);

    // Removes and returns one call whose latest start lies before `now`.
    std::optional<waiting_call> pop_expired(time_point now);

    // The earliest `latest_start` of the waiting calls.
    [[nodiscard]] std::optional<time_point> next_expiry() const;

    // Removes and returns the call that `arrival` should replace: in the worst
    // non-empty priority level, the newest call of the customer with the most
    // calls there. Returns nullopt if that wouldn't be an improvement: that
    // level is better than the arrival's, or it is the same and no customer
    // there has at least two calls more than the arrival's.
    std::optional<waiting_call> evict_for(const call_info& arrival);

    // The number of waiting calls that would run before `arrival`.
    [[nodiscard]] std::size_t ahead_of(const call_info& arrival) const;

    // Whether the arrival's customer has the most calls at its priority level,
    // more than one, and isn't the only customer there.
    [[nodiscard]] bool has_most_calls(const call_info& arrival) const;

private:
    // One customer's waiting calls at one priority level.
    struct customer_queue
    {
        std::uint64_t customer = 0;
        std::list<waiting_call> calls;
    };

    using customer_queues = std::list<customer_queue>;

    // The sub-calls or the new requests of one rank.
    struct priority_level
    {
        // The customers with waiting calls, next one first.
        customer_queues round_robin;
        std::unordered_map<std::uint64_t, customer_queues::iterator>
            by_customer;
        // (number of calls, customer), to find the customer with the most
        // calls.
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
