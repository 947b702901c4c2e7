// Computes and prints the effect of a change for `--dry-run`.
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

// A field of a class whose value would change, with both values.
struct field_change
{
    std::string field;
    std::string current;
    std::string proposed;
};

// The difference that a change would make.
struct change_effect
{
    std::vector<field_change> fields;
    // Classes of the same service whose method and path prefix overlap those
    // of the changed class: requests would move between them.
    std::vector<std::string> shares_requests_with;
    // Classes of higher and of lower rank number, which overload refuses
    // before and after the changed class.
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
