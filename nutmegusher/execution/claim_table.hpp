// The replicated record of claims: at most one execution of a key.
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

// Bounds of a table. All replicas of a group must use the same ones, since
// they decide verdicts; a snapshot carries them.
struct claim_limits
{
    // How long a finished key keeps its answer, by log time.
    std::uint64_t retention_ms = 24ULL * 60 * 60 * 1000;
    // How long a fence is remembered. A start by an attempt older than this is
    // refused, so that forgetting a fence never lets a late start pass.
    std::uint64_t attempt_lifetime_ms = 60ULL * 60 * 1000;
    // Above this estimate of all state new keys are refused. A finished key is
    // never forgotten early: that could let it run twice.
    std::uint64_t max_bytes = 1024ULL * 1024 * 1024;
    // Above this the oldest answers lose headers and body; the key stays.
    std::uint64_t max_answer_bytes = 64ULL * 1024 * 1024;
    std::uint64_t max_fences = 1'000'000;
    // One command moves the log time on by at most this much, so that one
    // proposer with a wrong clock can't end the retention of all keys at once.
    std::uint64_t max_time_step_ms = 10'000;

    friend bool operator==(const claim_limits&, const claim_limits&) = default;
};

// For the dump.
struct claim_counts
{
    std::size_t running = 0;
    std::size_t finished = 0;
    std::size_t fences = 0;
    std::uint64_t bytes = 0;
    std::uint64_t answer_bytes = 0;
    std::uint64_t log_time_ms = 0;
};

// `restore` was given bytes that no `snapshot` made.
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

// Applies claim commands in log order; the same commands give the same table
// and the same verdicts on every replica. The rules:
//
// - A start is granted to the first attempt that asks, and again only to the
//   very execution that holds it (a resend after a lost answer). A granted
//   claim never passes on by time: an executor that was frozen and wakes late
//   still holds it, so its call is the only one.
// - Only that execution may finish the claim with the answer, or release it,
//   which proves that it never started.
// - A fence by the entry daemon ends an attempt which doesn't hold the claim:
//   it never will. So does a release, and so does a refused start.
// - An operator may settle a claim in the holder's place. That is only safe
//   when the holder's process has ended: a frozen one would still start.
// - A key that was released, or whose attempts were fenced, can be claimed by a
//   new attempt.
//
//     claim_table table;
//     const messages::claim_result result = table.apply(command);
//
// For one thread.
class claim_table
{
public:
    explicit claim_table(claim_limits limits = {});

    messages::claim_result apply(const messages::claim_command& command);

    // The state of a key: in progress, already finished (with the answer), or
    // no verdict where the table knows nothing of it.
    [[nodiscard]] messages::claim_result
    find(const messages::claim_key& key) const;

    [[nodiscard]] claim_counts counts() const;

    // Equal tables give equal bytes.
    [[nodiscard]] std::string snapshot() const;

    // Fails with `bad_claim_snapshot`.
    static leaf::result<claim_table> restore(std::string_view bytes);

private:
    struct running_claim
    {
        messages::attempt holder;
        messages::claim_executor executor;
    };

    // `running` is set until the claim has finished; the rest is used after.
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
    // Whether the attempt has the claim now, and whether it had it and
    // finished.
    static bool held_by(const record& value, const messages::attempt& by);
    static bool finished_by(
        const std::string& key,
        const record& value,
        const messages::attempt& by);
    bool add_fence(const std::string& key, const messages::attempt& by);
    [[nodiscard]] bool
    is_fenced(const std::string& key, const messages::attempt& by) const;
    [[nodiscard]] bool is_expired(const messages::attempt& by) const;

    // Requires: the key is new.
    void insert_running(std::string key, record value);
    void insert_finished(std::string key, record value);

    claim_limits limits_;
    std::uint64_t log_time_ms_ = 0;
    record_map records_;
    // Finished records by rising finish time; map nodes don't move.
    std::deque<record_map::value_type*> finished_;
    // So many of the oldest finished ones have lost headers and body.
    std::size_t stripped_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t answer_bytes_ = 0;
    // Fingerprints of (key, attempt). Two that collide only refuse a call that
    // could have run.
    std::unordered_set<std::uint64_t> fence_set_;
    std::deque<fence> fences_;
};

} // namespace nutmegusher

#endif
