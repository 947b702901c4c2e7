#include "nutmegusher/node/metrics.hpp"

#include <boost/histogram.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <map>
#include <mutex>

namespace nutmegusher::node
{

namespace
{

namespace bh = boost::histogram;
namespace json = boost::json;

// Logarithmic latency bins from 50 µs to 60 s, about 12 per decade.
constexpr unsigned latency_bins = 73;
constexpr double min_latency_ms = 0.05;
constexpr double max_latency_ms = 60000.0;
// Limit of separately counted entries (a class and a side) in one shard; the
// rest are counted together as "other". A class takes 700 bytes, and without a
// limit each change of the configuration could add new names.
constexpr std::size_t max_named_classes = 128;
constexpr std::array quantiles{0.5, 0.9, 0.99, 0.999};

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(
    latency_axis(latency_bins, min_latency_ms, max_latency_ms)));

latency_histogram make_latency_histogram()
{
    return bh::make_histogram(
        latency_axis(latency_bins, min_latency_ms, max_latency_ms));
}

struct class_counts
{
    std::uint64_t completed = 0;
    std::uint64_t tries = 0;
    std::map<std::pair<call_reason, call_outcome>, std::uint64_t> refused;
    // Time to the end of cancelled calls, by the phase that they were in.
    std::map<request_phase, latency_histogram> cancelled;
    latency_histogram latency = make_latency_histogram();
};

using class_key = std::pair<class_name, call_side>;

// Returns the upper edge, in ms, of the bin that contains the quantile.
double quantile_of(const latency_histogram& histogram, double quantile)
{
    const auto total = bh::algorithm::sum(histogram);
    double cumulative = 0;
    for (const auto& bin : bh::indexed(histogram, bh::coverage::all))
    {
        cumulative += *bin;
        if (total > 0 && cumulative >= quantile * total)
        {
            return std::min(bin.bin().upper(), max_latency_ms);
        }
    }
    return 0;
}

std::uint64_t refused_total(const class_counts& counts)
{
    std::uint64_t total = 0;
    for (const auto& [reason_and_outcome, count] : counts.refused)
    {
        total += count;
    }
    return total;
}

std::string labels_of(const class_key& key)
{
    return "class=\"" + key.first.str() + "\",side=\"" +
           std::string(to_string(key.second)) + "\"";
}

void append_class(
    std::string& out, const class_key& key, const class_counts& counts)
{
    const auto labels = labels_of(key);
    const auto append_line =
        [&out](
            std::string_view name, const std::string& line_labels, auto value)
    {
        out += "nutmegusher_" + std::string(name) + "{" + line_labels + "} " +
               std::to_string(value) + "\n";
    };
    append_line(
        "requests_offered_total",
        labels,
        counts.completed + refused_total(counts));
    append_line("requests_completed_total", labels, counts.completed);
    append_line("tries_total", labels, counts.tries);
    for (const auto& [reason_and_outcome, count] : counts.refused)
    {
        append_line(
            "requests_refused_total",
            labels + ",reason=\"" +
                std::string(node::to_string(reason_and_outcome.first)) +
                "\",outcome=\"" +
                std::string(node::to_string(reason_and_outcome.second)) + "\"",
            count);
    }
    const auto append_quantiles = [&append_line](
                                      std::string_view name,
                                      const std::string& histogram_labels,
                                      const latency_histogram& histogram)
    {
        for (const auto quantile : quantiles)
        {
            append_line(
                name,
                histogram_labels + ",quantile=\"" + std::to_string(quantile) +
                    "\"",
                quantile_of(histogram, quantile));
        }
    };
    append_quantiles("latency_milliseconds", labels, counts.latency);
    for (const auto& [phase, histogram] : counts.cancelled)
    {
        const auto phase_labels =
            labels + ",phase=\"" + std::string(to_string(phase)) + "\"";
        append_line(
            "requests_cancelled_total",
            phase_labels,
            static_cast<std::uint64_t>(bh::algorithm::sum(histogram)));
        append_quantiles("cancellation_milliseconds", phase_labels, histogram);
    }
}

json::object dump_class(const class_key& key, const class_counts& counts)
{
    json::object refused;
    for (const auto& [reason_and_outcome, count] : counts.refused)
    {
        refused
            [std::string(node::to_string(reason_and_outcome.first)) + "/" +
             std::string(node::to_string(reason_and_outcome.second))] = count;
    }
    return {
        {"class", key.first.str()},
        {"side", to_string(key.second)},
        {"completed", counts.completed},
        {"tries", counts.tries},
        {"refused", std::move(refused)},
        {"p50_ms", quantile_of(counts.latency, 0.5)},
        {"p99_ms", quantile_of(counts.latency, 0.99)}};
}

} // namespace

std::string_view to_string(call_side side)
{
    return side == call_side::entry ? "entry" : "upstream";
}

std::string_view to_string(request_phase phase)
{
    switch (phase)
    {
    case request_phase::admission:
        return "admission";
    case request_phase::queued:
        return "queued";
    case request_phase::running:
        return "running";
    case request_phase::answering:
        break;
    }
    return "answering";
}

struct metrics::shard
{
    mutable std::mutex mutex;
    std::map<class_key, class_counts> classes;

    class_counts& counts_of(const class_name& name, call_side side)
    {
        const bool is_known = classes.contains({name, side});
        const bool has_room = classes.size() < max_named_classes;
        static const class_name all_others("other");
        return classes[{is_known || has_room ? name : all_others, side}];
    }
};

metrics::metrics()
{
    for (auto& each : shards_)
    {
        each = std::make_unique<shard>();
    }
}

metrics::~metrics() = default;

metrics::shard& metrics::shard_of(const class_name& name) const
{
    return *shards_[stable_hash(name.str()) % shard_count];
}

void metrics::completed(
    call_side side,
    const class_name& name,
    duration latency,
    std::uint32_t tries)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    auto& shard = shard_of(name);
    const std::scoped_lock lock(shard.mutex);
    auto& counts = shard.counts_of(name, side);
    ++counts.completed;
    counts.tries += tries;
    counts.latency(milliseconds(latency).count());
}

void metrics::refused(
    call_side side,
    const class_name& name,
    call_reason reason,
    call_outcome result,
    std::uint32_t tries)
{
    auto& shard = shard_of(name);
    const std::scoped_lock lock(shard.mutex);
    auto& counts = shard.counts_of(name, side);
    counts.tries += tries;
    ++counts.refused[{reason, result}];
}

void metrics::cancelled(
    call_side side,
    const class_name& name,
    request_phase phase,
    duration ended_after)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    auto& shard = shard_of(name);
    const std::scoped_lock lock(shard.mutex);
    auto& histograms = shard.counts_of(name, side).cancelled;
    auto& histogram =
        histograms.try_emplace(phase, make_latency_histogram()).first->second;
    histogram(milliseconds(ended_after).count());
}

std::string metrics::exposition() const
{
    std::string out = "# TYPE nutmegusher_requests_offered_total counter\n"
                      "# TYPE nutmegusher_requests_completed_total counter\n"
                      "# TYPE nutmegusher_requests_refused_total counter\n"
                      "# TYPE nutmegusher_tries_total counter\n"
                      "# TYPE nutmegusher_latency_milliseconds summary\n"
                      "# TYPE nutmegusher_requests_cancelled_total counter\n"
                      "# TYPE nutmegusher_cancellation_milliseconds summary\n";
    for (const auto& each : shards_)
    {
        const std::scoped_lock lock(each->mutex);
        for (const auto& [key, counts] : each->classes)
        {
            append_class(out, key, counts);
        }
    }
    return out;
}

json::value metrics::dump() const
{
    json::array classes;
    for (const auto& each : shards_)
    {
        const std::scoped_lock lock(each->mutex);
        for (const auto& [key, counts] : each->classes)
        {
            classes.push_back(dump_class(key, counts));
        }
    }
    return classes;
}

} // namespace nutmegusher::node
