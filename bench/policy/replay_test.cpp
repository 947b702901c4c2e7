#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "bench/policy/replay.hpp"

namespace nutmegusher::bench
{
namespace
{

constexpr std::uint64_t seed = 20261202;

class recorded_trace : public testing::TestWithParam<std::string>
{
protected:
    recorded_trace()
        : load(load_trace(
                   std::filesystem::path(NUTMEGUSHER_TRACES) /
                   (GetParam() + ".csv"))
                   .value())
    {
    }

    std::string describe(const outcome_check& check) const
    {
        constexpr std::array kinds{"served", "others", "recovery", "tries"};
        return std::string(
                   kinds.at(static_cast<std::size_t>(check.expected.kind))) +
               " " + load.classes[check.expected.work_class].name + ": bound " +
               std::to_string(check.expected.bound) + ", measured " +
               std::to_string(check.measured);
    }

    trace load;
};

TEST_P(recorded_trace, shipped_decisions_keep_the_stated_outcomes)
{
    const report actual = run_replay<shipped_decisions>(load, seed);
    ASSERT_FALSE(load.outcomes.empty());
    for (const outcome_check& check : check_outcomes(load, actual))
    {
        EXPECT_TRUE(check.met) << describe(check);
    }
    EXPECT_EQ(actual.duplicates, 0U);
    EXPECT_LE(actual.max_retries_per_try, tokens_per_request);
}

// Guards against traces that are too easy: the naive decisions must miss at
// least one expected outcome.
TEST_P(recorded_trace, naive_decisions_miss_one)
{
    const report actual = run_replay<naive_decisions>(load, seed);
    const auto checks = check_outcomes(load, actual);
    for (const outcome_check& check : checks)
    {
        RecordProperty("naive", describe(check));
        std::cout << (check.met ? "met    " : "missed ") << describe(check)
                  << '\n';
    }
    EXPECT_TRUE(std::any_of(
        checks.begin(),
        checks.end(),
        [](const outcome_check& check)
        {
            return !check.met;
        }));
}

INSTANTIATE_TEST_SUITE_P(
    all,
    recorded_trace,
    testing::Values(
        "association_saturation",
        "association_burst",
        "association_heavy_customer",
        "association_slow_upstream",
        "division_saturation",
        "division_long_among_short",
        "division_metastable"),
    [](const auto& param)
    {
        return param.param;
    });

TEST(trace, names_the_line_that_is_wrong)
{
    const auto file =
        std::filesystem::path(testing::TempDir()) / "bad_trace.csv";
    std::ofstream(file) << "region,4,0.5,8\n# a comment\nservice,x,one,2,3\n";
    const std::size_t line = leaf::try_handle_all(
        [&]() -> leaf::result<std::size_t>
        {
            BOOST_LEAF_CHECK(load_trace(file));
            return 0;
        },
        [](const bad_trace& failure)
        {
            return failure.line;
        },
        []
        {
            return std::size_t{0};
        });
    EXPECT_EQ(line, 3U);
}

} // namespace
} // namespace nutmegusher::bench
