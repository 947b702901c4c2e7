#include "nutmegusher/node/crash_tracker.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

namespace nutmegusher::node
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t digest_digits = 16;
constexpr int hexadecimal = 16;
constexpr duration expiry_interval = std::chrono::seconds(5);
// The maximum number of records in one message.
constexpr std::size_t max_records_per_request = 64;
// Ages from other hosts are capped at this.
constexpr std::uint64_t max_age_ms = 24ULL * 3600 * 1000;

std::uint64_t to_age(time_point then, time_point now)
{
    const auto age = std::max(now - then, duration::zero());
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(age).count());
}

time_point from_age(std::uint64_t age_ms, time_point now)
{
    return now - milliseconds(std::min(age_ms, max_age_ms));
}

// Returns the services of the request, sorted, to be compared with `services_`.
std::vector<std::string> sorted_services(const messages::sync_request& request)
{
    std::vector<std::string> services(
        request.services().begin(), request.services().end());
    services.push_back(request.own().service());
    std::ranges::sort(services);
    return services;
}

} // namespace

std::string digest_text(std::uint64_t digest)
{
    std::array<char, digest_digits + 1> text{};
    std::snprintf(
        text.data(),
        text.size(),
        "%016llx",
        static_cast<unsigned long long>(digest));
    return text.data();
}

std::optional<std::uint64_t> parse_digest(std::string_view text)
{
    std::uint64_t digest = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, code] =
        std::from_chars(text.data(), end, digest, hexadecimal);
    if (text.size() != digest_digits || code != std::errc() || rest != end)
    {
        return std::nullopt;
    }
    return digest;
}

messages::crash_record to_message(const crash_record& from, time_point now)
{
    messages::crash_record made;
    made.set_digest(from.digest);
    made.set_service(from.service);
    for (const auto& each : from.ends)
    {
        auto& end = *made.add_ends();
        end.set_upstream(each.upstream);
        end.set_ended_ago_ms(to_age(each.crashed_at, now));
        end.set_ran_ms(to_age(each.started_at, each.crashed_at));
    }
    if (from.cleared_at != time_point())
    {
        made.set_cleared_ago_ms(to_age(from.cleared_at, now));
    }
    return made;
}

crash_record from_message(const messages::crash_record& from, time_point now)
{
    crash_record made;
    made.digest = from.digest();
    made.service = from.service();
    for (const auto& each : from.ends())
    {
        const auto crashed_at = from_age(each.ended_ago_ms(), now);
        made.ends.push_back(
            {each.upstream(), from_age(each.ran_ms(), crashed_at), crashed_at});
    }
    if (from.has_cleared_ago_ms())
    {
        made.cleared_at = from_age(from.cleared_ago_ms(), now);
    }
    return made;
}

void add_records(
    const crash_evidence& evidence,
    std::uint64_t since,
    std::span<const std::string> services,
    time_point now,
    google::protobuf::RepeatedPtrField<messages::crash_record>& to)
{
    for (const auto& each : evidence.changes_since(since))
    {
        const bool is_wanted =
            services.empty() ||
            std::ranges::find(services, each.service) != services.end();
        if (is_wanted)
        {
            *to.Add() = to_message(each, now);
        }
    }
}

crash_assessment crash_tracker::assess(std::uint64_t digest) const
{
    const std::scoped_lock lock(mutex_);
    return evidence_.assess(digest, host_clock().now());
}

bool crash_tracker::begin_suspect(std::uint64_t digest)
{
    const std::scoped_lock lock(mutex_);
    if (suspects_.contains(digest))
    {
        return false;
    }
    suspects_.insert(digest);
    return true;
}

void crash_tracker::end_suspect(std::uint64_t digest)
{
    const std::scoped_lock lock(mutex_);
    const auto found = suspects_.find(digest);
    if (found != suspects_.end())
    {
        suspects_.erase(found);
    }
}

bool crash_tracker::is_quarantined(std::uint64_t digest, time_point now) const
{
    return evidence_.assess(digest, now).suspicion ==
           crash_suspicion::quarantined;
}

void crash_tracker::log_if_quarantined(
    const crash_record& record, bool was_quarantined)
{
    if (was_quarantined || !is_quarantined(record.digest, host_clock().now()))
    {
        return;
    }
    log_event(
        event::request_quarantined,
        {{"digest", digest_text(record.digest)},
         {"service", record.service},
         {"ends",
          std::uint64_t{
              evidence_.assess(record.digest, host_clock().now()).ends}}});
}

void crash_tracker::queue_record(std::uint64_t digest)
{
    std::erase_if(
        unsent_,
        [digest](const auto& item)
        {
            return item.second == digest;
        });
    unsent_[++last_unsent_] = digest;
}

void crash_tracker::queue_all_records()
{
    for (const auto& each : evidence_.changes_since(0))
    {
        if (!each.ends.empty())
        {
            queue_record(each.digest);
        }
    }
}

void crash_tracker::record_crash(
    std::uint64_t digest,
    std::uint64_t upstream,
    duration ran_for,
    const service_name& service)
{
    const auto now = host_clock().now();
    {
        const std::scoped_lock lock(mutex_);
        const bool already_quarantined = is_quarantined(digest, now);
        const upstream_crash end{upstream, now - ran_for, now};
        evidence_.add_crash(digest, end, service.str(), now);
        queue_record(digest);
        log_if_quarantined(
            {digest, service.str(), {}, {}}, already_quarantined);
    }
    on_change();
}

in_flight_requests::ticket crash_tracker::begin_run(std::uint64_t digest)
{
    const std::scoped_lock lock(mutex_);
    return runs_.begin(digest, host_clock().now());
}

void crash_tracker::complete_run(
    in_flight_requests::ticket run, std::uint64_t digest)
{
    bool changed = false;
    {
        const std::scoped_lock lock(mutex_);
        runs_.end(run);
        changed = evidence_.add_completion(digest, host_clock().now());
        if (changed)
        {
            queue_record(digest);
        }
    }
    if (changed)
    {
        on_change();
    }
}

void crash_tracker::discard_run(in_flight_requests::ticket run)
{
    const std::scoped_lock lock(mutex_);
    runs_.end(run);
}

void crash_tracker::mark_run_lost(in_flight_requests::ticket run)
{
    const std::scoped_lock lock(mutex_);
    runs_.mark_lost(run, host_clock().now());
}

void crash_tracker::on_upstream_crashed(
    std::uint64_t upstream, const std::string& id, const service_name& service)
{
    const auto now = host_clock().now();
    {
        const std::scoped_lock lock(mutex_);
        if (last_crashed_upstream_ == upstream)
        {
            return;
        }
        last_crashed_upstream_ = upstream;
        const auto in_flight = runs_.take_all(now);
        std::uint64_t suspected = 0;
        for (const auto& each : in_flight)
        {
            if (evidence_.completed_recently(each.digest, now))
            {
                continue;
            }
            ++suspected;
            const bool already_quarantined = is_quarantined(each.digest, now);
            const upstream_crash end{upstream, each.started_at, now};
            evidence_.add_crash(each.digest, end, service.str(), now);
            queue_record(each.digest);
            log_if_quarantined(
                {each.digest, service.str(), {}, {}}, already_quarantined);
        }
        log_event(
            event::upstream_ended,
            {{"upstream", id},
             {"service", service.str()},
             {"at_work", std::uint64_t{in_flight.size()}},
             {"suspected", suspected}});
    }
    on_change();
}

void crash_tracker::fill_request(messages::sync_request& request) const
{
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    for (const auto& [number, digest] : unsent_)
    {
        const auto record = evidence_.find(digest);
        if (record)
        {
            *request.add_crashes() = to_message(*record, now);
        }
        request.set_crashes_told(number);
        if (request.crashes_size() >= static_cast<int>(max_records_per_request))
        {
            break;
        }
    }
    // If the daemon needs another service, the records received so far are not
    // enough, so it asks for all of them.
    const bool same_services = sorted_services(request) == services_;
    request.set_known_crash_stamp(same_services ? known_stamp_ : 0);
    request.set_crash_epoch(epoch_);
}

bool crash_tracker::on_reply(
    const messages::sync_request& request, const messages::sync_reply& reply)
{
    const auto now = host_clock().now();
    const std::scoped_lock lock(mutex_);
    unsent_.erase(unsent_.begin(), unsent_.upper_bound(request.crashes_told()));
    for (const auto& each : reply.crashes())
    {
        const auto record = from_message(each, now);
        const bool already_quarantined = is_quarantined(record.digest, now);
        evidence_.merge(record, now);
        log_if_quarantined(record, already_quarantined);
        const bool has_crashes = evidence_.assess(record.digest, now).ends > 0;
        if (!record.ends.empty() && !has_crashes)
        {
            // A request of this kind has completed here since the reported
            // crash.
            queue_record(record.digest);
        }
    }
    if (reply.crash_epoch() != epoch_)
    {
        // Another control host, or one that has restarted and lost its records.
        epoch_ = reply.crash_epoch();
        queue_all_records();
    }
    known_stamp_ = reply.crash_stamp();
    services_ = sorted_services(request);
    if (now >= next_expiry_)
    {
        evidence_.expire(now);
        next_expiry_ = now + expiry_interval;
    }
    return !unsent_.empty();
}

std::vector<crash_record> crash_tracker::quarantined() const
{
    const std::scoped_lock lock(mutex_);
    return evidence_.quarantined(host_clock().now());
}

bool crash_tracker::release(std::uint64_t digest)
{
    {
        const std::scoped_lock lock(mutex_);
        if (!evidence_.release(digest, host_clock().now()))
        {
            return false;
        }
        queue_record(digest);
    }
    on_change();
    return true;
}

std::size_t crash_tracker::size() const
{
    const std::scoped_lock lock(mutex_);
    return evidence_.size();
}

} // namespace nutmegusher::node
