// Sends a command's queries and retries them where that is safe.
#ifndef NUTMEGUSHER_CTL_OPERATOR_CLIENT_HPP
#define NUTMEGUSHER_CTL_OPERATOR_CLIENT_HPP

#include "nutmegusher/ctl/json_field.hpp"
#include "nutmegusher/ctl/run.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegusher::ctl
{

// How long a query is retried, and with which exponential backoff.
struct retry_policy
{
    // Longer than the election of a new leader, resends included.
    duration total_time = std::chrono::seconds(15);
    duration initial_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::seconds(2);
};

enum class client_problem : std::uint8_t
{
    no_reply,    // `failure` says why; a change may have been accepted
    unavailable, // 503
    conflict,    // 409
    invalid,     // 400, 404, 405 or 422
    not_json,    // a reply that isn't JSON
    refused      // any other status that isn't 2xx
};

// A failed query.
struct client_error
{
    client_problem problem = client_problem::no_reply;
    exchange_failure failure = exchange_failure::unreachable;
    unsigned status = 0;
    // The reply's body if it was JSON, null otherwise.
    json::value body;
};

using client_result = outcome<json::value, client_error>;

[[nodiscard]] exit_code exit_code_of(const client_error& error);

// Sends queries to one or more addresses of the same deployment. Each
// retry goes to the next address.
class operator_client
{
public:
    // Requires: at least one exchange.
    operator_client(
        std::vector<http_exchange> exchanges, const environment& env);

    // Retried as `retry_policy` says, since it changes nothing.
    client_result get(const std::string& target);

    // Retried alike, since it is idempotent: `body` holds a change id, by which
    // the system recognizes a resend and repeats its first answer.
    client_result submit_change(const std::string& body);

    // Never retried: a second request could have a further effect.
    client_result post_once(const std::string& target, const std::string& body);

private:
    client_result send_with_retries(const http_query& query);
    client_result send(const http_query& query);

    std::vector<http_exchange> exchanges_;
    std::size_t current_exchange_ = 0;
    const environment& env_;
    retry_policy policy_;
};

// Prints the error as one line for the operator.
void print_error(std::ostream& out, const client_error& error);

} // namespace nutmegusher::ctl

#endif
