// Shares a process's memory among the requests and answers that it holds, and
// chooses which of them give way when it runs short.
//
//     memory_budget budget(128 * mib);
//     const auto id = budget.open(now);
//     const auto decision = budget.take(id, bytes, now);
//     for (const auto each : decision.evicted) end(each);
//     if (!decision.granted) refuse();
//     budget.close(id);
//
// Pattern of load: callers that send large bodies and stop just short of their
// end, so that memory fills with requests that never run.
//
// - Memory is taken as bytes arrive: a length that is only announced costs
//   nothing.
// - Nobody waits for memory. Whoever is short of it is refused at once, or
//   others are evicted for it.
// - A holder that depends on its caller, to send more or to read, and hasn't
//   taken memory for `stall_time` is evicted first, the longest one before
//   the others. So stalled callers keep nobody out.
// - Among holders that all make progress, one that has no more than an equal
//   share of the memory isn't refused: the largest request that is still
//   arriving is evicted instead. So small bodies don't pay for large ones.
// - The last eighth of the memory is for holders of at most `small_bytes`.
#ifndef NUTMEGUSHER_POLICY_MEMORY_BUDGET_HPP
#define NUTMEGUSHER_POLICY_MEMORY_BUDGET_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace nutmegusher
{

// What a holder waits for.
enum class memory_use : std::uint8_t
{
    arriving, // its caller sends it
    in_use,   // nothing that a caller could delay; never evicted
    unread    // its caller reads it
};

enum class memory_holder : std::uint64_t
{
};

struct memory_decision
{
    bool granted = false;
    // Must end and close. Their memory counts as free at once.
    std::vector<memory_holder> evicted;
};

class memory_budget
{
public:
    // `capacity`: bytes.
    explicit memory_budget(std::uint64_t capacity);

    // Takes effect with the next `take`.
    void set_capacity(std::uint64_t capacity);

    // A new holder, `arriving`, without memory.
    [[nodiscard]] memory_holder open(time_point now);

    // Changes what the holder waits for, from now on. Does nothing if it was
    // evicted.
    void set_use(memory_holder id, memory_use use, time_point now);

    // Takes `bytes` more for the holder, or nothing. Not granted to a holder
    // that was evicted.
    [[nodiscard]] memory_decision
    take(memory_holder id, std::uint64_t bytes, time_point now);

    // Requires: the holder has as many bytes, or was evicted.
    void give_back(memory_holder id, std::uint64_t bytes);

    // Gives back all and forgets the holder.
    void close(memory_holder id);

    // Bytes.
    [[nodiscard]] std::uint64_t capacity() const
    {
        return capacity_;
    }

    // Bytes of all holders that weren't evicted.
    [[nodiscard]] std::uint64_t held() const
    {
        return held_;
    }

    // The most that a single holder can have, bytes.
    [[nodiscard]] std::uint64_t largest_share() const;

    // Longer than a lost packet takes to be sent again, twice.
    static constexpr duration stall_time = std::chrono::seconds(1);
    static constexpr std::uint64_t small_bytes = 65536;
    // The part of the capacity that only small holders can use.
    static constexpr std::uint64_t small_holders_part = 8;

private:
    struct holder
    {
        std::uint64_t bytes = 0;
        memory_use use = memory_use::arriving;
        // When it last took memory or changed its use.
        time_point since;
        bool evicted = false;
    };

    using holders = std::unordered_map<memory_holder, holder>;

    [[nodiscard]] bool fits(const holder& asking, std::uint64_t bytes) const;
    [[nodiscard]] holders::iterator
    find_stalled(memory_holder asking, time_point now);
    [[nodiscard]] holders::iterator find_larger(std::uint64_t bytes);
    void evict(holders::iterator which, memory_decision& decision);

    std::uint64_t capacity_;
    std::uint64_t held_ = 0;
    std::uint64_t last_id_ = 0;
    holders holders_;
};

} // namespace nutmegusher

#endif
