// Formats load records as a table, JSON or a trace.
#include "testing/load_client.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <sstream>

namespace nutmegusher::test_support
{

namespace json = boost::json;

namespace
{

constexpr double ns_per_ms = 1e6;
constexpr double median = 0.5;
constexpr double ninety_ninth = 0.99;

struct class_summary
{
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrong = 0;
    std::uint64_t tries = 0;
    std::map<std::string, std::uint64_t> reasons;
    std::vector<double> latencies_ms;
};

void add(class_summary& summary, const load_record& record)
{
    ++summary.offered;
    summary.tries += record.tries;
    summary.completed += record.outcome == caller_outcome::completed ? 1 : 0;
    summary.not_run += record.outcome == caller_outcome::not_run ? 1 : 0;
    summary.unknown += record.outcome == caller_outcome::unknown ? 1 : 0;
    summary.wrong += record.outcome == caller_outcome::wrong ? 1 : 0;
    if (record.outcome == caller_outcome::completed)
    {
        summary.latencies_ms.push_back(
            static_cast<double>(record.latency.count()) / ns_per_ms);
    }
    else
    {
        ++summary.reasons[record.reason];
    }
}

std::map<std::string, class_summary>
summarize(const std::vector<load_record>& records)
{
    std::map<std::string, class_summary> summaries;
    for (const auto& record : records)
    {
        add(summaries[record.class_name], record);
    }
    for (auto& [name, summary] : summaries)
    {
        std::sort(summary.latencies_ms.begin(), summary.latencies_ms.end());
    }
    return summaries;
}

double quantile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
    {
        return 0.0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(share * last)];
}

std::string reasons_text(const class_summary& summary)
{
    std::string text;
    for (const auto& [reason, count] : summary.reasons)
    {
        text +=
            (text.empty() ? "" : " ") + reason + "=" + std::to_string(count);
    }
    return text;
}

} // namespace

std::string
to_table(const std::vector<load_record>& records, const load_options& options)
{
    std::ostringstream out;
    std::array<char, 256> line{};
    const double seconds =
        std::chrono::duration<double>(options.length).count();
    std::snprintf(
        line.data(),
        line.size(),
        "%-18s %8s %9s %9s %8s %8s %6s %9s %9s %6s  %s\n",
        "class",
        "offered",
        "completed",
        "goodput/s",
        "not run",
        "unknown",
        "wrong",
        "p50 ms",
        "p99 ms",
        "tries",
        "reasons");
    out << line.data();
    for (const auto& [name, summary] : summarize(records))
    {
        std::snprintf(
            line.data(),
            line.size(),
            "%-18s %8lu %9lu %9.1f %8lu %8lu %6lu %9.2f %9.2f %6.2f  ",
            name.c_str(),
            summary.offered,
            summary.completed,
            static_cast<double>(summary.completed) / seconds,
            summary.not_run,
            summary.unknown,
            summary.wrong,
            quantile(summary.latencies_ms, median),
            quantile(summary.latencies_ms, ninety_ninth),
            static_cast<double>(summary.tries) /
                static_cast<double>(summary.offered));
        out << line.data() << reasons_text(summary) << '\n';
    }
    return out.str();
}

std::string
to_json(const std::vector<load_record>& records, const load_options& options)
{
    json::object classes;
    for (const auto& [name, summary] : summarize(records))
    {
        json::object reasons;
        for (const auto& [reason, count] : summary.reasons)
        {
            reasons[reason] = count;
        }
        classes[name] = {
            {"offered", summary.offered},
            {"completed", summary.completed},
            {"not_run", summary.not_run},
            {"unknown", summary.unknown},
            {"wrong", summary.wrong},
            {"tries", summary.tries},
            {"p50_ms", quantile(summary.latencies_ms, median)},
            {"p99_ms", quantile(summary.latencies_ms, ninety_ninth)},
            {"reasons", reasons}};
    }
    const json::object object{
        {"length_ms", options.length.count()},
        {"seed", options.seed},
        {"classes", classes}};
    return json::serialize(object);
}

std::string to_trace(const std::vector<load_record>& records)
{
    constexpr std::int64_t ns_per_us = 1000;
    constexpr double us_per_ms = 1000.0;
    std::ostringstream out;
    out << "arrival_us,class,customer,service_us\n";
    for (const auto& record : records)
    {
        const double service_us = std::max(0.0, record.service_ms) * us_per_ms;
        out << record.arrival.count() / ns_per_us << ',' << record.class_name
            << ',' << record.customer << ','
            << static_cast<std::int64_t>(service_us) << '\n';
    }
    return out.str();
}

} // namespace nutmegusher::test_support
