// Encoding of a routed call's metadata and of an upstream's load report as
// header fields of a stream between daemons.
//
// All numbers of a call share one field, and so do those of a load report: one
// field for each number would cost more bytes between data centres than the
// number itself.
#ifndef NUTMEGUSHER_ROUTED_PEER_FIELDS_HPP
#define NUTMEGUSHER_ROUTED_PEER_FIELDS_HPP

#include "nutmegusher/policy/policy.hpp"
#include "nutmegusher/routed/routed_call.hpp"

#include <optional>
#include <vector>

namespace nutmegusher::routed
{

// What the daemon beside the upstream reports with an answer or a failure.
struct upstream_load_report
{
    upstream_load load;
    // Shed levels of the upstream's service and of the services that it calls.
    std::vector<shed_level> shed;
    // Whether only upstreams call the route.
    bool is_sub_call = false;
};

void add_metadata(const call_metadata& metadata, wire::headers& to);

[[nodiscard]] bool has_metadata(const wire::headers& fields);

// Returns nullopt if a field is missing or malformed.
[[nodiscard]] std::optional<call_metadata>
parse_metadata(const wire::headers& from);

// Levels and error rates are sent in thousandths, times in whole microseconds.
void add_load_report(const upstream_load_report& value, wire::headers& to);

// Returns nullopt if there is no load report or it is malformed.
[[nodiscard]] std::optional<upstream_load_report>
parse_load_report(const wire::headers& from);

// "nutmeg-ended: upstream ran-for-milliseconds".
void add_crashed_upstream(const crashed_upstream& crashed, wire::headers& to);

// Returns nullopt if the field is missing or malformed.
[[nodiscard]] std::optional<crashed_upstream>
parse_crashed_upstream(const wire::headers& from);

// The fields of the caller or the upstream, without those that daemons add.
[[nodiscard]] wire::headers without_own_fields(wire::headers fields);

} // namespace nutmegusher::routed

#endif
