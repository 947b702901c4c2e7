// What this process knows of requests that crash upstreams: the crashes of its
// own upstream, the reports of other daemons, and the records that are still to
// be sent to the control host. Safe from every thread.
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

// Times are converted to and from ages relative to `now`.
[[nodiscard]] messages::crash_record
to_message(const crash_record& from, time_point now);
[[nodiscard]] crash_record
from_message(const messages::crash_record& from, time_point now);

// Adds to `to` the records that have changed since the stamp and concern one of
// the services. If `services` is empty, all services match.
void add_records(
    const crash_evidence& evidence,
    std::uint64_t since,
    std::span<const std::string> services,
    time_point now,
    google::protobuf::RepeatedPtrField<messages::crash_record>& to);

// Digests as operators read and write them: 16 hexadecimal digits.
[[nodiscard]] std::string digest_text(std::uint64_t digest);
[[nodiscard]] std::optional<std::uint64_t> parse_digest(std::string_view text);

class crash_tracker
{
public:
    crash_tracker() = default;
    crash_tracker(const crash_tracker&) = delete;
    crash_tracker& operator=(const crash_tracker&) = delete;

    // Returns the crash evidence against requests with this digest.
    [[nodiscard]] crash_assessment assess(std::uint64_t digest) const;

    // Returns false if a request of the same digest, which is known to have
    // crashed at least two upstreams, is already in flight from this entry:
    // only one at a time is admitted.
    [[nodiscard]] bool begin_suspect(std::uint64_t digest);
    void end_suspect(std::uint64_t digest);

    // Records that an upstream crashed while it ran the request, as reported by
    // the daemon beside the upstream.
    void record_crash(
        std::uint64_t digest,
        std::uint64_t upstream,
        duration ran_for,
        const service_name& service);

    // Tracks a run of a request on this host's own upstream. It completes, is
    // discarded, or loses its connection; a lost run is suspected if the
    // upstream turns out to have crashed.
    [[nodiscard]] in_flight_requests::ticket begin_run(std::uint64_t digest);
    void complete_run(in_flight_requests::ticket run, std::uint64_t digest);
    void discard_run(in_flight_requests::ticket run);
    void mark_run_lost(in_flight_requests::ticket run);

    // Records that the upstream with that name has crashed, and suspects all
    // requests that were in flight there. `upstream`: a hash of the name and
    // its start. Only the first call for an upstream counts.
    void on_upstream_crashed(
        std::uint64_t upstream,
        const std::string& id,
        const service_name& service);

    // Exchange with a control host. `fill_request` adds the records that have
    // not been acknowledged yet. `on_reply` merges the records of the reply and
    // counts those in `request` as acknowledged; it returns true if more are to
    // be sent.
    void fill_request(messages::sync_request& request) const;
    bool on_reply(
        const messages::sync_request& request,
        const messages::sync_reply& reply);

    // Called, without the lock held, when there are records to send. Requires:
    // set before the workers run.
    std::function<void()> on_change = [] {};

    // For operators. `release` returns false if there is no record of the
    // digest.
    [[nodiscard]] std::vector<crash_record> quarantined() const;
    bool release(std::uint64_t digest);
    // Returns the number of records, including those that are only suspected.
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
    // The upstream that crashed last.
    std::uint64_t last_crashed_upstream_ = 0;
    // Digests of the records to send, by sequence number.
    std::map<std::uint64_t, std::uint64_t> unsent_;
    std::uint64_t last_unsent_ = 0;
    // The last stamp received from the control host, and the run of the control
    // host that issued it.
    std::uint64_t known_stamp_ = 0;
    std::uint64_t epoch_ = 0;
    // The services whose records have been received.
    std::vector<std::string> services_;
    time_point next_expiry_;
};

} // namespace nutmegusher::node

#endif
