#include "nutmegusher/policy/router.hpp"

#include "nutmegusher/policy/reported_load.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace nutmegusher
{

namespace
{

using internal::upstream_health;

constexpr std::array distances{
    network_distance::same_data_center,
    network_distance::same_region,
    network_distance::other_region};

// An upstream this many times slower than the median of the others serves less
// than a third of what another would. Noise of its moving average stays within
// a factor of 1.5.
constexpr double slow_factor = 3.0;
constexpr double median_check_factor = 1.5;
constexpr double mean_latency_weight = 1.0 / 64;
// Differences below this are noise of the network and of the host's scheduler.
constexpr double min_slow_seconds = 0.005;

// How much later than a short idempotent call any other one probes an ejected
// upstream.
constexpr duration other_probe_delay = std::chrono::seconds(2);

// How long an upstream that refused because it is leaving gets no calls;
// membership reports it within about a second.
constexpr duration leaving_retention = std::chrono::seconds(2);
// Starts of upstreams that are remembered as leaving after membership has
// dropped them; an old record could bring them back for some seconds.
constexpr std::size_t max_left_starts = 256;
// Exponentially distributed latencies exceed four times their mean once in
// fifty calls, which is little compared to a budget of a tenth for all retries.
constexpr double timeout_factor = 4.0;
constexpr double min_timeout_seconds = 0.05;

// Slow start: an upstream that joins a running service gets a fifth of its
// usual calls at first and all of them after this, as its warm-up takes about a
// second.
constexpr duration slow_start_duration = std::chrono::seconds(1);
constexpr double slow_start_cost = 4.0;
// A load report counts in full for this time, then its weight decays; a busy
// upstream reports hundreds of times a second.
constexpr duration load_lifetime = std::chrono::seconds(1);
constexpr double min_slot_time_seconds = 0.001;
// Waiting for a slot counts twice: the load report is slightly outdated, and
// other daemons have sent calls there since.
constexpr double queue_weight = 2.0;
// Extra cost of the last free slots, as a multiple of the service's mean slot
// time: other daemons send calls there at the same time, and a call that finds
// no free slot waits. As a multiple of the upstream's own slot time it kept
// fast upstreams full while a slow one had a third of its slots free: with
// three upstreams, one of them half as fast, at 0.88 of their capacity 41 in
// 100 calls waited; with the mean slot time 27 did.
constexpr double contention_weight = 0.5;
// The extra cost doesn't grow beyond this utilization: full upstreams differ by
// their queues alone.
constexpr double max_contended_utilization = 0.95;
constexpr double mean_slot_time_weight = 1.0 / 64;
// Larger than for the slot time: a surge fills all upstreams within a second or
// two.
constexpr double mean_utilization_weight = 1.0 / 16;
// The speed of an upstream rarely changes; a cold one warms up within seconds.
constexpr double slot_time_half_life_seconds = 10;
// The pace of a host changes about as often.
constexpr double pace_lifetime_seconds = 0.6;
// How an upstream is refreshed: one whose slot time is this many times the mean
// of the service, after this many times the interval at which an even share
// would bring it calls.
constexpr double refresh_factor = 1.2;
constexpr double refresh_intervals = 10.0;
constexpr duration min_refresh_interval = std::chrono::milliseconds(500);
// Looking for such upstreams at each call would cost as much as a choice.
constexpr duration refresh_check_interval = std::chrono::milliseconds(100);
// A slot time that is this much shorter than in the report before.
constexpr double recovering_share = 0.8;
constexpr double call_rate_seconds = 2;
// A slot time is an average over about eight calls. While half of the slots are
// free, a better estimate than that is worth nothing.
constexpr double cost_noise = 0.2;
constexpr double max_idle_utilization = 0.5;
// Penalty for another data centre: the round trip time within the region, and a
// share of the slot time that keeps calls near until six tenths of the near
// slots are in use. With a share of a tenth, nine times as many bytes crossed
// data centres at normal load.
constexpr double far_round_trip_seconds = 0.002;
constexpr double far_slot_time_share = 0.6;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

// The present slot time over the usual one, as reported `age` seconds ago.
double pace_factor(const upstream_load& load, double age)
{
    if (load.pace == 0)
    {
        return 1;
    }
    const double kept = std::clamp(1 - age / pace_lifetime_seconds, 0.0, 1.0);
    return 1 + (static_cast<double>(load.pace) / usual_pace - 1) * kept;
}

// The median, or the higher of the two middle values; 0 if there are none.
double upper_median(std::vector<double>& values)
{
    if (values.empty())
    {
        return 0;
    }
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

router::router(router_options options)
    : options_(options)
{
}

void router::update(std::span<const candidate> candidates, time_point now)
{
    const bool running = !entries_.empty();
    std::vector<entry> kept;
    kept.reserve(candidates.size());
    for (const candidate& each : candidates)
    {
        const auto existing = std::find_if(
            entries_.begin(),
            entries_.end(),
            [&each](const entry& old)
            {
                return old.upstream.host == each.host &&
                       old.upstream.start == each.start;
            });
        if (existing != entries_.end())
        {
            existing->upstream = each;
            kept.push_back(std::move(*existing));
            entries_.erase(existing);
            continue;
        }
        entry added;
        added.handle = upstream_handle(++last_handle_);
        added.upstream = each;
        added.left =
            std::find(
                left_starts_.begin(),
                left_starts_.end(),
                left_start{each.host, each.start}) != left_starts_.end();
        added.slow_start_until = running ? now + slow_start_duration : now;
        kept.push_back(std::move(added));
    }
    entries_ = std::move(kept);
}

router::upstream_index router::find(upstream_handle handle) const
{
    for (std::size_t index = 0; index < entries_.size(); ++index)
    {
        if (entries_[index].handle == handle)
        {
            return index;
        }
    }
    return std::nullopt;
}

bool router::usable(
    const entry& each,
    std::span<const upstream_handle> tried,
    time_point now) const
{
    return !each.upstream.leaving && !each.left && now >= each.excluded_until &&
           std::find(tried.begin(), tried.end(), each.handle) == tried.end();
}

bool router::healthy(const entry& each, bool bulk, time_point now) const
{
    return !each.health.ejected() && !each.health.stalled(bulk, now);
}

std::optional<upstream_handle> router::choose(
    const call_info& call,
    std::span<const upstream_handle> tried,
    time_point now,
    random_engine& engine)
{
    if (const upstream_index probe = due_probe(call, tried, now))
    {
        entries_[*probe].health.begin_probe();
        return entries_[*probe].handle;
    }
    if (!options_.near_first)
    {
        const upstream_index refreshed = due_refresh(call, tried, now);
        const upstream_index chosen =
            refreshed ? refreshed
                      : choose_by_expected_time(call, tried, now, engine);
        return chosen ? std::optional(entries_[*chosen].handle) : std::nullopt;
    }
    for (const network_distance distance : distances)
    {
        const auto accepts = [&](const entry& each)
        {
            return each.upstream.distance == distance &&
                   usable(each, tried, now) && healthy(each, call.bulk, now) &&
                   each.health.accepts(call, now);
        };
        if (const upstream_index chosen =
                best_of_two(call.bulk, now, engine, accepts))
        {
            return entries_[*chosen].handle;
        }
    }
    // All refuse by their last known level: the upstream itself decides.
    const auto is_healthy = [&](const entry& each)
    {
        return usable(each, tried, now) && healthy(each, call.bulk, now);
    };
    if (const upstream_index chosen =
            best_of_two(call.bulk, now, engine, is_healthy))
    {
        return entries_[*chosen].handle;
    }
    const auto any = [&](const entry& each)
    {
        return usable(each, tried, now);
    };
    if (const upstream_index chosen = best_of_two(call.bulk, now, engine, any))
    {
        return entries_[*chosen].handle;
    }
    return std::nullopt;
}

router::upstream_index router::choose_by_expected_time(
    const call_info& call,
    std::span<const upstream_handle> tried,
    time_point now,
    random_engine& engine)
{
    const auto is_healthy = [&](const entry& each)
    {
        return usable(each, tried, now) && healthy(each, call.bulk, now);
    };
    const auto is_near = [&](const entry& each)
    {
        return each.upstream.distance == network_distance::same_data_center &&
               is_healthy(each);
    };
    // The better of two near upstreams competes with the better of two out of
    // all, as two random ones out of all are both far in most cases.
    const upstream_index near = best_of_two(call.bulk, now, engine, is_near);
    const upstream_index chosen =
        best_of_two(call.bulk, now, engine, is_healthy);
    if (near && chosen)
    {
        const bool is_nearer = cost(entries_[*near], call.bulk, now) <=
                               cost(entries_[*chosen], call.bulk, now);
        return is_nearer ? near : chosen;
    }
    if (chosen)
    {
        return chosen;
    }
    const auto any = [&](const entry& each)
    {
        return usable(each, tried, now);
    };
    return best_of_two(call.bulk, now, engine, any);
}

bool router::has_alternative(
    const call_info& call,
    std::span<const upstream_handle> tried,
    time_point now) const
{
    return std::any_of(
        entries_.begin(),
        entries_.end(),
        [&](const entry& each)
        {
            return usable(each, tried, now) && healthy(each, call.bulk, now) &&
                   each.health.accepts(call, now);
        });
}

bool router::should_try_elsewhere(
    const call_info& call,
    std::span<const upstream_handle> tried,
    time_point now) const
{
    const bool any_refuses = std::any_of(
        entries_.begin(),
        entries_.end(),
        [now](const entry& each)
        {
            return each.health.refuses_any(now);
        });
    return !any_refuses && has_alternative(call, tried, now);
}

router::upstream_index router::due_probe(
    const call_info& call,
    std::span<const upstream_handle> tried,
    time_point now)
{
    // The probe may fail, so a short idempotent call is preferred: it can be
    // retried.
    const bool can_retry = call.repeatable && !call.bulk;
    const duration delay = can_retry ? duration(0) : other_probe_delay;
    for (std::size_t index = 0; index < entries_.size(); ++index)
    {
        const entry& each = entries_[index];
        if (usable(each, tried, now) && each.health.probe_due(now - delay))
        {
            return index;
        }
    }
    return std::nullopt;
}

// The call may take long, so it has to be one that can be repeated.
router::upstream_index router::due_refresh(
    const call_info& call,
    std::span<const upstream_handle> tried,
    time_point now)
{
    if (now < next_refresh_check_ || !call.repeatable || call.bulk ||
        !tried.empty() || call_rate_ <= 0)
    {
        return std::nullopt;
    }
    next_refresh_check_ = now + refresh_check_interval;
    const double even_interval =
        static_cast<double>(entries_.size()) / call_rate_;
    for (std::size_t index = 0; index < entries_.size(); ++index)
    {
        const entry& each = entries_[index];
        const bool is_avoided =
            each.load.slots > 0 && each.health.in_flight() == 0 &&
            seconds(each.load.slot_time) > refresh_factor * mean_slot_time_;
        const double interval =
            each.is_recovering
                ? std::max(even_interval, seconds(refresh_check_interval))
                : std::max(
                      refresh_intervals * even_interval,
                      seconds(min_refresh_interval));
        const auto last = std::max(each.load_received_at, each.last_sent_at);
        if (is_avoided && seconds(now - last) >= interval &&
            usable(each, tried, now) && healthy(each, call.bulk, now))
        {
            return index;
        }
    }
    return std::nullopt;
}

// Estimates the present load of an upstream: its last report, blended into the
// mean over the service's reports as it becomes older.
router::load_estimate
router::estimate_load(const entry& each, time_point now) const
{
    if (each.load.slots == 0)
    {
        return {mean_slot_time_, mean_utilization_, mean_slots_};
    }
    const double reported_slot_time =
        std::max(seconds(each.load.slot_time), min_slot_time_seconds) *
        pace_factor(each.load, seconds(now - each.load_received_at));
    const auto slots = static_cast<double>(each.load.slots);
    const auto calls =
        static_cast<double>(each.load.running + each.load.waiting);
    const double age = seconds(now - each.load_received_at - load_lifetime);
    if (age <= 0)
    {
        const auto sent = static_cast<double>(each.sent_since_report);
        return {reported_slot_time, (calls + sent) / slots, slots};
    }
    const auto sent = static_cast<double>(
        std::min(each.sent_since_report, each.health.in_flight()));
    const double load_half_life =
        std::max(reported_slot_time, seconds(load_lifetime));
    const double load_share = std::exp2(-age / load_half_life);
    const double slot_time_share =
        std::exp2(-age / slot_time_half_life_seconds);
    return {
        mean_slot_time_ +
            (reported_slot_time - mean_slot_time_) * slot_time_share,
        mean_utilization_ + (calls / slots - mean_utilization_) * load_share +
            sent / slots,
        slots};
}

// Expected time of one more call there in seconds, from load reports; none if
// no upstream of the service has reported its load.
std::optional<double>
router::reported_cost(const entry& each, bool bulk, time_point now) const
{
    if (mean_slot_time_ <= 0)
    {
        return std::nullopt;
    }
    const auto [slot_time, utilization, slots] = estimate_load(each, now);
    const double queue = std::max(utilization - 1.0, 0.0) * queue_weight;
    const double expected =
        slot_time * (1.0 + queue) +
        contention_cost(utilization, slots) * mean_slot_time_ +
        distance_cost(each, slot_time);
    return std::max(
        expected, seconds(each.health.time_without_progress(bulk, now)));
}

// Cost of using one of the last free slots, as a multiple of the mean slot
// time. The exponent is that of Sakasegawa's approximation of the wait at many
// servers: the 60th of 72 slots still leaves others free, the 7th of 8 hardly
// does.
double router::contention_cost(double utilization, double slots)
{
    const double contended = std::min(utilization, max_contended_utilization);
    const double exponent = std::sqrt(2.0 * (slots + 1.0)) - 1.0;
    return contention_weight * std::pow(contended, exponent) /
           (1.0 - contended);
}

// Penalty of the distance in seconds, added to the expected time.
double router::distance_cost(const entry& each, double slot_time) const
{
    const bool near =
        each.upstream.distance == network_distance::same_data_center;
    return options_.near_first || near
               ? 0.0
               : far_round_trip_seconds + slot_time * far_slot_time_share;
}

double router::cost(const entry& each, bool bulk, time_point now) const
{
    const double failing = each.errors.cost(calls_sent_, now);
    const auto reported = reported_cost(each, bulk, now);
    if (reported && each.load.slots > 0)
    {
        return *reported + failing;
    }
    const double expected = reported.value_or(
        each.health.cost(bulk) +
        distance_cost(each, each.health.latency(bulk)));
    if (now >= each.slow_start_until)
    {
        return expected + failing;
    }
    const double left =
        seconds(each.slow_start_until - now) / seconds(slow_start_duration);
    return (expected + failing) * (1.0 + slow_start_cost * left);
}

// Whether two upstreams with free slots differ by no more than the noise of
// their slot times.
//
// Pattern of load: three upstreams with a tenth of their slots in use. One of
// them was measured a few percent slower, so it lost each comparison, got no
// calls and reported nothing that would have corrected it.
bool router::are_equally_good(
    const entry& one,
    double cost_of_one,
    const entry& other,
    double cost_of_other,
    time_point now) const
{
    const double least = std::min(cost_of_one, cost_of_other);
    if (options_.near_first || one.load.slots == 0 || other.load.slots == 0 ||
        std::abs(cost_of_one - cost_of_other) > least * cost_noise)
    {
        return false;
    }
    return estimate_load(one, now).utilization < max_idle_utilization &&
           estimate_load(other, now).utilization < max_idle_utilization;
}

template <class Accept>
router::upstream_index router::best_of_two(
    bool bulk, time_point now, random_engine& engine, const Accept& accept)
{
    // Draws two of the accepted upstreams by reservoir sampling, without
    // building a list.
    std::array<std::size_t, 2> sample{};
    std::size_t seen = 0;
    for (std::size_t index = 0; index < entries_.size(); ++index)
    {
        if (!accept(entries_[index]))
        {
            continue;
        }
        ++seen;
        if (seen <= sample.size())
        {
            sample[seen - 1] = index;
            continue;
        }
        const std::uint64_t slot = uniform_below(engine, seen);
        if (slot < sample.size())
        {
            sample[slot] = index;
        }
    }
    if (seen == 0)
    {
        return std::nullopt;
    }
    if (seen == 1)
    {
        return sample[0];
    }
    const double first = cost(entries_[sample[0]], bulk, now);
    const double second = cost(entries_[sample[1]], bulk, now);
    const bool is_tie =
        first == second ||
        are_equally_good(
            entries_[sample[0]], first, entries_[sample[1]], second, now);
    if (is_tie)
    {
        return sample[uniform_below(engine, sample.size())];
    }
    return first < second ? sample[0] : sample[1];
}

void router::on_start(upstream_handle to, bool bulk, time_point now)
{
    if (const upstream_index found = find(to))
    {
        ++calls_sent_;
        entry& one = entries_[*found];
        one.health.on_start(bulk, now);
        one.errors.on_start(calls_sent_, now);
        ++one.sent_since_report;
        one.last_sent_at = now;
        const double age = seconds(now - call_rate_at_);
        call_rate_ = call_rate_ * std::exp(-age / call_rate_seconds) +
                     1 / call_rate_seconds;
        call_rate_at_ = now;
    }
}

void router::on_answer(
    upstream_handle from, bool bulk, duration elapsed, time_point now)
{
    end(from, bulk, upstream_health::ending::answer, elapsed, now);
}

void router::on_failure(upstream_handle from, bool bulk, time_point now)
{
    end(from, bulk, upstream_health::ending::failure, duration(0), now);
}

void router::on_silent(upstream_handle from, bool bulk, time_point now)
{
    end(from, bulk, upstream_health::ending::silence, duration(0), now);
}

void router::on_neutral(upstream_handle from, bool bulk, time_point now)
{
    end(from, bulk, upstream_health::ending::neutral, duration(0), now);
}

void router::on_leaving(upstream_handle from, bool bulk, time_point now)
{
    on_neutral(from, bulk, now);
    if (const upstream_index found = find(from))
    {
        entries_[*found].excluded_until = now + leaving_retention;
    }
}

void router::on_address_reused(upstream_handle from, bool bulk, time_point now)
{
    on_neutral(from, bulk, now);
    if (const upstream_index found = find(from))
    {
        entries_[*found].excluded_until = now + reused_address_retention;
    }
}

void router::on_left(upstream_handle from)
{
    const upstream_index found = find(from);
    if (!found || entries_[*found].left)
    {
        return;
    }
    entry& one = entries_[*found];
    one.left = true;
    if (one.upstream.start == 0)
    {
        return; // a later start couldn't be told from this one
    }
    if (left_starts_.size() == max_left_starts)
    {
        left_starts_.pop_front();
    }
    left_starts_.push_back({one.upstream.host, one.upstream.start});
}

void router::on_rate_limit(
    upstream_handle from, std::optional<double> calls_per_second)
{
    if (const upstream_index found = find(from))
    {
        entries_[*found].rate_limit = calls_per_second;
    }
}

std::optional<double> router::rate_limit(upstream_handle of) const
{
    const upstream_index found = find(of);
    return found ? entries_[*found].rate_limit : std::nullopt;
}

void router::end(
    upstream_handle from,
    bool bulk,
    internal::upstream_health::ending how,
    duration elapsed,
    time_point now)
{
    const upstream_index found = find(from);
    if (!found)
    {
        return;
    }
    entry& one = entries_[*found];
    one.health.on_end(bulk, how, elapsed, now);
    if (one.health.failing())
    {
        // A failed probe prolongs the ejection.
        if (one.health.ejected() || may_eject(one))
        {
            one.health.eject(now);
        }
        return;
    }
    // If upstreams report their load, a slow one gets fewer calls because of
    // its expected time, and isn't ejected: a full service would lose its
    // remaining capacity.
    if (how == upstream_health::ending::answer && options_.near_first)
    {
        eject_if_slow(one, bulk, now);
    }
}

bool router::may_eject(const entry& suspect) const
{
    std::size_t active = 0;
    std::size_t healthy_others = 0;
    for (const entry& each : entries_)
    {
        if (each.upstream.leaving)
        {
            continue;
        }
        ++active;
        const bool other = &each != &suspect;
        healthy_others +=
            other && !each.health.ejected() && !each.health.failed_last();
    }
    return healthy_others * 2 >= active;
}

double router::median_of_others(const entry& one, bool bulk) const
{
    scratch_.clear();
    for (const entry& each : entries_)
    {
        const double latency = each.health.latency(bulk);
        if (&each != &one && latency > 0 && !each.health.ejected())
        {
            scratch_.push_back(latency);
        }
    }
    return upper_median(scratch_);
}

lane_level router::median_level(bool bulk, time_point now) const
{
    scratch_.clear();
    for (const entry& each : entries_)
    {
        if (!each.upstream.leaving && !each.health.ejected())
        {
            const admission_level level = each.health.level(now);
            scratch_.push_back(
                pass_threshold(bulk ? level.bulk_lane : level.short_lane));
        }
    }
    return scratch_.empty() ? lane_level{}
                            : level_for_threshold(upper_median(scratch_));
}

admission_level router::service_level(time_point now) const
{
    admission_level all;
    all.short_lane = median_level(false, now);
    all.bulk_lane = median_level(true, now);
    for (const entry& each : entries_)
    {
        all.retry_after =
            std::max(all.retry_after, each.health.level(now).retry_after);
    }
    return all;
}

admission_level call_path_level(
    const router& route, const answer_levels& levels, bool bulk, time_point now)
{
    admission_level own = route.service_level(now);
    const lane_level lane = bulk ? own.bulk_lane : own.short_lane;
    own.short_lane = lane;
    own.bulk_lane = lane;
    return stricter(own, levels.deeper);
}

void router::eject_if_slow(entry& suspect, bool bulk, time_point now)
{
    const double own = suspect.health.latency(bulk);
    double& mean = mean_latency_[bulk ? 1 : 0];
    mean = mean == 0 ? own : mean + (own - mean) * mean_latency_weight;
    // The median is computed only for upstreams that may be far above it.
    if (suspect.health.ejected() || own < min_slow_seconds ||
        own < mean * median_check_factor)
    {
        return;
    }
    const double others = median_of_others(suspect, bulk);
    if (others > 0 && own > others * slow_factor && may_eject(suspect))
    {
        suspect.health.eject(now);
    }
}

std::optional<duration> router::try_timeout(upstream_handle at, bool bulk) const
{
    const upstream_index found = find(at);
    if (!found)
    {
        return std::nullopt;
    }
    const double others = median_of_others(entries_[*found], bulk);
    if (others <= 0)
    {
        return std::nullopt;
    }
    const double seconds =
        std::max(others * timeout_factor, min_timeout_seconds);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

void router::on_load(
    upstream_handle from, const upstream_load& load, time_point now)
{
    if (const upstream_index found = find(from))
    {
        entry& one = entries_[*found];
        one.is_recovering = seconds(load.slot_time) <
                            seconds(one.load.slot_time) * recovering_share;
        one.load = load;
        one.load_received_at = now;
        one.sent_since_report = 0;
        update_means(load);
        one.errors.on_report(load.errors, calls_sent_, now);
    }
}

void router::update_means(const upstream_load& load)
{
    if (load.slots == 0 || load.slot_time <= duration(0))
    {
        return;
    }
    const double slot_time = seconds(load.slot_time);
    const auto slots = static_cast<double>(load.slots);
    const double utilization =
        static_cast<double>(load.running + load.waiting) / slots;
    if (mean_slot_time_ <= 0)
    {
        mean_slot_time_ = slot_time;
        mean_utilization_ = utilization;
        mean_slots_ = slots;
        return;
    }
    mean_slot_time_ += (slot_time - mean_slot_time_) * mean_slot_time_weight;
    mean_utilization_ +=
        (utilization - mean_utilization_) * mean_utilization_weight;
    mean_slots_ += (slots - mean_slots_) * mean_slot_time_weight;
}

void router::on_level(
    upstream_handle from, const admission_level& level, time_point now)
{
    if (const upstream_index found = find(from))
    {
        entries_[*found].health.on_level(level, now);
    }
}

const host_id* router::host(upstream_handle of) const
{
    const upstream_index found = find(of);
    return found ? &entries_[*found].upstream.host : nullptr;
}

std::vector<upstream_state> router::state() const
{
    std::vector<upstream_state> states;
    states.reserve(entries_.size());
    for (const entry& each : entries_)
    {
        const std::chrono::duration<double> latency(each.health.latency(false));
        states.push_back(
            {each.handle,
             each.upstream.host,
             each.health.in_flight(),
             std::chrono::duration_cast<duration>(latency),
             each.health.ejected(),
             each.upstream.leaving,
             each.load,
             each.load_received_at});
    }
    return states;
}

} // namespace nutmegusher
