#include "nutmegusher/node/metrics.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::node
{
namespace
{

TEST(metrics, classes_over_the_limit_are_counted_together)
{
    metrics counts;
    constexpr int names = 100'000;
    for (int i = 0; i < names; ++i)
    {
        const class_name each("route-" + std::to_string(i));
        counts.completed(
            call_side::entry, each, std::chrono::milliseconds(1), 1);
    }
    const auto text = counts.exposition();
    EXPECT_LT(text.size(), 2'000'000U);
    EXPECT_NE(text.find("class=\"other\""), std::string::npos);
}

TEST(metrics, cancelled_requests_are_counted_by_phase)
{
    metrics measured;
    const class_name views("views");
    measured.cancelled(
        call_side::entry,
        views,
        request_phase::queued,
        std::chrono::milliseconds(3));
    const auto text = measured.exposition();
    EXPECT_NE(
        text.find("nutmegusher_requests_cancelled_total"
                  "{class=\"views\",side=\"entry\",phase=\"queued\"} 1\n"),
        std::string::npos)
        << text;
    EXPECT_EQ(text.find("phase=\"running\""), std::string::npos) << text;
}

TEST(metrics, offered_is_completed_and_refused)
{
    metrics measured;
    const class_name views("views");
    for (int i = 0; i < 99; ++i)
    {
        measured.completed(
            call_side::entry, views, std::chrono::milliseconds(2), 1);
    }
    measured.completed(
        call_side::entry, views, std::chrono::milliseconds(900), 2);
    measured.refused(
        call_side::entry,
        views,
        call_reason::overload,
        call_outcome::not_run,
        1);
    const auto text = measured.exposition();
    EXPECT_NE(
        text.find("nutmegusher_requests_offered_total"
                  "{class=\"views\",side=\"entry\"} 101\n"),
        std::string::npos)
        << text;
    EXPECT_NE(
        text.find("nutmegusher_requests_refused_total"
                  "{class=\"views\",side=\"entry\",reason=\"overload\","
                  "outcome=\"not-run\"} 1\n"),
        std::string::npos)
        << text;
    const auto dump = measured.dump();
    const auto& one = dump.get_array().at(0).get_object();
    EXPECT_NEAR(one.at("p50_ms").get_double(), 2.0, 0.5);
    EXPECT_NEAR(one.at("p99_ms").get_double(), 2.0, 0.5);
    EXPECT_EQ(one.at("tries").get_uint64(), 102U);
}

} // namespace
} // namespace nutmegusher::node
