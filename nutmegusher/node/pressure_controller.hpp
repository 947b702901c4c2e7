// The entry daemon's view of the load further down the call path, by class: the
// entry gate, the retry budget, the detection of repeated keys, and the
// admission levels reported for sub-calls. Thread-safe: classes are spread over
// shards, each with its own lock.
#ifndef NUTMEGUSHER_NODE_PRESSURE_CONTROLLER_HPP
#define NUTMEGUSHER_NODE_PRESSURE_CONTROLLER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/policy/policy.hpp"

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace nutmegusher::node
{

class pressure_controller
{
public:
    explicit pressure_controller(bool naive)
        : naive_(naive)
    {
    }

    // Decides on a call at the entry; empty: it may proceed. The refusal's
    // `retry_after` is already jittered.
    std::optional<refused> check(const call_info& call, random_engine& engine);

    // Records the admission level of the call path ahead, as reported with the
    // answer to a request.
    void on_level(const call_info& call, const admission_level& level);

    // Records the admission level of the call path of a sub-call made for a
    // request of `root_class`.
    void
    on_sub_call_level(std::uint64_t root_class, const admission_level& level);

    // The admission level of the class's sub-calls, which an answer to a
    // request of the class reports to the caller's daemon besides the
    // upstream's own level.
    [[nodiscard]] admission_level deeper_for(std::uint64_t work_class) const;

    // Returns the number of retry tokens for a new request. `key_hash` is the
    // hash of its customer and key, or 0 without a key.
    std::uint32_t
    begin_request(std::uint64_t work_class, std::uint64_t key_hash);

    // Ends a request that has `left` of its `given` tokens left.
    void end_request(
        std::uint64_t work_class, std::uint32_t given, std::uint32_t left);

private:
    struct shard
    {
        mutable std::mutex mutex;
        entry_gate gate;
        sub_call_levels levels;
        repeated_key_detector keys;
        std::unordered_map<std::uint64_t, retry_budget> budgets;
    };

    static constexpr std::size_t shard_count = 8;

    shard& shard_of(std::uint64_t work_class)
    {
        return shards_[work_class % shard_count];
    }

    const bool naive_;
    std::array<shard, shard_count> shards_;
};

} // namespace nutmegusher::node

#endif
