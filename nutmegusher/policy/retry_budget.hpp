// Limits the retries of the requests of one class, at the entry.
//
//     const bool client_retry = detector.is_repeated(key_hash, now);
//     const std::uint32_t tokens = budget.begin(client_retry);
//     ... the tokens travel with the request, down the chain and back ...
//     budget.end(tokens, left);
//
// Pattern of load: a service deep in a chain fails, and each hop above it tries
// three times: ten hops turn one call into 3^10. Here the entry gives each
// request a few tokens, each retry anywhere in the chain spends one, and all
// requests of the class together may spend no more than a tenth of their
// number. So there are fewer than 1.1 tries per request at any depth, and one
// request causes at most `tokens_per_request` retries.
//
// A client's own retry, recognised by its key, adds nothing to the budget and
// gets no tokens, so that client retries aren't multiplied in the chain.
#ifndef NUTMEGUSHER_POLICY_RETRY_BUDGET_HPP
#define NUTMEGUSHER_POLICY_RETRY_BUDGET_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstdint>
#include <unordered_set>

namespace nutmegusher
{

// Maximum retries of one request over the whole chain: enough to avoid one
// failed upstream at each of two hops and a third one on the way. When a tenth
// of the tries fail, a further retry helps with a probability below a
// thousandth.
inline constexpr std::uint32_t tokens_per_request = 3;

class retry_budget
{
public:
    // Retries per first try; the target is 1.1 tries per request.
    static constexpr double ratio = 0.1;
    // Retries that may accumulate while few are needed: one second's worth at
    // the load that the users expect in two years (a tenth of 1.4 million calls
    // a second over 16,000 daemons).
    static constexpr double max_balance = 9;

    // A request enters. Returns the number of its tokens.
    std::uint32_t begin(bool client_retry);

    // The request ended and returned `left` of its `given` tokens.
    // Requires: `left` is at most `given`.
    void end(std::uint32_t given, std::uint32_t left);

    // Retries still available; negative after a fault that hit many requests at
    // once.
    [[nodiscard]] double balance() const
    {
        return balance_;
    }

private:
    double balance_ = max_balance;
};

// Recognises requests that arrive again with the same key.
class repeated_key_detector
{
public:
    // Returns whether the key arrived within the last one to two `retention`
    // periods, and stores it.
    bool is_repeated(std::uint64_t key_hash, time_point now);

    // Clients that retry do so within seconds: the longest retry-after time
    // that they get is 5 s, plus a jitter of half of that.
    static constexpr duration retention = std::chrono::seconds(15);
    // Keys are stored in two generations, each with at most this many.
    static constexpr std::size_t max_keys_per_generation = 65536;

private:
    std::unordered_set<std::uint64_t> recent_;
    std::unordered_set<std::uint64_t> older_;
    time_point rotate_at_;
};

} // namespace nutmegusher

#endif
