// Measures the slopes on this machine and prints them, with their extrapolation
// to the planned size, as Markdown. docs/CAPACITY.md is made from this output.
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <string_view>

#include "bench/capacity/model.hpp"
#include "bench/capacity/slopes.hpp"

namespace
{

using namespace nutmegusher::capacity;

void print(const measurement& from)
{
    std::cout << "| " << from.what << " | " << number_text(from.slope) << ' '
              << from.unit << " | " << number_text(from.fixed) << " | ";
    for (const auto& [size, value] : from.samples)
    {
        std::cout << number_text(size) << ": " << number_text(value) << "; ";
    }
    std::cout << "|\n";
}

void print(const slopes& from)
{
    std::cout
        << "## Measured slopes\n\n| each | slope | fixed | size: value |\n"
        << "|---|---|---|---|\n";
    const auto& members = from.membership;
    const auto& claims = from.claims;
    const auto& configured = from.configuration;
    for (const auto* const each : {&members.lease_memory,
                                   &members.renewal_time,
                                   &members.expire_time,
                                   &members.idle_sync_time,
                                   &members.idle_exchange_time,
                                   &members.apply_time,
                                   &members.request_size,
                                   &members.reply_size,
                                   &members.exchange_size,
                                   &members.view_memory,
                                   &members.subset_time,
                                   &claims.finished_memory,
                                   &claims.stripped_memory,
                                   &claims.apply_time,
                                   &claims.log_size,
                                   &claims.snapshot_size,
                                   &claims.snapshot_time,
                                   &claims.ledger_memory,
                                   &claims.ledger_time,
                                   &configured.class_memory,
                                   &configured.full_size,
                                   &configured.delta_size,
                                   &configured.apply_time,
                                   &configured.update_time,
                                   &from.disk.sync_time})
    {
        print(*each);
    }
}

std::string_view to_string(basis value)
{
    switch (value)
    {
    case basis::measured:
        return "measured";
    case basis::derived:
        return "derived";
    case basis::assumed:
        break;
    }
    return "assumed";
}

void print(const role& from)
{
    std::cout << "\n## " << from.title
              << "\n\n| what | value | limit | basis | mechanism |\n"
              << "|---|---|---|---|---|\n";
    for (const auto& line : from.lines)
    {
        std::cout << "| " << line.what << " | " << line.value << " | "
                  << line.limit << " | " << to_string(line.value_basis) << " | "
                  << line.mechanism << " |\n";
    }
}

} // namespace

// The argument is a folder on the disk to measure; default is the current one.
int main(int argc, char** argv)
{
    const std::filesystem::path folder = argc > 1 ? argv[1] : ".";
    const slopes measured{
        measure_membership(),
        measure_claims(),
        measure_configuration(),
        measure_disk(folder)};
    print(measured);
    print(daemon_role(measured));
    print(relay_role(measured));
    print(voter_role(measured));
    print(claims_role(measured));
    print(failure_scenarios(measured));
    return 0;
}
