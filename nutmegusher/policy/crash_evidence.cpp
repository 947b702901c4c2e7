#include "nutmegusher/policy/crash_evidence.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace nutmegusher
{

namespace
{

// More would say no more: three of them quarantine, and the last renews it.
constexpr std::size_t most_ends_kept = 6;
// Two hosts see one moment this much apart at most, as messages take their
// time. What completes isn't to blame for an end a little later either.
constexpr duration time_slack = std::chrono::milliseconds(250);

// Times that two hosts told differ by less.
constexpr duration time_jitter = std::chrono::milliseconds(100);

bool is_cleared(const crash_record& record, const crash_end& end)
{
    return record.cleared_at != time_point() &&
           end.ended_at <= record.cleared_at + time_slack;
}

// Not an echo of the clearing that is known.
bool is_later_clearing(const crash_record& mine, time_point at)
{
    return at != time_point() && (mine.cleared_at == time_point() ||
                                  at > mine.cleared_at + time_slack);
}

bool is_earlier(const crash_end& left, const crash_end& right)
{
    return std::pair(left.ended_at, left.upstream) <
           std::pair(right.ended_at, right.upstream);
}

// One of the runs began after another one's upstream had ended.
bool came_again(const std::vector<crash_end>& ends)
{
    return std::ranges::any_of(
        ends,
        [&ends](const crash_end& later)
        {
            return later.begun_at >= ends.front().ended_at + time_jitter;
        });
}

// The oldest without which it still came again, if it did.
std::size_t dispensable(const std::vector<crash_end>& ends)
{
    if (!came_again(ends))
    {
        return 0;
    }
    for (std::size_t index = 0; index < ends.size(); ++index)
    {
        auto rest = ends;
        rest.erase(std::next(rest.begin(), static_cast<std::ptrdiff_t>(index)));
        if (came_again(rest))
        {
            return index;
        }
    }
    return 0;
}

void insert_in_order(std::vector<crash_end>& ends, const crash_end& one)
{
    ends.insert(std::ranges::upper_bound(ends, one, is_earlier), one);
}

// False: known already, or too early to count.
bool insert(std::vector<crash_end>& ends, const crash_end& one)
{
    if (std::ranges::find(ends, one.upstream, &crash_end::upstream) !=
        ends.end())
    {
        return false;
    }
    auto all = ends;
    insert_in_order(all, one);
    if (all.size() > most_ends_kept)
    {
        const auto victim = std::next(
            all.begin(), static_cast<std::ptrdiff_t>(dispensable(all)));
        // Ends of one moment would otherwise push each other out for ever, as
        // hosts tell each other of them.
        const bool is_of_one_moment =
            one.ended_at <= victim->ended_at + time_slack;
        const bool shows_more = came_again(all) && !came_again(ends);
        if (victim->upstream == one.upstream ||
            (is_of_one_moment && !shows_more))
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
        [&record](const crash_end& each)
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

void crash_evidence::note_change(entry& of, time_point now)
{
    of.changed = ++stamp_;
    of.changed_at = now;
}

crash_evidence::entry& crash_evidence::find_or_add(
    std::uint64_t digest, const std::string& service, time_point now)
{
    const auto found = records_.find(digest);
    if (found != records_.end())
    {
        return found->second;
    }
    make_room(now);
    auto& made = records_[digest];
    made.record.digest = digest;
    made.record.service = service;
    return made;
}

void crash_evidence::make_room(time_point now)
{
    if (records_.size() < options_.most_records)
    {
        return;
    }
    const auto weight = [this, now](const auto& item)
    {
        const auto found = judge(item.second.record, now);
        const bool is_kept_last =
            found.suspicion == crash_suspicion::quarantined;
        const bool is_kept_longer = found.ends > 1;
        return std::tuple(is_kept_last, is_kept_longer, item.second.changed_at);
    };
    records_.erase(std::ranges::min_element(records_, {}, weight));
}

void crash_evidence::add_end(
    std::uint64_t digest,
    const crash_end& end,
    const std::string& service,
    time_point now)
{
    crash_record told;
    told.digest = digest;
    told.service = service;
    told.ends = {end};
    merge(told, now);
}

bool crash_evidence::add_completion(std::uint64_t digest, time_point now)
{
    if (completions_.size() >= options_.most_completions &&
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
    note_change(found->second, now);
    return true;
}

bool crash_evidence::has_completed_lately(
    std::uint64_t digest, time_point now) const
{
    const auto found = completions_.find(digest);
    return found != completions_.end() &&
           now - found->second < options_.completion_memory;
}

bool crash_evidence::release(std::uint64_t digest, time_point now)
{
    const auto found = records_.find(digest);
    if (found == records_.end())
    {
        return false;
    }
    clear(found->second.record, now);
    note_change(found->second, now);
    return true;
}

crash_judgement
crash_evidence::judge(std::uint64_t digest, time_point now) const
{
    const auto found = records_.find(digest);
    return found == records_.end() ? crash_judgement()
                                   : judge(found->second.record, now);
}

crash_judgement
crash_evidence::judge(const crash_record& record, time_point now) const
{
    crash_judgement found;
    found.ends = record.ends.size();
    if (record.ends.empty() ||
        now - record.ends.back().ended_at >= 2 * options_.quarantine)
    {
        return {};
    }
    found.suspicion = crash_suspicion::suspected;
    const bool is_recent =
        now - record.ends.back().ended_at < options_.quarantine;
    if (is_recent && record.ends.size() >= ends_to_quarantine &&
        came_again(record.ends))
    {
        found.suspicion = crash_suspicion::quarantined;
    }
    return found;
}

bool crash_evidence::merge(const crash_record& record, time_point now)
{
    if (is_old(record, now))
    {
        return false;
    }
    auto& mine = find_or_add(record.digest, record.service, now);
    if (is_old(mine.record, now))
    {
        mine.record.ends.clear();
    }
    bool changed = false;
    if (is_later_clearing(mine.record, record.cleared_at))
    {
        changed = clear(mine.record, record.cleared_at);
    }
    for (const auto& each : record.ends)
    {
        if (!is_cleared(mine.record, each))
        {
            changed = insert(mine.record.ends, each) || changed;
        }
    }
    changed = clear_by_completion(mine.record) || changed;
    if (changed)
    {
        note_change(mine, now);
    }
    else if (mine.changed == 0)
    {
        records_.erase(record.digest);
    }
    return changed;
}

bool crash_evidence::is_old(const crash_record& record, time_point now) const
{
    time_point last = record.cleared_at;
    for (const auto& each : record.ends)
    {
        last = std::max(last, each.ended_at);
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
    const auto until = found->second + time_slack;
    return !record.ends.empty() && record.ends.front().ended_at <= until &&
           clear(record, found->second);
}

std::vector<crash_record>
crash_evidence::changes_since(std::uint64_t stamp) const
{
    std::vector<crash_record> changes;
    for (const auto& [digest, each] : records_)
    {
        if (each.changed > stamp)
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
        const auto judged = judge(each.record, now);
        if (judged.suspicion == crash_suspicion::quarantined)
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
            return is_old(item.second.record, now);
        });
    std::erase_if(
        completions_,
        [this, now](const auto& item)
        {
            return now - item.second >= options_.completion_memory;
        });
}

work_in_progress::ticket
work_in_progress::begin(std::uint64_t digest, time_point now)
{
    runs_[++last_] = {{digest, now}};
    return last_;
}

void work_in_progress::end(ticket of)
{
    runs_.erase(of);
}

void work_in_progress::lose(ticket of, time_point now)
{
    forget_old(now);
    const auto found = runs_.find(of);
    if (found != runs_.end() && found->second.lost_at == time_point::max())
    {
        found->second.lost_at = now;
    }
}

void work_in_progress::forget_old(time_point now)
{
    std::erase_if(
        runs_,
        [now](const auto& item)
        {
            const auto lost_at = item.second.lost_at;
            return lost_at != time_point::max() && now - lost_at >= together;
        });
}

std::vector<work_in_progress::lost_work>
work_in_progress::take_all(time_point now)
{
    forget_old(now);
    std::vector<lost_work> all;
    for (const auto& [of, each] : runs_)
    {
        const auto same =
            std::ranges::find(all, each.work.digest, &lost_work::digest);
        if (same == all.end())
        {
            all.push_back(each.work);
        }
        else
        {
            same->begun_at = std::max(same->begun_at, each.work.begun_at);
        }
    }
    runs_.clear();
    return all;
}

} // namespace nutmegusher
