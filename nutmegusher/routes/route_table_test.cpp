#include "nutmegusher/routes/routes.hpp"

#include <gtest/gtest.h>

#include <map>

namespace nutmegusher
{
namespace
{

messages::request_route&
add_route(messages::route_document& to, const char* host, const char* prefix)
{
    auto& route = *to.add_routes();
    route.set_name(std::string(host) + prefix);
    route.set_host(host);
    route.set_path_prefix(prefix);
    route.set_deadline_ms(100);
    route.set_max_tries(1);
    auto& first = *route.add_destinations();
    first.set_service("balances");
    first.set_weight(9);
    return route;
}

TEST(route_table, the_longest_prefix_of_the_host_wins)
{
    messages::route_document document;
    add_route(document, "a.example", "/");
    add_route(document, "a.example", "/views/");
    add_route(document, "a.example", "/views/old/");
    add_route(document, "b.example", "/views/");
    const auto table = route_table::create(document);
    EXPECT_EQ(table.find("a.example", "/views/1?x=/")->path_prefix, "/views/");
    EXPECT_EQ(
        table.find("A.example:80", "/views/old/2")->name,
        "a.example/views/old/");
    EXPECT_EQ(table.find("a.example", "/view")->path_prefix, "/");
    EXPECT_EQ(table.find("b.example", "/other/"), nullptr);
    EXPECT_EQ(table.find("c.example", "/views/"), nullptr);
    EXPECT_EQ(table.find("b.example", "/other?/views/"), nullptr);
}

TEST(route_table, shares_follow_the_weights_and_zero_gets_nothing)
{
    messages::route_document document;
    auto& route = add_route(document, "a.example", "/");
    auto& second = *route.add_destinations();
    second.set_service("statements");
    second.set_weight(1);
    auto& none = *route.add_destinations();
    none.set_service("closed");
    none.set_weight(0);
    const auto table = route_table::create(document);
    random_engine engine(7);
    std::map<std::string, int> counts;
    constexpr int requests = 10000;
    for (int i = 0; i < requests; ++i)
    {
        ++counts[table.find("a.example", "/")->choose(engine).service.str()];
    }
    EXPECT_NEAR(counts["balances"], requests * 0.9, requests * 0.02);
    EXPECT_NEAR(counts["statements"], requests * 0.1, requests * 0.02);
    EXPECT_EQ(counts["closed"], 0);
    EXPECT_EQ(table.services().size(), 3U);
}

TEST(route_table, ranks_above_the_last_count_as_the_last)
{
    messages::route_document document;
    add_route(document, "a.example", "/").set_rank(70);
    const auto table = route_table::create(document);
    EXPECT_EQ(table.find("a.example", "/")->rank, 9);
}

} // namespace
} // namespace nutmegusher
