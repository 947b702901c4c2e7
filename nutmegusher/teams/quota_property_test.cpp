// No team may have more requests run than its quota and what operators
// allow beyond it, whatever happens to daemons, owners and the network.
#include "nutmegusher/teams/quota_model_test.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace nutmegusher
{
namespace
{

using quota_model::history;
using quota_model::model_options;

RC_GTEST_PROP(quota_property, no_window_exceeds_the_quota, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    history run(seed, {});
    run.run();
    RC_ASSERT(run.worst_excess() <= 1);
    RC_ASSERT(run.used() > 0);
}

// Controls: without a part of the mechanism the same histories break the bound.
double worst_of_histories(const model_options& options)
{
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        history run(seed, options);
        run.run();
        worst = std::max(worst, run.worst_excess());
    }
    return worst;
}

TEST(quota_property, the_histories_hold_with_the_mechanism)
{
    EXPECT_LE(worst_of_histories({}), 1);
}

TEST(quota_property, an_owner_that_does_not_wait_breaks_the_quota)
{
    model_options options;
    options.owner_waits = false;
    EXPECT_GT(worst_of_histories(options), 1);
}

TEST(quota_property, daemons_that_do_not_wait_break_the_quota)
{
    model_options options;
    options.daemons_wait = false;
    EXPECT_GT(worst_of_histories(options), 1);
}

} // namespace
} // namespace nutmegusher
