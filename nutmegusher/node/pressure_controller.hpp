// What the entry has learned of pressure further down, by class: the gate, the
// retry budget, keys that came again, and the levels that sub-calls brought.
// Safe from every thread: classes are spread over shards with their own locks.
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

    // A refusal at the entry, its time to come back already spread.
    std::optional<refused> check(const call_info& call, random_engine& engine);

    // What lay ahead of a request of the class that was answered.
    void on_level(const call_info& call, const admission_level& level);

    // What lay ahead of a sub-call made for a request of `root_class`.
    void
    on_sub_call_level(std::uint64_t root_class, const admission_level& level);

    // What an answer to a request of the class should carry upwards, besides
    // the upstream's own level.
    [[nodiscard]] admission_level deeper_for(std::uint64_t work_class) const;

    // The retry tokens of a new request. `key_hash` is 0 without a key.
    std::uint32_t
    begin_request(std::uint64_t work_class, std::uint64_t key_hash);

    // It ended and brought `left` of its `given` tokens back.
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
