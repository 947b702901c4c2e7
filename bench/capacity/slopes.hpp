// Measured costs, each as a slope over a size.
#ifndef NUTMEGUSHER_BENCH_CAPACITY_SLOPES_HPP
#define NUTMEGUSHER_BENCH_CAPACITY_SLOPES_HPP

#include <filesystem>

#include "bench/capacity/measurement.hpp"

namespace nutmegusher::capacity
{

struct membership_slopes
{
    measurement lease_memory;       // bytes, by leases in a registry
    measurement renewal_time;       // ns, by renewals
    measurement expire_time;        // ns of one pass, by leases
    measurement idle_sync_time;     // ns, by syncs without news
    measurement idle_exchange_time; // ns per second of exchanges without news,
                                    // by leases
    measurement apply_time;         // ns, by leases of another control host
    measurement request_size;       // bytes of a sync request, by services
    measurement reply_size;         // bytes of a complete reply, by upstreams
    measurement exchange_size;      // bytes of an exchange, by changed leases
    measurement view_memory;        // bytes, by upstreams in a view
    measurement subset_time; // ns of one choice, by upstreams of a service
};

struct claim_slopes
{
    measurement finished_memory; // bytes, by finished claims with answers
    measurement stripped_memory; // bytes, by finished claims without bodies
    measurement apply_time;      // ns, by claims (a start and a finish)
    measurement log_size;        // bytes in the log, by claims
    measurement snapshot_size;   // bytes, by finished claims with answers
    measurement snapshot_time;   // ns, by finished claims with answers
    measurement ledger_memory;   // bytes, by running requests
    measurement ledger_time;     // ns, by requests with one sub-call
};

struct configuration_slopes
{
    measurement class_memory; // bytes in a daemon, by classes
    measurement full_size;    // bytes of a whole configuration, by classes
    measurement delta_size;   // bytes of a delta, by changes
    measurement apply_time;   // ns at a control host, by changes
    measurement update_time;  // ns at a daemon for one change, by classes
};

struct disk_slopes
{
    measurement sync_time; // ns of one durable batch, by claims in it
};

[[nodiscard]] membership_slopes measure_membership();
[[nodiscard]] claim_slopes measure_claims();
[[nodiscard]] configuration_slopes measure_configuration();

// Writes and removes a file of a few MB in `folder`.
[[nodiscard]] disk_slopes measure_disk(const std::filesystem::path& folder);

struct slopes
{
    membership_slopes membership;
    claim_slopes claims;
    configuration_slopes configuration;
    disk_slopes disk;
};

} // namespace nutmegusher::capacity

#endif
