#include "nutmegusher/membership/membership.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace nutmegusher
{
namespace
{

const locality own_locality{data_center_name("a1"), region_name("a")};
const locality other_data_center{data_center_name("a2"), region_name("a")};
const locality other_region{data_center_name("b1"), region_name("b")};

struct located_host
{
    std::string host;
    locality at;
};

std::vector<located_host> service_hosts(int near, int same_region, int far)
{
    std::vector<located_host> out;
    const auto add = [&out](int count, const char* prefix, const locality& at)
    {
        for (int number = 0; number < count; ++number)
        {
            out.push_back({prefix + std::to_string(number), at});
        }
    };
    add(near, "n", own_locality);
    add(same_region, "r", other_data_center);
    add(far, "f", other_region);
    return out;
}

std::vector<std::string> chosen(
    const std::string& self,
    const std::vector<located_host>& hosts,
    const subset_options& options = {})
{
    std::vector<subset_candidate> candidates;
    candidates.reserve(hosts.size());
    for (const auto& host : hosts)
    {
        candidates.push_back({host.host, host.at});
    }
    std::vector<std::string> out;
    for (const auto at :
         choose_subset(host_id(self), own_locality, candidates, options))
    {
        out.push_back(hosts[at].host);
    }
    return out;
}

long count_of(const std::vector<std::string>& hosts, char prefix)
{
    return std::count_if(
        hosts.begin(),
        hosts.end(),
        [prefix](const std::string& host)
        {
            return host.front() == prefix;
        });
}

TEST(choose_subset, takes_all_of_a_small_service_near_ones_first)
{
    const auto hosts = chosen("d", service_hosts(2, 2, 1));
    ASSERT_EQ(hosts.size(), 5U);
    EXPECT_EQ(hosts[0].front(), 'n');
    EXPECT_EQ(hosts[1].front(), 'n');
    EXPECT_EQ(hosts[4].front(), 'f');
}

TEST(choose_subset, keeps_some_outside_the_own_data_center)
{
    const auto hosts = chosen("d", service_hosts(100, 100, 100));
    EXPECT_EQ(hosts.size(), 20U);
    EXPECT_EQ(count_of(hosts, 'n'), 15);
    EXPECT_EQ(count_of(hosts, 'r'), 5);
}

TEST(choose_subset, fills_up_from_farther_away)
{
    const auto hosts = chosen("d", service_hosts(3, 4, 100));
    EXPECT_EQ(count_of(hosts, 'n'), 3);
    EXPECT_EQ(count_of(hosts, 'r'), 4);
    EXPECT_EQ(count_of(hosts, 'f'), 13);
}

TEST(choose_subset, spreads_over_all_upstreams)
{
    constexpr int daemons = 400;
    constexpr int upstreams = 100;
    std::map<std::string, int> users;
    for (int daemon = 0; daemon < daemons; ++daemon)
    {
        for (const auto& host : chosen(
                 "d" + std::to_string(daemon), service_hosts(upstreams, 0, 0)))
        {
            ++users[host];
        }
    }
    // The mean is 80; 5 standard deviations of the binomial distribution
    // are 40.
    EXPECT_EQ(users.size(), static_cast<std::size_t>(upstreams));
    for (const auto& [host, count] : users)
    {
        EXPECT_GE(count, 40);
        EXPECT_LE(count, 120);
    }
}

RC_GTEST_PROP(choose_subset_property, one_change_moves_at_most_two, ())
{
    auto hosts = service_hosts(
        *rc::gen::inRange(0, 40),
        *rc::gen::inRange(0, 40),
        *rc::gen::inRange(1, 40));
    const auto before = chosen("d", hosts);
    const auto gone = *rc::gen::inRange<std::size_t>(0, hosts.size());
    hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(gone));
    const auto after = chosen("d", hosts);
    const std::set<std::string> kept(before.begin(), before.end());
    const auto added_count = std::count_if(
        after.begin(),
        after.end(),
        [&kept](const std::string& host)
        {
            return !kept.contains(host);
        });
    RC_ASSERT(added_count <= 2);
    RC_ASSERT(after.size() == std::min<std::size_t>(20, hosts.size()));
}

} // namespace
} // namespace nutmegusher
