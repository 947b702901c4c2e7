// What this process knows of requests that end upstreams, for all its threads:
// what its own upstream does to it, what others have told, and what is still to
// be told.
#ifndef NUTMEGUSHER_NODE_CRASH_TRACKER_HPP
#define NUTMEGUSHER_NODE_CRASH_TRACKER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/sync.pb.h"
#include "nutmegusher/policy/policy.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher::node
{

// Ages are counted from `now`.
[[nodiscard]] messages::crash_record
to_message(const crash_record& from, time_point now);
[[nodiscard]] crash_record
from_message(const messages::crash_record& from, time_point now);

// Adds to `to` the records that have changed since the stamp and are about one
// of the services; without services: all.
void add_records(
    const crash_evidence& evidence,
    std::uint64_t since,
    std::span<const std::string> services,
    time_point now,
    google::protobuf::RepeatedPtrField<messages::crash_record>& to);

// As operators read and write a digest: 16 hexadecimal digits.
[[nodiscard]] std::string digest_text(std::uint64_t digest);
[[nodiscard]] std::optional<std::uint64_t> parse_digest(std::string_view text);

class crash_tracker
{
public:
    crash_tracker() = default;
    crash_tracker(const crash_tracker&) = delete;
    crash_tracker& operator=(const crash_tracker&) = delete;

    // Where a request enters.
    [[nodiscard]] crash_assessment assess(std::uint64_t digest) const;

    // False where such a request is at work for this entry already: of one that
    // is known from two ends or more, one at a time.
    [[nodiscard]] bool begin_suspect(std::uint64_t digest);
    void end_suspect(std::uint64_t digest);

    // An upstream has ended under the request, as the daemon beside it told.
    void record_crash(
        std::uint64_t digest,
        std::uint64_t upstream,
        duration ran_for,
        const service_name& service);

    // Beside the upstream: a run, and how it ended.
    [[nodiscard]] in_flight_requests::ticket begin_run(std::uint64_t digest);
    void complete_run(in_flight_requests::ticket run, std::uint64_t digest);
    void discard_run(in_flight_requests::ticket run);
    void mark_run_lost(in_flight_requests::ticket run);

    // The upstream of that name (`upstream`: hash of it and its start) has
    // ended: whatever was at work there is suspected. Only the first call for
    // an upstream counts.
    void on_upstream_crashed(
        std::uint64_t upstream,
        const std::string& id,
        const service_name& service);

    // With a control host. `fill_request` adds what it wasn't told yet;
    // `on_reply` takes what it told, and counts what it was told in `request`.
    // True: there is more to tell.
    void fill_request(messages::sync_request& request) const;
    bool on_reply(
        const messages::sync_request& request,
        const messages::sync_reply& reply);

    // Something is to be told; called without the lock. Set before the workers
    // run.
    std::function<void()> on_change = [] {};

    // For operators. `release`: false where nothing is known of it.
    [[nodiscard]] std::vector<crash_record> quarantined() const;
    bool release(std::uint64_t digest);
    // Records, suspects included.
    [[nodiscard]] std::size_t size() const;

private:
    void log_if_quarantined(const crash_record& record, bool was_quarantined);
    bool is_quarantined(std::uint64_t digest, time_point now) const;
    void queue_record(std::uint64_t digest);
    void queue_all_records();

    mutable std::mutex mutex_;
    crash_evidence evidence_;
    in_flight_requests runs_;
    std::multiset<std::uint64_t> suspects_;
    // The upstream that ended last.
    std::uint64_t last_crashed_upstream_ = 0;
    // Digests of records to tell, by their number.
    std::map<std::uint64_t, std::uint64_t> unsent_;
    std::uint64_t last_unsent_ = 0;
    // What the control host has told, and which run of it.
    std::uint64_t known_stamp_ = 0;
    std::uint64_t epoch_ = 0;
    // The services that it told of.
    std::vector<std::string> services_;
    time_point next_expiry_;
};

} // namespace nutmegusher::node

#endif
