// What a command asks of the processes, with resends where they are safe.
#ifndef NUTMEGUSHER_CTL_OPERATOR_CLIENT_HPP
#define NUTMEGUSHER_CTL_OPERATOR_CLIENT_HPP

#include "nutmegusher/ctl/json_field.hpp"
#include "nutmegusher/ctl/run.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegusher::ctl
{

// How long a query is repeated, and with what pauses.
struct retry_policy
{
    // Longer than an election of a new leader with its resends.
    duration total_time = std::chrono::seconds(15);
    duration initial_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::seconds(2);
};

enum class client_problem : std::uint8_t
{
    no_reply,    // see `failure`; a change may have been accepted
    unavailable, // 503
    conflict,    // 409
    invalid,     // 400, 404, 405 or 422
    not_json,    // a reply that isn't JSON
    refused      // another status
};

struct client_error
{
    client_problem problem = client_problem::no_reply;
    exchange_failure failure = exchange_failure::unreachable;
    unsigned status = 0;
    // The reply's body where it was JSON.
    json::value body;
};

using client_result = outcome<json::value, client_error>;

[[nodiscard]] exit_code exit_code_of(const client_error& error);

// One or more addresses of the same deployment; the next one is used where one
// doesn't answer.
class operator_client
{
public:
    // Requires: at least one exchange.
    operator_client(
        std::vector<http_exchange> exchanges, const environment& env);

    // Resent until it is answered, since it changes nothing.
    client_result get(const std::string& target);

    // Resent until it is answered: `body` has a change id, by which the system
    // knows the resend and gives the first answer again.
    client_result submit_change(const std::string& body);

    // Sent once: a second one could have another effect.
    client_result post_once(const std::string& target, const std::string& body);

private:
    client_result send_with_retries(const http_query& query);
    client_result send(const http_query& query);

    std::vector<http_exchange> exchanges_;
    std::size_t current_exchange_ = 0;
    const environment& env_;
    retry_policy policy_;
};

// Writes what went wrong, for a person.
void print_error(std::ostream& out, const client_error& error);

} // namespace nutmegusher::ctl

#endif
