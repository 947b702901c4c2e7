#include "testing/oracle.hpp"

#include <algorithm>
#include <optional>

namespace nutmegusher::test_support
{

namespace
{

std::string_view to_text(violation_kind kind)
{
    switch (kind)
    {
    case violation_kind::ran_twice:
        return "ran twice";
    case violation_kind::not_run_but_ran:
        return "told not run, but ran";
    case violation_kind::completed_not_run:
        return "told completed, but never finished";
    case violation_kind::wrong_answer:
        break;
    }
    return "wrong answer";
}

std::optional<violation_kind>
find_violation(const load_record& record, const execution_count& count)
{
    const bool keyed = !record.key.empty();
    if (keyed && count.started > 1)
    {
        return violation_kind::ran_twice;
    }
    if (record.outcome == caller_outcome::not_run && count.started > 0)
    {
        return violation_kind::not_run_but_ran;
    }
    if (record.outcome == caller_outcome::completed && count.finished == 0)
    {
        return violation_kind::completed_not_run;
    }
    if (record.outcome == caller_outcome::wrong)
    {
        return violation_kind::wrong_answer;
    }
    return std::nullopt;
}

} // namespace

std::string to_text(const std::vector<violation>& violations)
{
    constexpr std::size_t max_shown = 10;
    std::string text = std::to_string(violations.size()) + " violations";
    const auto shown = std::min(violations.size(), max_shown);
    for (std::size_t i = 0; i < shown; ++i)
    {
        const auto& item = violations[i];
        text += "\n  " + item.class_name + " " + item.token + ": ";
        text += to_text(item.kind);
        text += ", started " + std::to_string(item.started) + ", finished " +
                std::to_string(item.finished);
    }
    return text;
}

std::vector<violation> check_executions(
    const std::vector<load_record>& records, const execution_counts& counts)
{
    std::vector<violation> violations;
    for (const auto& record : records)
    {
        const auto found = counts.find(record.token);
        const auto count =
            found == counts.end() ? execution_count() : found->second;
        if (const auto kind = find_violation(record, count))
        {
            violations.push_back(
                {*kind,
                 record.class_name,
                 record.token,
                 count.started,
                 count.finished});
        }
    }
    return violations;
}

void add_counts(execution_counts& sum, const execution_counts& more)
{
    for (const auto& [name, count] : more)
    {
        auto& entry = sum[name];
        entry.started += count.started;
        entry.finished += count.finished;
    }
}

std::size_t
count_outcome(const std::vector<load_record>& records, caller_outcome outcome)
{
    return static_cast<std::size_t>(std::count_if(
        records.begin(),
        records.end(),
        [outcome](const load_record& record)
        {
            return record.outcome == outcome;
        }));
}

} // namespace nutmegusher::test_support
