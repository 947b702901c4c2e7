#include "nutmegusher/node/pressure_controller.hpp"

namespace nutmegusher::node
{

std::optional<refused>
pressure_controller::check(const call_info& call, random_engine& engine)
{
    if (naive_)
    {
        return std::nullopt;
    }
    auto& shard = shard_of(call.work_class);
    const std::scoped_lock lock(shard.mutex);
    auto rejection = shard.gate.check(call, host_clock().now());
    if (rejection)
    {
        rejection->retry_after = jittered(rejection->retry_after, engine);
    }
    return rejection;
}

void pressure_controller::on_level(
    const call_info& call, const admission_level& level)
{
    auto& shard = shard_of(call.work_class);
    const std::scoped_lock lock(shard.mutex);
    shard.gate.on_level(call, level, host_clock().now());
}

void pressure_controller::on_sub_call_level(
    std::uint64_t root_class, const admission_level& level)
{
    auto& shard = shard_of(root_class);
    const std::scoped_lock lock(shard.mutex);
    shard.levels.on_sub_call_level(root_class, level, host_clock().now());
}

admission_level pressure_controller::deeper_for(std::uint64_t work_class) const
{
    const auto& shard = shards_[work_class % shard_count];
    const std::scoped_lock lock(shard.mutex);
    return shard.levels.deeper_for(work_class, host_clock().now());
}

std::uint32_t pressure_controller::begin_request(
    std::uint64_t work_class, std::uint64_t key_hash)
{
    auto& shard = shard_of(work_class);
    const std::scoped_lock lock(shard.mutex);
    const bool is_repeat =
        key_hash != 0 && shard.keys.is_repeated(key_hash, host_clock().now());
    return shard.budgets[work_class].begin(is_repeat);
}

void pressure_controller::end_request(
    std::uint64_t work_class, std::uint32_t given, std::uint32_t left)
{
    auto& shard = shard_of(work_class);
    const std::scoped_lock lock(shard.mutex);
    shard.budgets[work_class].end(given, std::min(given, left));
}

} // namespace nutmegusher::node
