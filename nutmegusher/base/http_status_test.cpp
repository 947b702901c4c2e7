#include "nutmegusher/base/http_status.hpp"

#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

TEST(http_status, classes_end_where_the_standard_says)
{
    for (const unsigned status : {100U, 103U, 199U})
    {
        EXPECT_TRUE(is_interim_status(status)) << status;
        EXPECT_FALSE(is_final_status(status)) << status;
    }
    for (const unsigned status : {200U, 299U, 404U, 599U})
    {
        EXPECT_FALSE(is_interim_status(status)) << status;
        EXPECT_TRUE(is_final_status(status)) << status;
    }
    for (const unsigned status : {0U, 99U, 600U, 999U, 99'999U})
    {
        EXPECT_FALSE(is_interim_status(status)) << status;
        EXPECT_FALSE(is_final_status(status)) << status;
    }
}

} // namespace
} // namespace nutmegusher
