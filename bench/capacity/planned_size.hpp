// The deployment size planned for in two years, and the assumptions behind it.
#ifndef NUTMEGUSHER_BENCH_CAPACITY_PLANNED_SIZE_HPP
#define NUTMEGUSHER_BENCH_CAPACITY_PLANNED_SIZE_HPP

namespace nutmegusher::capacity::planned
{

// Stated by the users.
inline constexpr double daemons = 16'000;
inline constexpr double services = 990;
inline constexpr double calls_a_second = 1.4e6;
inline constexpr double data_centers = 8;
inline constexpr double regions = 3;
inline constexpr double changes_a_day = 18'000;
inline constexpr double rollout_limit_seconds = 4;
inline constexpr double node_core_share = 0.011;
inline constexpr double node_memory = 64e6;
inline constexpr double node_bytes_a_second = 26e3;
inline constexpr double control_hosts = 23;
inline constexpr double failures_a_day = 52;
inline constexpr double restarts_a_day = 2200;

// Layout of the control hosts.
inline constexpr double voters = 5;
inline constexpr double relays = control_hosts - voters;
inline constexpr double claim_replicas = 3;

// Default settings of the daemon.
inline constexpr double syncs_a_second = 1;
inline constexpr double exchanges_a_second = 10;
inline constexpr double heartbeats_a_second = 20;
inline constexpr double pings_a_second_busy = 2;
inline constexpr double subset_size = 20;
inline constexpr double lease_seconds = 6;
// A pass is scheduled for the lease that expires next. As that lease is renewed
// every sync, passes are a lease time minus one sync interval apart.
inline constexpr double expiry_passes_a_second =
    1 / (lease_seconds - 1 / syncs_a_second);
inline constexpr double failover_seconds = 0.5;
inline constexpr double reconnect_spread_seconds = 60;
inline constexpr double retention_seconds = 24.0 * 3600;
inline constexpr double table_bytes = 1024.0 * 1024 * 1024;
inline constexpr double claim_groups = 4;

// Assumed.
inline constexpr double share_not_repeatable = 0.05;
inline constexpr double called_services = 4;
inline constexpr double classes_a_service = 3;
inline constexpr double busy_hour_factor = 10;
// Headers, frames and packets of one exchange, both ways.
inline constexpr double exchange_overhead_bytes = 440;
// A PING and its acknowledgement with packet headers.
inline constexpr double ping_bytes = 138;
// Processor time of one exchange on an open HTTP/2 connection, at each end.
inline constexpr double exchange_core_ns = 60e3;
inline constexpr double connection_memory = 30e3;
inline constexpr double idle_process_memory = 12e6;
inline constexpr double relay_claims_memory = 16e9;
// From the loss of a leader to the next accepted entry.
inline constexpr double election_seconds = 1;
// Claims in one durable batch.
inline constexpr double claims_a_batch = 64;

} // namespace nutmegusher::capacity::planned

#endif
