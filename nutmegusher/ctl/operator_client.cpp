#include "nutmegusher/ctl/operator_client.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <ostream>
#include <utility>

namespace nutmegusher::ctl
{
namespace
{

constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;

client_problem classify_status(unsigned status)
{
    constexpr unsigned bad_request = 400;
    constexpr unsigned not_found = 404;
    constexpr unsigned not_allowed = 405;
    constexpr unsigned unprocessable = 422;
    switch (status)
    {
    case status_conflict:
        return client_problem::conflict;
    case status_unavailable:
        return client_problem::unavailable;
    case bad_request:
    case not_found:
    case not_allowed:
    case unprocessable:
        return client_problem::invalid;
    default:
        return client_problem::refused;
    }
}

bool is_success(unsigned status)
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 299;
    return status >= first && status <= last;
}

bool is_retryable(const client_error& error)
{
    return error.problem == client_problem::no_reply ||
           error.problem == client_problem::unavailable;
}

} // namespace

exit_code exit_code_of(const client_error& error)
{
    switch (error.problem)
    {
    case client_problem::conflict:
        return exit_code::conflict;
    case client_problem::invalid:
        return exit_code::bad_usage;
    default:
        return exit_code::failed;
    }
}

operator_client::operator_client(
    std::vector<http_exchange> exchanges, const environment& env)
    : exchanges_(std::move(exchanges))
    , env_(env)
{
}

client_result operator_client::get(const std::string& target)
{
    return send_with_retries({"GET", target, ""});
}

client_result operator_client::submit_change(const std::string& body)
{
    return send_with_retries({"POST", "/v1/changes", body});
}

client_result
operator_client::post_once(const std::string& target, const std::string& body)
{
    return send({"POST", target, body});
}

client_result operator_client::send_with_retries(const http_query& query)
{
    const auto deadline = env_.now() + policy_.total_time;
    auto backoff = policy_.initial_backoff;
    auto result = send(query);
    while (!result && is_retryable(result.error()) &&
           env_.now() + backoff < deadline)
    {
        env_.error << "no answer ("
                   << (result.error().problem == client_problem::unavailable
                           ? std::string_view("unavailable")
                           : to_string(result.error().failure))
                   << "), retrying\n";
        env_.sleep(backoff);
        backoff = std::min(2 * backoff, policy_.max_backoff);
        current_exchange_ = (current_exchange_ + 1) % exchanges_.size();
        result = send(query);
    }
    return result;
}

client_result operator_client::send(const http_query& query)
{
    const auto reply = exchanges_[current_exchange_](query);
    if (!reply)
    {
        return client_error{
            client_problem::no_reply, reply.error(), 0, json::value()};
    }
    json::error_code parse_error;
    auto body = json::parse(reply->body, parse_error);
    if (!is_success(reply->status))
    {
        return client_error{
            classify_status(reply->status),
            exchange_failure::bad_reply,
            reply->status,
            parse_error ? json::value() : std::move(body)};
    }
    if (parse_error)
    {
        return client_error{
            client_problem::not_json,
            exchange_failure::bad_reply,
            reply->status,
            json::value()};
    }
    return body;
}

void print_error(std::ostream& out, const client_error& error)
{
    if (error.problem == client_problem::no_reply)
    {
        out << "error: " << to_string(error.failure) << '\n';
        return;
    }
    if (error.problem == client_problem::not_json)
    {
        out << "error: the reply isn't JSON; is this an operators' address?\n";
        return;
    }
    const auto* const nested = find_field(error.body, "error");
    const auto& from = nested == nullptr ? error.body : *nested;
    const auto problem = text_field(from, "problem");
    const auto field = text_field(from, "field");
    out << "error: "
        << (problem.empty() ? text_field(from, "verdict") : problem);
    if (!field.empty())
    {
        out << " (" << field << ')';
    }
    out << ", status " << error.status << '\n';
}

} // namespace nutmegusher::ctl
