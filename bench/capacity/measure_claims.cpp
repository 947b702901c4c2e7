#include "nutmegusher/execution/execution.hpp"
#include "nutmegusher/messages/replication.pb.h"

#include <string>

#include "bench/capacity/slopes.hpp"

namespace nutmegusher::capacity
{
namespace
{

constexpr std::size_t claim_counts_measured[] = {50'000, 100'000, 200'000};
constexpr std::size_t request_counts[] = {1000, 4000, 16'000};
constexpr std::size_t answer_body_bytes = 256;
constexpr std::uint64_t wall_ms = 1'790'000'000'000;

messages::claim_command make_command(std::size_t number)
{
    messages::claim_command out;
    out.mutable_key()->set_customer("charity-" + std::to_string(number % 500));
    out.mutable_key()->set_class_name("disbursement");
    // Pads the key to the length of a UUID.
    auto key = std::to_string(number) + "-";
    key.resize(36, 'k');
    out.mutable_key()->set_idempotency_key(key);
    out.mutable_by()->set_entry_host("upstream-host-12345");
    out.mutable_by()->set_entry_incarnation(wall_ms);
    out.mutable_by()->set_sequence(
        (wall_ms << attempt_sequence::counter_bits) + number);
    out.mutable_executor()->set_host("upstream-host-54321");
    out.mutable_executor()->set_incarnation(wall_ms);
    out.mutable_executor()->set_execution(number);
    out.set_proposed_at_ms(wall_ms);
    return out;
}

messages::claim_command make_start(std::size_t number)
{
    auto out = make_command(number);
    out.mutable_start()->set_request_digest(~0ULL - number);
    return out;
}

messages::claim_command make_finish(std::size_t number)
{
    auto out = make_command(number);
    auto& answer = *out.mutable_finish()->mutable_answer();
    answer.set_status(201);
    auto& header = *answer.add_headers();
    header.set_name("content-type");
    header.set_value("application/json");
    answer.set_body(std::string(answer_body_bytes, 'b'));
    return out;
}

claim_limits make_limits(std::uint64_t answer_bytes)
{
    constexpr std::uint64_t max_table_bytes = 8ULL << 30U;
    return {.max_bytes = max_table_bytes, .max_answer_bytes = answer_bytes};
}

std::size_t logged_bytes(const messages::claim_command& command)
{
    messages::log_entry entry;
    entry.set_index(1'000'000'000);
    entry.set_term(1000);
    *entry.mutable_claim() = command;
    return entry.ByteSizeLong() + 4;
}

void measure_table(claim_slopes& out)
{
    constexpr std::uint64_t all = ~0ULL;
    std::vector<sample> memory;
    std::vector<sample> apply;
    std::vector<sample> logged;
    std::vector<sample> snapshot;
    std::vector<sample> snapshot_ns;
    for (const auto claims : claim_counts_measured)
    {
        const auto size = static_cast<double>(claims);
        std::vector<messages::claim_command> commands;
        commands.reserve(2 * claims);
        std::size_t bytes = 0;
        for (std::size_t number = 0; number < claims; ++number)
        {
            commands.push_back(make_start(number));
            bytes += logged_bytes(commands.back());
            commands.push_back(make_finish(number));
            bytes += logged_bytes(commands.back());
        }
        logged.push_back({size, static_cast<double>(bytes)});
        const auto before = allocated_bytes();
        claim_table table(make_limits(all));
        apply.push_back(
            {size,
             measure_nanoseconds(
                 [&]
                 {
                     for (const auto& command : commands)
                     {
                         do_not_optimize(table.apply(command));
                     }
                 })});
        memory.push_back(
            {size, static_cast<double>(allocated_bytes() - before)});
        std::string content;
        snapshot_ns.push_back(
            {size,
             measure_nanoseconds(
                 [&]
                 {
                     content = table.snapshot();
                 })});
        snapshot.push_back({size, static_cast<double>(content.size())});
    }
    out.finished_memory = fit("finished claim, answer kept", "bytes", memory);
    out.apply_time = fit("claim applied, start and finish", "ns", apply);
    out.log_size = fit("claim in the log, both entries", "bytes", logged);
    out.snapshot_size = fit("claim in a snapshot", "bytes", snapshot);
    out.snapshot_time = fit("claim written to a snapshot", "ns", snapshot_ns);
}

void measure_stripped(claim_slopes& out)
{
    std::vector<sample> memory;
    for (const auto claims : claim_counts_measured)
    {
        const auto before = allocated_bytes();
        claim_table table(make_limits(0));
        for (std::size_t number = 0; number < claims; ++number)
        {
            table.apply(make_start(number));
            table.apply(make_finish(number));
        }
        memory.push_back(
            {static_cast<double>(claims),
             static_cast<double>(allocated_bytes() - before)});
    }
    out.stripped_memory = fit("finished claim, body dropped", "bytes", memory);
}

void measure_ledger(claim_slopes& out)
{
    std::vector<sample> memory;
    std::vector<sample> time;
    for (const auto count : request_counts)
    {
        const auto size = static_cast<double>(count);
        const request_context context{
            .rank = 0,
            .deadline = time_point(std::chrono::seconds(1)),
            .customer = customer_id("charity-123"),
            .work_class = class_name("disbursement")};
        const auto before = allocated_bytes();
        request_ledger ledger;
        std::vector<request_ledger::running_request> running;
        running.reserve(count);
        for (std::size_t number = 0; number < count; ++number)
        {
            running.push_back(ledger.open(
                request_id("0123456789abcdef-" + std::to_string(number)),
                context,
                retry_tokens::mint(2)));
        }
        memory.push_back(
            {size, static_cast<double>(allocated_bytes() - before)});
        const request_id id("0123456789abcdef-more");
        time.push_back(
            {size,
             measure_nanoseconds(
                 [&]
                 {
                     for (std::size_t turn = 0; turn < count; ++turn)
                     {
                         auto one =
                             ledger.open(id, context, retry_tokens::mint(2));
                         do_not_optimize(ledger.begin_sub_call(id, 1));
                         do_not_optimize(one.finish().count());
                     }
                 })});
    }
    out.ledger_memory = fit("running request in the ledger", "bytes", memory);
    out.ledger_time = fit("request with one sub-call", "ns", time);
}

} // namespace

claim_slopes measure_claims()
{
    claim_slopes out;
    measure_table(out);
    measure_stripped(out);
    measure_ledger(out);
    return out;
}

} // namespace nutmegusher::capacity
