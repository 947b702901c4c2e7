// Converts between the JSON of the operator API and protobuf messages. Errors
// name the invalid field.
#ifndef NUTMEGUSHER_NODE_JSON_MESSAGES_HPP
#define NUTMEGUSHER_NODE_JSON_MESSAGES_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/configuration.pb.h"
#include "nutmegusher/messages/execution.pb.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegusher::node
{

namespace json = boost::json;

enum class json_problem : std::uint8_t
{
    not_json,
    not_an_object,
    unknown_field,
    missing_field,
    wrong_type,
    out_of_range
};

// Why a JSON text is rejected. `field` is a path such as "declare.target".
struct json_error
{
    json_problem problem = json_problem::not_json;
    std::string field;
};

[[nodiscard]] std::string_view to_string(json_problem problem);

// Returns {"error": {"problem": ..., "field": ...}}.
[[nodiscard]] json::value to_json(const json_error& error);

// Parses the JSON of a configuration change.
// Errors: `json_error`.
[[nodiscard]] leaf::result<messages::change>
parse_change(std::string_view text);

[[nodiscard]] json::value to_json(const messages::work_class& from);
[[nodiscard]] json::value to_json(const messages::configuration& from);
[[nodiscard]] json::value to_json(const messages::change& from);
[[nodiscard]] json::value to_json(const messages::change_result& from);

[[nodiscard]] std::string_view to_string(messages::change_verdict verdict);
[[nodiscard]] std::string_view to_string(messages::change_problem problem);

} // namespace nutmegusher::node

#endif
