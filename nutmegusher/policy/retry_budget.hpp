// How many retries the requests of one class may make, at the entry.
//
//     const bool again = seen.is_repeated(key_hash, now);
//     const std::uint32_t tokens = budget.begin(again);
//     ... the request takes the tokens with it, down the chain and back ...
//     budget.end(tokens, left);
//
// Pattern of load: a deep service fails, and each of the hops above it tries
// three times: ten hops make 3^10 calls of one. Here the entry gives each
// request a few tokens, each retry anywhere in the chain spends one, and the
// class's requests together may spend no more than a tenth of their number.
// So the total of tries stays below 1.1 per request at any depth, and one
// request makes at most `tokens_per_request` retries, whatever happens.
//
// A client's own retry, recognised by its key, adds nothing to the budget and
// gets no tokens: what clients do in a fault doesn't multiply in the chain.
#ifndef NUTMEGUSHER_POLICY_RETRY_BUDGET_HPP
#define NUTMEGUSHER_POLICY_RETRY_BUDGET_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstdint>
#include <unordered_set>

namespace nutmegusher
{

// The bound on the retries of one request, over the whole chain: enough to
// get past one failed upstream at each of two hops and a third one on the
// way; each further one has less than a thousandth of a chance to help when
// a tenth of the tries fail.
inline constexpr std::uint32_t tokens_per_request = 3;

class retry_budget
{
public:
    // Retries per first try: the aim of 1.1 tries per request.
    static constexpr double ratio = 0.1;
    // What a quiet time may save up: a second's worth at the users' size in
    // two years (1.4 million calls a second over 16,000 daemons, a tenth).
    static constexpr double max_balance = 9;

    // A request enters. Returns its tokens.
    std::uint32_t begin(bool client_retry);

    // The request ended, and `left` of its `given` tokens came back.
    // Requires: `left` is at most `given`.
    void end(std::uint32_t given, std::uint32_t left);

    // Retries that may still be made; below zero after a fault has hit many
    // requests at once.
    [[nodiscard]] double balance() const
    {
        return balance_;
    }

private:
    double balance_ = max_balance;
};

// Recognises requests that come again with the same key.
class repeated_key_detector
{
public:
    // Whether the key was seen within the last one to two `retention`; notes
    // it.
    bool is_repeated(std::uint64_t key_hash, time_point now);

    // Clients that retry at all do so within seconds; the longest time to
    // come back that they are told is five, and half as long again.
    static constexpr duration retention = std::chrono::seconds(15);
    // Of each of the two generations.
    static constexpr std::size_t max_keys_per_generation = 65536;

private:
    std::unordered_set<std::uint64_t> recent_;
    std::unordered_set<std::uint64_t> older_;
    time_point rotate_at_;
};

} // namespace nutmegusher

#endif
