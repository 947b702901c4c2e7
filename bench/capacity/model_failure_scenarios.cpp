#include "bench/capacity/model.hpp"
#include "bench/capacity/planned_size.hpp"

namespace nutmegusher::capacity
{

// Load peaks after failures, with the spreading that reconnect delays, failover
// and relays apply.
role failure_scenarios(const slopes& measured)
{
    using namespace planned;
    const auto classes = services * classes_a_service;
    const auto full = classes * measured.configuration.full_size.slope +
                      exchange_overhead_bytes;
    const auto view = called_services * daemons / services *
                      measured.membership.reply_size.slope;
    const auto first_sync = full + view;

    const auto returning = daemons / data_centers;
    const auto own_hosts = control_hosts / data_centers;
    const auto region = daemons / regions;
    const auto other_hosts = control_hosts * (regions - 1) / regions;
    const auto failover_syncs = region / failover_seconds / other_hosts;
    const auto changed_leases = daemons / regions;
    const auto burst = busy_hour_factor * changes_a_day / (24.0 * 3600);
    const auto fan_out =
        burst * election_seconds * daemons / relays *
        (measured.configuration.delta_size.slope + exchange_overhead_bytes);
    return {
        "Bad hours",
        {{"a data centre returns: whole configurations and views from each of "
          "its control hosts",
          number_text(returning / own_hosts / reconnect_spread_seconds) +
              " daemons/s, " +
              rate_text(
                  returning / own_hosts / reconnect_spread_seconds *
                  first_sync),
          "",
          basis::assumed,
          number_text(returning) + " daemons come back over 60 s"},
         {"the same if all start within one second",
          rate_text(returning / own_hosts * first_sync),
          "",
          basis::assumed,
          "a power cut that ends: starts aren't spread, only returns are"},
         {"all daemons of a region reconnect elsewhere",
          number_text(failover_syncs) + " syncs/s at each host, " +
              core_text(failover_syncs * exchange_core_ns) + ", " +
              rate_text(failover_syncs * (view + exchange_overhead_bytes)),
          "",
          basis::assumed,
          "failover within 0.5 s; complete views, configurations are known"},
         {"leases that move with them, to each control host",
          number_text(changed_leases) + ", " +
              bytes_text(
                  changed_leases * measured.membership.exchange_size.slope) +
              ", " +
              core_text(changed_leases * measured.membership.apply_time.slope) +
              " in one second",
          "",
          basis::derived,
          "exchanges carry only what changed"},
         {"a region is cut off for an hour",
          number_text(region) + " leases kept, " +
              bytes_text(region * measured.membership.lease_memory.slope),
          "",
          basis::derived,
          "silence of an owner ends nothing for 2 h; local changes go on in "
          "each part; configuration changes only where 3 of 5 voters are"},
         {"and comes back",
          bytes_text(region * measured.membership.exchange_size.slope) +
              " to each of the other hosts from all of its own together",
          "",
          basis::derived,
          "an upper bound: every lease changed in that hour"},
         {"a control leader is lost in a burst of ten times the mean",
          number_text(burst * election_seconds) + " changes wait, then " +
              bytes_text(fan_out) + " from each relay",
          number_text(rollout_limit_seconds) + " s",
          basis::assumed,
          "resends with the same change id; election of about 1 s, then one "
          "long poll that is answered at once"},
         {"a control host is lost: its daemons turn to the others",
          number_text(daemons / relays / (relays - 1)) + " more at each",
          "",
          basis::derived,
          "rendezvous hashing spreads them over all"}}};
}

} // namespace nutmegusher::capacity
