// What a change would do, before it is made.
#ifndef NUTMEGUSHER_CTL_DRY_RUN_HPP
#define NUTMEGUSHER_CTL_DRY_RUN_HPP

#include "nutmegusher/ctl/json_field.hpp"
#include "nutmegusher/messages/configuration.pb.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher::ctl
{

// One field of a class that would change.
struct field_change
{
    std::string field;
    std::string current;
    std::string proposed;
};

struct change_effect
{
    std::vector<field_change> fields;
    // Of the same service: whose requests it would take, or give to.
    std::vector<std::string> shares_requests_with;
    // By rank, as overload would.
    std::vector<std::string> refused_before;
    std::vector<std::string> refused_after;
};

// The class of this name in `GET /v1/configuration`; null where there is none.
[[nodiscard]] const json::value*
find_class(const json::value& configuration, std::string_view name);

[[nodiscard]] change_effect compute_effect(
    const messages::change& change, const json::value& configuration);

void print_effect(std::ostream& out, const change_effect& effect);

[[nodiscard]] json::value to_json(const change_effect& effect);

// The body of `POST /v1/changes`.
[[nodiscard]] json::value to_json(const messages::change& change);

} // namespace nutmegusher::ctl

#endif
