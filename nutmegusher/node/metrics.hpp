// Counts and times of one daemon, by class. Safe from every thread.
#ifndef NUTMEGUSHER_NODE_METRICS_HPP
#define NUTMEGUSHER_NODE_METRICS_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/call.hpp"

#include <boost/json/value.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace nutmegusher::node
{

// Where in this process a call was seen.
enum class call_side : std::uint8_t
{
    entry,   // from a member, a clerk or the own upstream
    upstream // for the own upstream
};

class metrics
{
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    // A whole answer. `tries`: how many it took at this hop.
    void completed(
        call_side side,
        const class_name& name,
        duration latency,
        std::uint32_t tries);

    // A call that was given up on.
    void refused(
        call_side side,
        const class_name& name,
        call_reason reason,
        call_outcome result,
        std::uint32_t tries);

    // The usual text exposition format.
    [[nodiscard]] std::string exposition() const;

    [[nodiscard]] boost::json::value dump() const;

private:
    struct shard;
    // Classes are spread over the shards, each with a lock of its own.
    static constexpr std::size_t shard_count = 8;

    shard& shard_of(const class_name& name) const;

    std::array<std::unique_ptr<shard>, shard_count> shards_;
};

} // namespace nutmegusher::node

#endif
