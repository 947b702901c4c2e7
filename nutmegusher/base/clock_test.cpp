#include "nutmegusher/base/base.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

static_assert(clock_source<host_clock>);
static_assert(clock_source<manual_clock>);

TEST(manual_clock, moves_only_when_advanced)
{
    manual_clock clock;
    const auto before = clock.now();
    EXPECT_EQ(clock.now(), before);
    clock.advance(std::chrono::milliseconds(3));
    EXPECT_EQ(clock.now() - before, std::chrono::milliseconds(3));
}

} // namespace
} // namespace nutmegusher
