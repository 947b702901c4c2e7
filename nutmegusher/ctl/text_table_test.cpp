#include "nutmegusher/ctl/text_table.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace nutmegusher::ctl
{
namespace
{

TEST(text_table, columns_are_as_wide_as_their_widest_cell)
{
    text_table table({"host", "n"});
    EXPECT_TRUE(table.empty());
    table.add({"a", "1", "left out"});
    table.add({"long-name"});
    std::ostringstream out;
    table.print(out, 1);
    EXPECT_EQ(out.str(), " host       n\n a          1\n long-name\n");
    EXPECT_FALSE(table.empty());
}

} // namespace
} // namespace nutmegusher::ctl
