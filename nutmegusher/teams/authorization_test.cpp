#include "nutmegusher/teams/authorization.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace nutmegusher
{
namespace
{

std::string key_in(const std::vector<std::string_view>& fields)
{
    return std::string(bearer_key(fields).value_or("none"));
}

TEST(authorization, reads_one_bearer_key)
{
    for (const auto* const field :
         {"Bearer k1",
          "bearer k1",
          "BEARER k1",
          "Bearer   k1",
          "Bearer\tk1",
          "  Bearer k1  "})
    {
        EXPECT_EQ(key_in({field}), "k1") << field;
    }
}

TEST(authorization, reads_nothing_else)
{
    for (const auto* const field :
         {"",
          " ",
          "Bearer",
          "Bearer ",
          "k1",
          "Basic k1",
          "Bearerk1",
          "Bearer k1 k2",
          "Bearer k1,k2",
          "Bearer k1, Bearer k2",
          "Bearer k\x7f",
          "Bearer k\xc3\xa4"})
    {
        EXPECT_EQ(key_in({field}), "none") << field;
    }
    EXPECT_EQ(key_in({}), "none");
}

TEST(authorization, refuses_two_fields)
{
    EXPECT_EQ(key_in({"Bearer k1", "Bearer k1"}), "none");
    EXPECT_EQ(key_in({"Bearer k1", ""}), "none");
}

RC_GTEST_PROP(authorization, returns_a_visible_part_of_any_field, ())
{
    const auto field = *rc::gen::container<std::string>(rc::gen::element(
        'b', 'B', 'e', 'a', 'r', 'k', ' ', '\t', ',', '\n', '\x01', '\xff'));
    const std::string text =
        *rc::gen::element(std::string(), std::string("Bearer ")) + field;
    const std::vector<std::string_view> fields{text};
    const auto key = bearer_key(fields);
    if (key)
    {
        RC_ASSERT(!key->empty());
        RC_ASSERT(key->data() >= text.data());
        RC_ASSERT(key->data() + key->size() <= text.data() + text.size());
        RC_ASSERT(std::all_of(
            key->begin(),
            key->end(),
            [](char each)
            {
                return each > ' ' && each <= '~' && each != ',';
            }));
    }
}

} // namespace
} // namespace nutmegusher
