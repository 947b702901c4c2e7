// Detects requests that crash the upstreams that run them ("queries of death").
//
// The daemon beside an upstream detects its crash and knows which requests were
// in flight there; each of them is suspected. A request that completes on any
// host is cleared: one that crashes every upstream never completes. A request
// that was in flight at the crashes of `crashes_to_quarantine` different
// upstreams and hasn't completed since is quarantined, provided that it was
// started again after one of them. Without this condition upstreams that crash
// together, such as those of one rack, would quarantine the popular requests of
// that time, which they have in common.
//
// Requests are identified by a digest of their content; nothing else of them is
// stored. The tables of two hosts are merged record by record. Merging is
// commutative and idempotent, so evidence needs no consensus, and it survives
// as long as any host that holds it.
//
//     crash_evidence evidence;
//     evidence.add_crash(digest, {upstream, started_at, now}, service, now);
//     const auto assessment = evidence.assess(digest, now);
//     if (assessment.suspicion == crash_suspicion::quarantined)
//         ... // refuse the request; it hasn't run
//
// Not thread-safe; reads no clock.
#ifndef NUTMEGUSHER_POLICY_CRASH_EVIDENCE_HPP
#define NUTMEGUSHER_POLICY_CRASH_EVIDENCE_HPP

#include "nutmegusher/base/base.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegusher
{

// A request is quarantined after it was in flight at the crashes of this many
// upstreams.
inline constexpr std::size_t crashes_to_quarantine = 3;

enum class crash_suspicion : std::uint8_t
{
    none,
    // It was in flight on an upstream that crashed, and hasn't completed since.
    suspected,
    // It is refused and not run.
    quarantined
};

// An upstream's crash, as seen by one of the requests in flight there.
struct upstream_crash
{
    // Identifies the upstream and its start; the same on every host.
    std::uint64_t upstream = 0;
    // When the request started there, and when the upstream crashed.
    time_point started_at;
    time_point crashed_at;

    friend bool
    operator==(const upstream_crash&, const upstream_crash&) = default;
};

// The evidence about one request.
struct crash_record
{
    std::uint64_t digest = 0;
    std::string service;
    // Crashes, sorted by time; at most six: the latest, and those that show
    // that the request recurred after a crash.
    std::vector<upstream_crash> ends;
    // When it last completed or was released; earlier crashes no longer count.
    // `time_point()`: never.
    time_point cleared_at;
};

struct crash_assessment
{
    crash_suspicion suspicion = crash_suspicion::none;
    // Number of crashes that count.
    std::size_t ends = 0;
};

struct crash_evidence_options
{
    // A quarantine expires this long after the last crash. For as long again,
    // one more crash renews it.
    duration quarantine = std::chrono::minutes(10);
    // A request that completed on this host within this time isn't suspected
    // there.
    duration completion_retention = std::chrono::seconds(10);
    // Limit on records. The least recently changed one is evicted first,
    // records with several crashes later, quarantined ones last. Requires: at
    // least 1.
    std::size_t max_records = 512;
    // Limit on stored completions. Requires: at least 1.
    std::size_t max_completions = 512;
};

class crash_evidence
{
public:
    explicit crash_evidence(crash_evidence_options options = {});

    // An upstream of `service` crashed with the request in flight.
    void add_crash(
        std::uint64_t digest,
        const upstream_crash& end,
        const std::string& service,
        time_point now);

    // The request completed on this host. Crashes before that don't count, even
    // if they are reported later. Returns true if this cleared its record, so
    // that the change should be sent to other hosts.
    bool add_completion(std::uint64_t digest, time_point now);

    // Whether the request completed on this host within
    // `completion_retention`: it isn't suspected if an upstream crashes now.
    [[nodiscard]] bool
    completed_recently(std::uint64_t digest, time_point now) const;

    // An operator allows the request to run. Returns false if there is no
    // record of it.
    bool release(std::uint64_t digest, time_point now);

    [[nodiscard]] crash_assessment
    assess(std::uint64_t digest, time_point now) const;

    [[nodiscard]] std::optional<crash_record> find(std::uint64_t digest) const;

    // Merges a record of another host. Requires: its times are converted to the
    // clock of this host, with an error of less than 100 ms. Returns true if
    // the record brought something new or a completion here cleared it, so that
    // the change should be sent to other hosts.
    bool merge(const crash_record& record, time_point now);

    // Counts changes; increases with each one.
    [[nodiscard]] std::uint64_t stamp() const
    {
        return stamp_;
    }

    // Records changed since `stamp`, to be sent to other hosts; 0: all.
    [[nodiscard]] std::vector<crash_record>
    changes_since(std::uint64_t stamp) const;

    // Records of the requests in quarantine.
    [[nodiscard]] std::vector<crash_record> quarantined(time_point now) const;

    // Drops expired records and completions.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const
    {
        return records_.size();
    }

private:
    struct entry
    {
        crash_record record;
        std::uint64_t changed_stamp = 0;
        time_point changed_at;
    };

    entry& find_or_add(
        std::uint64_t digest, const std::string& service, time_point now);
    void evict_if_full(time_point now);
    void mark_changed(entry& target, time_point now);
    // Whether nothing in the record counts any more.
    [[nodiscard]] bool
    is_expired(const crash_record& record, time_point now) const;
    // Clears the record by a completion on this host. Returns true if the
    // request completed after one of the crashes in it.
    bool clear_by_completion(crash_record& record);
    [[nodiscard]] crash_assessment
    assess(const crash_record& record, time_point now) const;

    crash_evidence_options options_;
    std::unordered_map<std::uint64_t, entry> records_;
    std::unordered_map<std::uint64_t, time_point> completions_;
    std::uint64_t stamp_ = 0;
};

// Tracks the requests in flight at the upstream of one host, so that a crash
// can be attributed to them.
class in_flight_requests
{
public:
    using ticket = std::uint64_t;

    [[nodiscard]] ticket begin(std::uint64_t digest, time_point now);

    // The request was answered, was abandoned, or never reached the upstream.
    void end(ticket target);

    // Its connection closed without an answer. Kept for
    // `crash_detection_window`, within which all connections of a crashed
    // upstream are found closed.
    void mark_lost(ticket target, time_point now);

    struct interrupted_request
    {
        std::uint64_t digest = 0;
        time_point started_at;
    };

    // The upstream crashed. Returns the requests in flight there, each digest
    // once with its latest start, and removes all of them.
    [[nodiscard]] std::vector<interrupted_request> take_all(time_point now);

    static constexpr duration crash_detection_window =
        std::chrono::milliseconds(500);

private:
    struct run
    {
        interrupted_request request;
        // `time_point::max()`: in flight.
        time_point lost_at = time_point::max();
    };

    void drop_expired(time_point now);

    std::unordered_map<ticket, run> runs_;
    ticket last_ticket_ = 0;
};

} // namespace nutmegusher

#endif
