// Which requests end the upstreams that run them ("queries of death").
//
// The daemon beside an upstream sees that it has ended, and which requests were
// at work there; each of them is suspected. A request that completes anywhere
// is cleared: one that ends every upstream never completes. One that was at
// work at `crashes_to_quarantine` ends of as many upstreams without completing
// since is quarantined, if it came again after one of them: upstreams that end
// together, as with a rack, have the popular requests of that moment in common.
//
// Requests are known by a digest of their content; nothing else of them is
// kept. Tables of two hosts are merged record by record, in any order and any
// number of times, so that evidence needs no agreement and survives each host
// that holds it.
//
//     crash_evidence evidence;
//     evidence.add_crash(digest, {upstream, started_at, now}, service, now);
//     const auto assessment = evidence.assess(digest, now);
//     if (assessment.suspicion == crash_suspicion::quarantined)
//         ... // refuse: it has not run
//
// For one thread; reads no clock.
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

// Ends of as many upstreams quarantine a request that was at work at each.
inline constexpr std::size_t crashes_to_quarantine = 3;

enum class crash_suspicion : std::uint8_t
{
    none,
    // It was at work where an upstream ended, and hasn't completed since.
    suspected,
    // It isn't run any more.
    quarantined
};

// An upstream's end, with one of the requests that were at work there.
struct upstream_crash
{
    // Names the upstream and its start; the same wherever it is told.
    std::uint64_t upstream = 0;
    // When the request began to run there, and when the upstream ended.
    time_point started_at;
    time_point crashed_at;

    friend bool
    operator==(const upstream_crash&, const upstream_crash&) = default;
};

// What is known of one request.
struct crash_record
{
    std::uint64_t digest = 0;
    std::string service;
    // By the time of the end; six at most: the latest, and those that show that
    // it came again.
    std::vector<upstream_crash> ends;
    // It completed, or was released, at that time; earlier ends count no more.
    // `time_point()`: never.
    time_point cleared_at;
};

struct crash_assessment
{
    crash_suspicion suspicion = crash_suspicion::none;
    // Ends that count.
    std::size_t ends = 0;
};

struct crash_evidence_options
{
    // A quarantine ends so long after the last end. One more end then renews
    // it, for as long again.
    duration quarantine = std::chrono::minutes(10);
    // A request that completed on this host so lately isn't suspected there.
    duration completion_retention = std::chrono::seconds(10);
    // Records of requests; the one that changed longest ago gives way, those
    // with several ends later, those in quarantine last. At least one.
    std::size_t max_records = 512;
    // Completions that are remembered. At least one.
    std::size_t max_completions = 512;
};

class crash_evidence
{
public:
    explicit crash_evidence(crash_evidence_options options = {});

    // An upstream of `service` has ended with the request at work.
    void add_crash(
        std::uint64_t digest,
        const upstream_crash& end,
        const std::string& service,
        time_point now);

    // The request ran to its end on this host; ends that are told later and
    // were before it don't count either. True: that cleared it, and others
    // should hear of it.
    bool add_completion(std::uint64_t digest, time_point now);

    // It completed here a moment ago, so that an upstream that ends now doesn't
    // do so because of it.
    [[nodiscard]] bool
    completed_recently(std::uint64_t digest, time_point now) const;

    // An operator says that it may run. False: nothing is known of it.
    bool release(std::uint64_t digest, time_point now);

    [[nodiscard]] crash_assessment
    assess(std::uint64_t digest, time_point now) const;

    [[nodiscard]] std::optional<crash_record> find(std::uint64_t digest) const;

    // Takes what another host knows, with its times as times of this host, off
    // by less than 100 ms. True: that was something new, or a completion here
    // cleared it; others should hear of it.
    bool merge(const crash_record& record, time_point now);

    // Rises with each change.
    [[nodiscard]] std::uint64_t stamp() const
    {
        return stamp_;
    }

    // What has changed since the stamp, for others; 0: all.
    [[nodiscard]] std::vector<crash_record>
    changes_since(std::uint64_t stamp) const;

    // Those that are in quarantine.
    [[nodiscard]] std::vector<crash_record> quarantined(time_point now) const;

    // Drops what has become old.
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
    // Nothing of it counts any more.
    [[nodiscard]] bool
    is_expired(const crash_record& record, time_point now) const;
    // True: it completed here after an end that was told later.
    bool clear_by_completion(crash_record& record);
    [[nodiscard]] crash_assessment
    assess(const crash_record& record, time_point now) const;

    crash_evidence_options options_;
    std::unordered_map<std::uint64_t, entry> records_;
    std::unordered_map<std::uint64_t, time_point> completions_;
    std::uint64_t stamp_ = 0;
};

// Called at the ends of requests and upstreams on one host: which requests are
// at work at its upstream.
class in_flight_requests
{
public:
    using ticket = std::uint64_t;

    [[nodiscard]] ticket begin(std::uint64_t digest, time_point now);

    // It has its answer, was given up on, or never reached the upstream.
    void end(ticket target);

    // Its connection ended without an answer. Kept for
    // `crash_detection_window`, within which all connections of an upstream
    // that ends are seen to break.
    void mark_lost(ticket target, time_point now);

    struct interrupted_request
    {
        std::uint64_t digest = 0;
        time_point started_at;
    };

    // The upstream has ended: what was at work there, each digest once with its
    // latest run. Nothing is at work any more.
    [[nodiscard]] std::vector<interrupted_request> take_all(time_point now);

    static constexpr duration crash_detection_window =
        std::chrono::milliseconds(500);

private:
    struct run
    {
        interrupted_request request;
        // `time_point::max()`: at work.
        time_point lost_at = time_point::max();
    };

    void drop_expired(time_point now);

    std::unordered_map<ticket, run> runs_;
    ticket last_ticket_ = 0;
};

} // namespace nutmegusher

#endif
