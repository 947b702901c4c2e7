#include "nutmegusher/policy/crash_evidence.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace nutmegusher
{

namespace
{

// Three crashes quarantine a request and the last one renews the quarantine, so
// more crashes would add nothing.
constexpr std::size_t max_crashes_kept = 6;
// Due to message delays two hosts see one event at most this far apart. A
// request also isn't suspected for a crash up to this long after it completed.
constexpr duration clearing_tolerance = std::chrono::milliseconds(250);

// Times of one event reported by two hosts differ by less than this.
constexpr duration time_tolerance = std::chrono::milliseconds(100);

bool is_cleared(const crash_record& record, const upstream_crash& end)
{
    return record.cleared_at != time_point() &&
           end.crashed_at <= record.cleared_at + clearing_tolerance;
}

// Whether `at` is a newer clearing than the known one, not the same one
// reported by another host.
bool is_newer_clearing(const crash_record& known, time_point at)
{
    return at != time_point() && (known.cleared_at == time_point() ||
                                  at > known.cleared_at + clearing_tolerance);
}

bool is_earlier(const upstream_crash& left, const upstream_crash& right)
{
    return std::pair(left.crashed_at, left.upstream) <
           std::pair(right.crashed_at, right.upstream);
}

// Whether one of the runs started after the upstream of another one crashed.
bool recurred_after_crash(const std::vector<upstream_crash>& ends)
{
    return std::ranges::any_of(
        ends,
        [&ends](const upstream_crash& later)
        {
            return later.started_at >= ends.front().crashed_at + time_tolerance;
        });
}

// Index of the oldest crash that isn't needed to show that the request recurred
// after a crash.
std::size_t index_to_evict(const std::vector<upstream_crash>& ends)
{
    if (!recurred_after_crash(ends))
    {
        return 0;
    }
    for (std::size_t index = 0; index < ends.size(); ++index)
    {
        auto rest = ends;
        rest.erase(std::next(rest.begin(), static_cast<std::ptrdiff_t>(index)));
        if (recurred_after_crash(rest))
        {
            return index;
        }
    }
    return 0;
}

void insert_in_order(
    std::vector<upstream_crash>& ends, const upstream_crash& crash)
{
    ends.insert(std::ranges::upper_bound(ends, crash, is_earlier), crash);
}

// Adds a crash. Returns false if it is already known or too old to count.
bool insert(std::vector<upstream_crash>& ends, const upstream_crash& crash)
{
    if (std::ranges::find(ends, crash.upstream, &upstream_crash::upstream) !=
        ends.end())
    {
        return false;
    }
    auto all = ends;
    insert_in_order(all, crash);
    if (all.size() > max_crashes_kept)
    {
        const auto victim = std::next(
            all.begin(), static_cast<std::ptrdiff_t>(index_to_evict(all)));
        // Otherwise simultaneous crashes would evict each other again and again
        // while hosts exchange their records.
        const bool is_simultaneous =
            crash.crashed_at <= victim->crashed_at + clearing_tolerance;
        const bool proves_recurrence =
            recurred_after_crash(all) && !recurred_after_crash(ends);
        if (victim->upstream == crash.upstream ||
            (is_simultaneous && !proves_recurrence))
        {
            return false;
        }
        all.erase(victim);
    }
    ends = std::move(all);
    return true;
}

bool clear(crash_record& record, time_point at)
{
    if (at <= record.cleared_at)
    {
        return false;
    }
    record.cleared_at = at;
    std::erase_if(
        record.ends,
        [&record](const upstream_crash& each)
        {
            return is_cleared(record, each);
        });
    return true;
}

} // namespace

crash_evidence::crash_evidence(crash_evidence_options options)
    : options_(options)
{
}

void crash_evidence::mark_changed(entry& target, time_point now)
{
    target.changed_stamp = ++stamp_;
    target.changed_at = now;
}

crash_evidence::entry& crash_evidence::find_or_add(
    std::uint64_t digest, const std::string& service, time_point now)
{
    const auto found = records_.find(digest);
    if (found != records_.end())
    {
        return found->second;
    }
    evict_if_full(now);
    auto& made = records_[digest];
    made.record.digest = digest;
    made.record.service = service;
    return made;
}

void crash_evidence::evict_if_full(time_point now)
{
    if (records_.size() < options_.max_records)
    {
        return;
    }
    const auto eviction_order = [this, now](const auto& item)
    {
        const auto found = assess(item.second.record, now);
        const bool is_quarantined =
            found.suspicion == crash_suspicion::quarantined;
        const bool has_several_crashes = found.ends > 1;
        return std::tuple(
            is_quarantined, has_several_crashes, item.second.changed_at);
    };
    records_.erase(std::ranges::min_element(records_, {}, eviction_order));
}

void crash_evidence::add_crash(
    std::uint64_t digest,
    const upstream_crash& end,
    const std::string& service,
    time_point now)
{
    crash_record reported;
    reported.digest = digest;
    reported.service = service;
    reported.ends = {end};
    merge(reported, now);
}

bool crash_evidence::add_completion(std::uint64_t digest, time_point now)
{
    if (completions_.size() >= options_.max_completions &&
        !completions_.contains(digest))
    {
        completions_.erase(std::ranges::min_element(
            completions_,
            {},
            [](const auto& item)
            {
                return item.second;
            }));
    }
    auto& completed_at = completions_[digest];
    completed_at = std::max(completed_at, now);
    const auto found = records_.find(digest);
    if (found == records_.end() || found->second.record.ends.empty() ||
        !clear(found->second.record, now))
    {
        return false;
    }
    mark_changed(found->second, now);
    return true;
}

bool crash_evidence::completed_recently(
    std::uint64_t digest, time_point now) const
{
    const auto found = completions_.find(digest);
    return found != completions_.end() &&
           now - found->second < options_.completion_retention;
}

bool crash_evidence::release(std::uint64_t digest, time_point now)
{
    const auto found = records_.find(digest);
    if (found == records_.end())
    {
        return false;
    }
    clear(found->second.record, now);
    mark_changed(found->second, now);
    return true;
}

crash_assessment
crash_evidence::assess(std::uint64_t digest, time_point now) const
{
    const auto found = records_.find(digest);
    return found == records_.end() ? crash_assessment()
                                   : assess(found->second.record, now);
}

crash_assessment
crash_evidence::assess(const crash_record& record, time_point now) const
{
    crash_assessment found;
    found.ends = record.ends.size();
    if (record.ends.empty() ||
        now - record.ends.back().crashed_at >= 2 * options_.quarantine)
    {
        return {};
    }
    found.suspicion = crash_suspicion::suspected;
    const bool is_recent =
        now - record.ends.back().crashed_at < options_.quarantine;
    if (is_recent && record.ends.size() >= crashes_to_quarantine &&
        recurred_after_crash(record.ends))
    {
        found.suspicion = crash_suspicion::quarantined;
    }
    return found;
}

std::optional<crash_record> crash_evidence::find(std::uint64_t digest) const
{
    const auto found = records_.find(digest);
    return found == records_.end() ? std::nullopt
                                   : std::optional(found->second.record);
}

bool crash_evidence::merge(const crash_record& record, time_point now)
{
    if (is_expired(record, now))
    {
        return false;
    }
    auto& known = find_or_add(record.digest, record.service, now);
    if (is_expired(known.record, now))
    {
        known.record.ends.clear();
    }
    bool changed = false;
    if (is_newer_clearing(known.record, record.cleared_at))
    {
        changed = clear(known.record, record.cleared_at);
    }
    for (const auto& each : record.ends)
    {
        if (!is_cleared(known.record, each))
        {
            changed = insert(known.record.ends, each) || changed;
        }
    }
    changed = clear_by_completion(known.record) || changed;
    if (changed)
    {
        mark_changed(known, now);
    }
    else if (known.changed_stamp == 0)
    {
        records_.erase(record.digest);
    }
    return changed;
}

bool crash_evidence::is_expired(
    const crash_record& record, time_point now) const
{
    time_point last = record.cleared_at;
    for (const auto& each : record.ends)
    {
        last = std::max(last, each.crashed_at);
    }
    const bool is_empty =
        record.ends.empty() && record.cleared_at == time_point();
    return is_empty || now - last >= 2 * options_.quarantine;
}

bool crash_evidence::clear_by_completion(crash_record& record)
{
    const auto found = completions_.find(record.digest);
    if (found == completions_.end())
    {
        return false;
    }
    const auto until = found->second + clearing_tolerance;
    return !record.ends.empty() && record.ends.front().crashed_at <= until &&
           clear(record, found->second);
}

std::vector<crash_record>
crash_evidence::changes_since(std::uint64_t stamp) const
{
    std::vector<crash_record> changes;
    for (const auto& [digest, each] : records_)
    {
        if (each.changed_stamp > stamp)
        {
            changes.push_back(each.record);
        }
    }
    return changes;
}

std::vector<crash_record> crash_evidence::quarantined(time_point now) const
{
    std::vector<crash_record> found;
    for (const auto& [digest, each] : records_)
    {
        const auto assessment = assess(each.record, now);
        if (assessment.suspicion == crash_suspicion::quarantined)
        {
            found.push_back(each.record);
        }
    }
    return found;
}

void crash_evidence::expire(time_point now)
{
    std::erase_if(
        records_,
        [this, now](const auto& item)
        {
            return is_expired(item.second.record, now);
        });
    std::erase_if(
        completions_,
        [this, now](const auto& item)
        {
            return now - item.second >= options_.completion_retention;
        });
}

in_flight_requests::ticket
in_flight_requests::begin(std::uint64_t digest, time_point now)
{
    runs_[++last_ticket_] = {{digest, now}};
    return last_ticket_;
}

void in_flight_requests::end(ticket target)
{
    runs_.erase(target);
}

void in_flight_requests::mark_lost(ticket target, time_point now)
{
    drop_expired(now);
    const auto found = runs_.find(target);
    if (found != runs_.end() && found->second.lost_at == time_point::max())
    {
        found->second.lost_at = now;
    }
}

void in_flight_requests::drop_expired(time_point now)
{
    std::erase_if(
        runs_,
        [now](const auto& item)
        {
            const auto lost_at = item.second.lost_at;
            return lost_at != time_point::max() &&
                   now - lost_at >= crash_detection_window;
        });
}

std::vector<in_flight_requests::interrupted_request>
in_flight_requests::take_all(time_point now)
{
    drop_expired(now);
    std::vector<interrupted_request> all;
    for (const auto& [target, each] : runs_)
    {
        const auto same = std::ranges::find(
            all, each.request.digest, &interrupted_request::digest);
        if (same == all.end())
        {
            all.push_back(each.request);
        }
        else
        {
            same->started_at =
                std::max(same->started_at, each.request.started_at);
        }
    }
    runs_.clear();
    return all;
}

} // namespace nutmegusher
