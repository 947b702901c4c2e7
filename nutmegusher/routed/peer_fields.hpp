// How the terms of a routed call and the word of an upstream's daemon stand in
// the fields of a stream between daemons.
//
// All of a call's numbers share one field, and so do those of the word: a field
// of its own for each would cost more bytes between data centres than it holds.
#ifndef NUTMEGUSHER_ROUTED_PEER_FIELDS_HPP
#define NUTMEGUSHER_ROUTED_PEER_FIELDS_HPP

#include "nutmegusher/policy/policy.hpp"
#include "nutmegusher/routed/routed_call.hpp"

#include <optional>
#include <vector>

namespace nutmegusher::routed
{

// What the daemon beside the upstream told with an answer or a failure.
struct upstream_load_report
{
    upstream_load load;
    // What its service and those below want turned away at the entry.
    std::vector<shed_level> shed;
    // Only upstreams call the route.
    bool is_sub_call = false;
};

void add_metadata(const call_metadata& metadata, wire::headers& to);

[[nodiscard]] bool has_metadata(const wire::headers& fields);

// Nothing where a field is missing or malformed.
[[nodiscard]] std::optional<call_metadata>
parse_metadata(const wire::headers& from);

// Levels and shares travel in thousandths, times in whole microseconds.
void add_load_report(const upstream_load_report& value, wire::headers& to);

// Nothing where no word came, or a malformed one.
[[nodiscard]] std::optional<upstream_load_report>
parse_load_report(const wire::headers& from);

// "nutmeg-ended: upstream ran-for-milliseconds".
void add_crashed_upstream(const crashed_upstream& crashed, wire::headers& to);

// Nothing where none came, or a malformed one.
[[nodiscard]] std::optional<crashed_upstream>
parse_crashed_upstream(const wire::headers& from);

// The fields of the caller or the upstream, without the daemons' own.
[[nodiscard]] wire::headers without_own_fields(const wire::headers& fields);

} // namespace nutmegusher::routed

#endif
