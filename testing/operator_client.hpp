// Client of the operators' interface: declares classes, sets targets, reads the
// configuration in force.
#ifndef NUTMEGUSHER_TESTING_OPERATOR_CLIENT_HPP
#define NUTMEGUSHER_TESTING_OPERATOR_CLIENT_HPP

#include "testing/http_client.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher::test_support
{

// A class declaration.
struct declared_class
{
    std::string name;
    std::string service;
    std::string method = "GET";
    std::string path_prefix = "/";
    std::uint32_t rank = 1;
    bool repeatable = true;
    bool bulk = false;
    std::uint32_t latency_ms = 2000;
    std::uint32_t completion_ppm = 999'000;
};

enum class change_outcome : std::uint8_t
{
    accepted,
    conflict,
    invalid,
    unavailable, // 503: resend with the same id
    no_answer    // no reply: resend with the same id
};

struct change_answer
{
    change_outcome outcome = change_outcome::no_answer;
    std::uint64_t revision = 0;
};

// The JSON of a change.
[[nodiscard]] std::string declaration(
    std::string_view change_id,
    std::uint64_t based_on,
    const declared_class& declared);
[[nodiscard]] std::string target_change(
    std::string_view change_id,
    std::uint64_t based_on,
    std::string_view class_name,
    std::uint32_t latency_ms);

// Sends one change to one control host, once.
[[nodiscard]] change_answer send_change(
    const std::string& operators_address,
    const std::string& change,
    std::chrono::milliseconds timeout = std::chrono::seconds(5));

// Sends a change to the control hosts in turn, always with the same id, until
// it is accepted or definitely refused. `no_answer` after `limit`.
[[nodiscard]] change_answer settle_change(
    const std::vector<std::string>& operators_addresses,
    const std::string& change,
    std::chrono::milliseconds limit = std::chrono::seconds(30));

// The configuration that a process reports.
struct configuration_in_force
{
    std::uint64_t revision = 0;
    // Target latency, ms, by class.
    std::map<std::string, std::uint32_t, std::less<>> targets;
};

[[nodiscard]] std::optional<configuration_in_force> configuration_of(
    const std::string& operators_address,
    std::chrono::milliseconds timeout = std::chrono::seconds(2));

} // namespace nutmegusher::test_support

#endif
