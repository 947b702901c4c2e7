// Sequence numbers for the attempts that one entry daemon issues.
#ifndef NUTMEGUSHER_EXECUTION_ATTEMPT_SEQUENCE_HPP
#define NUTMEGUSHER_EXECUTION_ATTEMPT_SEQUENCE_HPP

#include <algorithm>
#include <cstdint>

namespace nutmegusher
{

// Generates sequence numbers for attempts. The numbers increase strictly, also
// across a restart if the wall clock has advanced meanwhile. Each number
// encodes its time of issue: the claim table refuses attempts that are older
// than the lifetime of its fences.
//
//     attempt_sequence sequence;
//     attempt.set_sequence(sequence.next(wall_ms));
//
// Not thread-safe.
class attempt_sequence
{
public:
    // Number of low bits that count attempts within one millisecond.
    static constexpr unsigned counter_bits = 20;

    // Returns the next number. `wall_ms` is the host's wall time in ms since
    // 1970. The numbers increase even if `wall_ms` repeats or goes back.
    std::uint64_t next(std::uint64_t wall_ms)
    {
        last_ = std::max(last_ + 1, wall_ms << counter_bits);
        return last_;
    }

    // Returns the wall time at which `sequence` was issued, in ms since 1970.
    [[nodiscard]] static constexpr std::uint64_t
    issued_at_ms(std::uint64_t sequence)
    {
        return sequence >> counter_bits;
    }

private:
    std::uint64_t last_ = 0;
};

} // namespace nutmegusher

#endif
