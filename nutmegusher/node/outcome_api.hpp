// The operators' API for the outcomes of calls that aren't repeatable.
#ifndef NUTMEGUSHER_NODE_OUTCOME_API_HPP
#define NUTMEGUSHER_NODE_OUTCOME_API_HPP

#include "nutmegusher/node/json_messages.hpp"
#include "nutmegusher/node/worker.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace nutmegusher::node
{

// HTTP status and body.
using outcome_answer = std::pair<unsigned, json::value>;

// `GET /v1/outcome?customer=&class=&key=`: looks up the outcome of a call.
asio::awaitable<outcome_answer>
look_up_outcome(worker& owner, std::string_view target);

// `POST /v1/outcome`: settles a claim whose executor has stopped permanently.
asio::awaitable<outcome_answer> settle_outcome(worker& owner, std::string body);

// Parses the body of `POST /v1/outcome`; the command's `proposed_at_ms` is left
// unset.
// Errors: `json_error`.
[[nodiscard]] leaf::result<messages::claim_command>
parse_settlement(std::string_view text);

// Formats the body of `GET /v1/outcome`.
[[nodiscard]] json::value outcome_json(const messages::claim_result& result);

} // namespace nutmegusher::node

#endif
