// The replicated table of claims, which allows at most one execution per key.
#ifndef NUTMEGUSHER_EXECUTION_CLAIM_TABLE_HPP
#define NUTMEGUSHER_EXECUTION_CLAIM_TABLE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/execution.pb.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace nutmegusher
{

// Limits of a claim table. All replicas of a group must use the same limits,
// since verdicts depend on them; a snapshot includes them.
struct claim_limits
{
    // How long a finished key is kept with its answer, in log time.
    std::uint64_t retention_ms = 24ULL * 60 * 60 * 1000;
    // How long a fence is kept. A start by an attempt older than this is
    // refused, so that a late start is never granted because its fence was
    // removed.
    std::uint64_t attempt_lifetime_ms = 60ULL * 60 * 1000;
    // A new key is refused if it would take the estimated size of the table
    // above this. A finished key is never removed early, since it could then
    // execute twice.
    std::uint64_t max_bytes = 1024ULL * 1024 * 1024;
    // When all answers together exceed this, the oldest ones lose their headers
    // and bodies; their keys stay.
    std::uint64_t max_answer_bytes = 64ULL * 1024 * 1024;
    std::uint64_t max_fences = 1'000'000;
    // One command advances the log time by at most this much, so that a single
    // proposer with a wrong clock can't end the retention of all keys at once.
    std::uint64_t max_time_step_ms = 10'000;

    friend bool operator==(const claim_limits&, const claim_limits&) = default;
};

// Statistics of a claim table, for the dump.
struct claim_counts
{
    std::size_t running = 0;
    std::size_t finished = 0;
    std::size_t fences = 0;
    std::uint64_t bytes = 0;
    std::uint64_t answer_bytes = 0;
    std::uint64_t log_time_ms = 0;
};

// Error of `restore`: the bytes are not a valid snapshot.
struct bad_claim_snapshot
{
    enum class fault : std::uint8_t
    {
        not_decodable,
        repeated_key,
        finished_out_of_order
    };
    fault what = fault::not_decodable;
};

// Replicated state machine for claims. It applies claim commands in log order;
// the same commands produce the same table and verdicts on every replica. Use
// it for calls that must run at most once per key. The rules:
//
// - A start is granted to the first attempt that asks, and again only to the
//   same execution of that attempt (a resend after a lost reply). A granted
//   claim never expires: an executor that is frozen and resumes late still
//   holds it, so its call stays the only one.
// - Only that execution may finish the claim with the answer. Only it may
//   release the claim, which asserts that the call had no effect and won't run.
// - A fence by the entry daemon ensures that an attempt that doesn't hold the
//   claim never gets it. A release and a refused start do the same.
// - An operator may resolve a claim on behalf of its holder. That is safe only
//   if the holder's process has ended: a frozen one would still start the call.
// - A key that was released, or whose attempts were fenced, can be claimed by a
//   new attempt.
//
//     claim_table table;
//     const messages::claim_result result = table.apply(command);
//
// Not thread-safe.
class claim_table
{
public:
    explicit claim_table(claim_limits limits = {});

    // Applies one command of the log and returns its verdict.
    messages::claim_result apply(const messages::claim_command& command);

    // Returns the state of a key: in progress, already finished (with the
    // answer), or `claim_verdict_none` if the table has no record of it.
    [[nodiscard]] messages::claim_result
    find(const messages::claim_key& key) const;

    [[nodiscard]] claim_counts counts() const;

    // Returns the table in serialized form. Equal tables give equal bytes.
    [[nodiscard]] std::string snapshot() const;

    // Rebuilds a table from the bytes of `snapshot`. Errors:
    // `bad_claim_snapshot`.
    static leaf::result<claim_table> restore(std::string_view bytes);

private:
    struct running_claim
    {
        messages::attempt holder;
        messages::claim_executor executor;
    };

    // `running` is set until the claim has finished. `holder_fingerprint`,
    // `finished_at_ms` and `answer` are set from then on.
    struct record
    {
        std::unique_ptr<running_claim> running;
        std::uint64_t request_digest = 0;
        std::uint64_t holder_fingerprint = 0;
        std::uint64_t finished_at_ms = 0;
        std::string answer;
    };

    struct fence
    {
        std::uint64_t fingerprint;
        std::uint64_t fenced_at_ms;
    };

    using record_map = std::unordered_map<std::string, record>;

    void advance_time(std::uint64_t proposed_at_ms);
    void remove_expired();
    void strip_answers();

    messages::claim_result
    start(const std::string& key, const messages::claim_command& command);
    messages::claim_result
    grant_start(const std::string& key, const messages::claim_command& command);
    messages::claim_result refuse_start(
        const std::string& key, const messages::claim_command& command);
    messages::claim_result
    finish(const std::string& key, const messages::claim_command& command);
    messages::claim_result
    release(const std::string& key, const messages::claim_command& command);
    messages::claim_result fence_attempt(
        const std::string& key, const messages::claim_command& command);
    messages::claim_result
    resolve(const std::string& key, const messages::claim_command& command);
    void store_answer(
        record_map::value_type& entry,
        const messages::claim_command& command,
        const messages::stored_answer& answer);

    [[nodiscard]] std::uint64_t
    finish_time(const messages::claim_command& command) const;
    // Whether the attempt holds the claim, and whether it held and finished it.
    static bool held_by(const record& value, const messages::attempt& by);
    static bool finished_by(
        const std::string& key,
        const record& value,
        const messages::attempt& by);
    // Returns false if the table has no room for another fence.
    bool add_fence(const std::string& key, const messages::attempt& by);
    [[nodiscard]] bool
    is_fenced(const std::string& key, const messages::attempt& by) const;
    [[nodiscard]] bool is_expired(const messages::attempt& by) const;

    // Requires: the table has no record of `key`.
    void insert_running(std::string key, record value);
    void insert_finished(std::string key, record value);

    claim_limits limits_;
    std::uint64_t log_time_ms_ = 0;
    record_map records_;
    // Finished records by ascending finish time. The pointers stay valid
    // because the nodes of `records_` don't move.
    std::deque<record_map::value_type*> finished_;
    // Number of records at the front of `finished_` whose answers have lost
    // their headers and bodies.
    std::size_t stripped_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t answer_bytes_ = 0;
    // Fingerprints of (key, attempt). A collision can only cause the refusal of
    // a call that could have run.
    std::unordered_set<std::uint64_t> fence_set_;
    std::deque<fence> fences_;
};

} // namespace nutmegusher

#endif
