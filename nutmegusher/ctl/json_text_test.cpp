#include "nutmegusher/ctl/json_field.hpp"
#include "nutmegusher/ctl/json_text.hpp"

#include <boost/json/parse.hpp>

#include <gtest/gtest.h>

#include <sstream>

namespace nutmegusher::ctl
{
namespace
{

std::string printed_text(const char* source)
{
    std::ostringstream out;
    print_text(out, boost::json::parse(source));
    return out.str();
}

TEST(print_text, shows_scalars_objects_and_lists)
{
    EXPECT_EQ(printed_text("3"), "3\n");
    EXPECT_EQ(
        printed_text(R"({"a": null, "b": {"c": "x"}, "d": [], "e": [1, 2]})"),
        "a: -\nb:\n  c: x\nd:\n  none\ne:\n  1\n  2\n");
}

TEST(print_text, shows_a_list_of_objects_as_a_table)
{
    EXPECT_EQ(
        printed_text(R"([{"h": "a", "n": 1}, {"h": "b", "other": 2}])"),
        "h  n\na  1\nb\n");
}

TEST(json_field, missing_fields_read_as_empty)
{
    const auto value = boost::json::parse(R"({"n": -1, "t": "x"})");
    EXPECT_EQ(number_field(value, "n"), 0U);
    EXPECT_EQ(number_field(value, "t"), 0U);
    EXPECT_EQ(text_field(value, "none"), "");
    EXPECT_TRUE(array_field(value, "t").empty());
    EXPECT_EQ(find_field(boost::json::value(3), "n"), nullptr);
}

} // namespace
} // namespace nutmegusher::ctl
