// Numbers for the attempts of one entry daemon.
#ifndef NUTMEGUSHER_EXECUTION_ATTEMPT_SEQUENCE_HPP
#define NUTMEGUSHER_EXECUTION_ATTEMPT_SEQUENCE_HPP

#include <algorithm>
#include <cstdint>

namespace nutmegusher
{

// Gives every attempt a number that rises, also across restarts, and that
// tells when it was given: the claim table refuses attempts which are older
// than its memory of fences.
//
//     attempt_sequence sequence;
//     attempt.set_sequence(sequence.next(wall_ms));
//
// For one thread.
class attempt_sequence
{
public:
    // The low bits count within a millisecond.
    static constexpr unsigned counter_bits = 20;

    // `wall_ms`: the host's wall time in ms since 1970. Where it stands still
    // or goes back, the numbers rise all the same.
    std::uint64_t next(std::uint64_t wall_ms)
    {
        last_ = std::max(last_ + 1, wall_ms << counter_bits);
        return last_;
    }

    // The wall time at which a number was given, in ms.
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
