// Request counters and latency histograms of one daemon, per class.
// Thread-safe.
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
#include <string_view>

namespace nutmegusher::node
{

// The side of the daemon on which a call is counted.
enum class call_side : std::uint8_t
{
    entry,   // from a member, a clerk or the upstream on this host
    upstream // to the upstream on this host
};

[[nodiscard]] std::string_view to_string(call_side side);

// What a request was doing when its caller left, or when the process gave it
// up.
enum class request_phase : std::uint8_t
{
    admission, // waiting at the entry, not yet sent to any upstream
    queued,    // waiting for a slot of the upstream
    running,   // sent, and its answer isn't read as far as it is buffered
    answering  // its answer is being forwarded
};

[[nodiscard]] std::string_view to_string(request_phase phase);

class metrics
{
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    // Counts a call with a complete answer after `tries` tries at this hop.
    void completed(
        call_side side,
        const class_name& name,
        duration latency,
        std::uint32_t tries);

    // Counts a call that was refused or given up on.
    void refused(
        call_side side,
        const class_name& name,
        call_reason reason,
        call_outcome result,
        std::uint32_t tries);

    // Counts a call whose caller left. `ended_after`: from the moment at which
    // this process could know to the end of its work on the call.
    void cancelled(
        call_side side,
        const class_name& name,
        request_phase phase,
        duration ended_after);

    // All metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string exposition() const;

    [[nodiscard]] boost::json::value dump() const;

private:
    struct shard;
    // Classes are distributed over shards with a mutex each, to reduce lock
    // contention.
    static constexpr std::size_t shard_count = 8;

    shard& shard_of(const class_name& name) const;

    std::array<std::unique_ptr<shard>, shard_count> shards_;
};

} // namespace nutmegusher::node

#endif
