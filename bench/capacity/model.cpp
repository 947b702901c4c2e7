#include "bench/capacity/model.hpp"

#include <cstdio>

#include "bench/capacity/planned_size.hpp"

namespace nutmegusher::capacity
{
namespace
{

using namespace planned;

constexpr double seconds_a_day = 24.0 * 3600;
constexpr double nanoseconds_a_second = 1e9;

double changes_a_second()
{
    return changes_a_day / seconds_a_day;
}

double classes()
{
    return services * classes_a_service;
}

// Upstreams in the view of one daemon: all upstreams of the services it calls.
double viewed_upstreams()
{
    return called_services * daemons / services;
}

double connections()
{
    // On average a daemon is called by as many daemons as it calls.
    return 2 * viewed_upstreams();
}

double daemons_a_relay()
{
    return daemons / relays;
}

double sync_bytes(const slopes& measured)
{
    return measured.membership.request_size.fixed +
           called_services * measured.membership.request_size.slope +
           measured.membership.reply_size.fixed + exchange_overhead_bytes;
}

// Leases that start, end or change per second.
double lease_changes_a_second()
{
    // A restart changes three: a leaving record, the lease's end and a new
    // lease.
    return (3 * restarts_a_day + failures_a_day) / seconds_a_day;
}

double claims_a_second()
{
    return calls_a_second * share_not_repeatable;
}

std::string format(const char* pattern, double value)
{
    constexpr std::size_t max_length = 48;
    char text[max_length];
    std::snprintf(text, sizeof(text), pattern, value);
    return text;
}

} // namespace

std::string number_text(double value)
{
    return format(value < 10 ? "%.2g" : "%.0f", value);
}

std::string bytes_text(double bytes)
{
    constexpr double step = 1000;
    const char* const units[] = {" B", " KB", " MB", " GB", " TB", " PB"};
    std::size_t unit = 0;
    while (bytes >= step && unit + 1 < std::size(units))
    {
        bytes /= step;
        ++unit;
    }
    return format(bytes < 10 ? "%.1f" : "%.0f", bytes) + units[unit];
}

std::string rate_text(double bytes_a_second)
{
    return bytes_text(bytes_a_second) + "/s";
}

std::string core_text(double nanoseconds)
{
    return format("%.3f", 100 * nanoseconds / nanoseconds_a_second) +
           "% of a core";
}

role daemon_role(const slopes& measured)
{
    const auto view =
        viewed_upstreams() * measured.membership.view_memory.slope;
    const auto configuration =
        classes() * measured.configuration.class_memory.slope;
    // Two configurations: the one in force and the next one while it is
    // applied.
    const auto memory = idle_process_memory + view + 2 * configuration +
                        connections() * connection_memory;
    const auto deltas =
        changes_a_second() *
        (measured.configuration.delta_size.slope + exchange_overhead_bytes);
    const auto news =
        called_services / services * lease_changes_a_second() *
        (measured.membership.reply_size.slope + exchange_overhead_bytes);
    const auto syncs = syncs_a_second * sync_bytes(measured);
    const auto pings = ping_bytes * pings_a_second_busy;
    const auto update_ns =
        changes_a_second() *
        (measured.configuration.update_time.slope * classes() +
         exchange_core_ns);
    const auto busy = syncs_a_second * exchange_core_ns + update_ns;
    return {
        "A daemon",
        {{"upstreams in its view",
          number_text(viewed_upstreams()) + ", " + bytes_text(view),
          "",
          basis::assumed,
          "only services that its own upstream calls; subsets of 20"},
         {"configuration, two revisions while one is taken",
          bytes_text(2 * configuration),
          "",
          basis::assumed,
          "deltas by revision, one immutable snapshot"},
         {"memory",
          bytes_text(memory),
          bytes_text(node_memory),
          basis::assumed,
          "with " + number_text(connections()) + " connections"},
         {"syncs, leases and reports",
          rate_text(syncs),
          "",
          basis::assumed,
          "one long poll a second to one control host"},
         {"changes of configuration and of upstreams",
          rate_text(deltas + news),
          "",
          basis::assumed,
          "only what changed"},
         {"control traffic",
          rate_text(syncs + deltas + news + pings),
          rate_text(node_bytes_a_second),
          basis::assumed,
          "with PINGs on the control connection"},
         {"PINGs on all connections at once, where each has an open stream",
          rate_text(connections() * pings),
          rate_text(node_bytes_a_second),
          basis::assumed,
          "upper bound: traffic replaces PINGs, idle ones ping every 10 s"},
         {"processor for control",
          core_text(busy),
          core_text(node_core_share * nanoseconds_a_second),
          basis::assumed,
          "of it for changes " + core_text(update_ns)},
         {"retry tokens and deadlines of a request",
          number_text(measured.claims.ledger_time.slope) + " ns, " +
              bytes_text(measured.claims.ledger_memory.slope),
          "",
          basis::measured,
          "request ledger, 16 shards"}}};
}

role relay_role(const slopes& measured)
{
    const auto registry = daemons * measured.membership.lease_memory.slope;
    const auto syncs = daemons_a_relay() * syncs_a_second;
    const auto exchanges = (control_hosts - 1) * exchanges_a_second;
    const auto registry_time =
        syncs * (measured.membership.renewal_time.slope +
                 measured.membership.idle_sync_time.slope) +
        daemons *
            (expiry_passes_a_second * measured.membership.expire_time.slope +
             measured.membership.idle_exchange_time.slope);
    const auto wire_time = (syncs + 2 * exchanges) * exchange_core_ns;
    const auto fan_out =
        changes_a_second() * daemons_a_relay() *
        (measured.configuration.delta_size.slope + exchange_overhead_bytes);
    const auto exchange_bytes =
        2 * exchanges *
        (measured.membership.exchange_size.fixed + exchange_overhead_bytes);
    return {
        "A control host as a relay (18 of 23)",
        {{"daemons that sync with it",
          number_text(daemons_a_relay()),
          "",
          basis::derived,
          "rendezvous hashing, own data centre first"},
         {"registry of all leases",
          bytes_text(registry),
          "",
          basis::derived,
          "leases owned here, changes of the others"},
         {"processor, registry",
          core_text(registry_time),
          "",
          basis::derived,
          "renewals, expiry passes, quiet exchanges"},
         {"processor, exchanges on the wire",
          core_text(wire_time),
          "",
          basis::assumed,
          number_text(syncs + 2 * exchanges) + " exchanges a second"},
         {"syncs",
          rate_text(syncs * sync_bytes(measured)),
          "",
          basis::assumed,
          "long polls"},
         {"exchanges with 22 control hosts, both ways",
          rate_text(exchange_bytes),
          "",
          basis::assumed,
          "ten a second with each; only changes"},
         {"configuration to its daemons",
          rate_text(fan_out),
          "",
          basis::assumed,
          number_text(changes_a_second()) + " changes a second in the mean"}}};
}

role voter_role(const slopes& measured)
{
    const auto members = control_hosts - 1;
    const auto heartbeats = members * heartbeats_a_second;
    const auto apply =
        changes_a_second() * measured.configuration.apply_time.slope;
    return {
        "A control host as a voter of the configuration (5 of 23)",
        {{"changes a second, mean and ten times that",
          number_text(changes_a_second()) + ", " +
              number_text(busy_hour_factor * changes_a_second()),
          "",
          basis::assumed,
          "one log, majority of 3 of 5 in 3 regions"},
         {"whole configuration",
          bytes_text(classes() * measured.configuration.full_size.slope),
          "",
          basis::assumed,
          "for daemons that are too far behind"},
         {"processor, applying changes",
          core_text(apply),
          "",
          basis::derived,
          "configuration store"},
         {"leader: heartbeats to 4 voters and 18 learners",
          number_text(heartbeats) + "/s, " +
              core_text(2 * heartbeats * exchange_core_ns),
          "",
          basis::assumed,
          "every 50 ms; learners could do with fewer"},
         {"durable batch of one change",
          format("%.2f ms", measured.disk.sync_time.fixed / 1e6),
          "",
          basis::measured,
          "one sync a batch, on this machine's disk"}}};
}

role claims_role(const slopes& measured)
{
    const auto claims = claims_a_second();
    const auto claims_per_host = claims * claim_replicas / control_hosts;
    const auto kept = claims_per_host * retention_seconds;
    const auto table_claims =
        claim_groups * table_bytes / measured.claims.stripped_memory.slope;
    const auto batch_seconds =
        (measured.disk.sync_time.fixed +
         claims_a_batch * measured.disk.sync_time.slope) /
        nanoseconds_a_second;
    const auto host_claims =
        relay_claims_memory / measured.claims.stripped_memory.slope;
    const auto hours = host_claims / claims_per_host / 3600;
    return {
        "Claims: calls that may not be repeated",
        {{"claims a second, all and on each host",
          number_text(claims) + ", " + number_text(claims_per_host),
          "",
          basis::assumed,
          "5% of the calls; 3 replicas on 23 hosts, groups led evenly"},
         {"memory of a finished claim, with its answer and without body",
          bytes_text(measured.claims.finished_memory.slope) + ", " +
              bytes_text(measured.claims.stripped_memory.slope),
          "",
          basis::measured,
          "claim table"},
         {"log of a claim, two entries",
          bytes_text(measured.claims.log_size.slope),
          "",
          basis::measured,
          "with an answer of 256 B"},
         {"log written on each host",
          rate_text(claims_per_host * measured.claims.log_size.slope),
          "",
          basis::assumed,
          "group commit"},
         {"processor, applying",
          core_text(claims_per_host * measured.claims.apply_time.slope),
          "",
          basis::assumed,
          "on each host"},
         {"processor, exchanges on the wire at the leaders",
          core_text(2 * claims / control_hosts * exchange_core_ns),
          "",
          basis::assumed,
          "a start and a finish, not batched; a daemon that sends several in "
          "one exchange divides this"},
         {"claims a second of one group, 64 in a batch",
          number_text(claims_a_batch / batch_seconds),
          "",
          basis::measured,
          "so " + number_text(claims / (claims_a_batch / batch_seconds)) +
              " groups at the least, on this machine's disk"},
         {"keys on each host for 24 h",
          number_text(kept) + ", " +
              bytes_text(kept * measured.claims.stripped_memory.slope),
          "NOT KEPT",
          basis::assumed,
          "all keys in memory; see the changes below"},
         {"hours that 16 GB a host hold",
          format("%.1f", hours),
          "24",
          basis::assumed,
          "the same"},
         {"claims a second that four groups of 1 GB hold for 24 h",
          number_text(table_claims / retention_seconds),
          number_text(claims),
          basis::derived,
          "as it ships; above it new keys are refused, none is forgotten"},
         {"snapshot of 1 GB of claims",
          bytes_text(
              table_bytes / measured.claims.finished_memory.slope *
              measured.claims.snapshot_size.slope) +
              ", " +
              format(
                  "%.1f s",
                  table_bytes / measured.claims.finished_memory.slope *
                      measured.claims.snapshot_time.slope /
                      nanoseconds_a_second),
          "",
          basis::derived,
          "written in one go: the group stands still so long"}}};
}

} // namespace nutmegusher::capacity
