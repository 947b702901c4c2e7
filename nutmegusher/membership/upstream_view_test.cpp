#include "nutmegusher/membership/membership.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace nutmegusher
{
namespace
{

const locality own_locality{data_center_name("a1"), region_name("a")};
const service_name balances("balances");

messages::upstream_record record(
    const std::string& host,
    std::uint64_t incarnation,
    std::uint64_t version,
    messages::upstream_state state = messages::upstream_serving)
{
    messages::upstream_record out;
    out.set_host(host);
    out.set_incarnation(incarnation);
    out.set_version(version);
    out.set_service(balances.str());
    out.set_data_center("a1");
    out.set_region("a");
    out.set_state(state);
    return out;
}

messages::sync_reply
reply(std::vector<messages::upstream_record> records, bool complete = false)
{
    messages::sync_reply out;
    out.set_accepted(true);
    out.set_upstreams_complete(complete);
    out.set_stamp(5);
    out.set_registry_epoch(9);
    for (auto& one : records)
    {
        *out.add_upstreams() = std::move(one);
    }
    return out;
}

class upstream_view_test : public ::testing::Test
{
protected:
    upstream_view_test()
    {
        view.add_service(balances);
    }

    upstream_view view{host_id("d"), own_locality};
};

class observer_mock
{
public:
    MOCK_METHOD(void, upstream_added, (const messages::upstream_record&));
    MOCK_METHOD(void, upstream_updated, (const messages::upstream_record&));
    MOCK_METHOD(void, upstream_removed, (const host_id&));
};

static_assert(view_observer<observer_mock>);

TEST_F(upstream_view_test, observer_is_notified_of_changes)
{
    ::testing::StrictMock<observer_mock> observer;
    EXPECT_CALL(observer, upstream_added).Times(2);
    notify(
        view,
        view.apply(reply({record("a", 1, 1), record("b", 1, 1)})),
        observer);
    EXPECT_CALL(observer, upstream_updated).Times(1);
    EXPECT_CALL(observer, upstream_removed(host_id("b"))).Times(1);
    notify(view, view.apply(reply({record("a", 1, 2)}, true)), observer);
}

TEST_F(upstream_view_test, leaving_upstream_gets_no_work_but_stays_known)
{
    view.apply(reply({record("a", 1, 1), record("b", 1, 1)}));
    view.apply(reply({record("a", 1, 2, messages::upstream_leaving)}));
    ASSERT_EQ(view.subset(balances).size(), 1U);
    EXPECT_EQ(view.subset(balances)[0]->host(), "b");
    EXPECT_EQ(view.all(balances).size(), 2U);
}

TEST_F(upstream_view_test, lagging_control_host_does_not_restore_old_records)
{
    view.apply(reply({record("a", 1, 2, messages::upstream_leaving)}));
    EXPECT_TRUE(view.apply(reply({record("a", 1, 1)}, true)).empty());
    EXPECT_TRUE(view.subset(balances).empty());

    auto gone = reply({});
    gone.add_lost_hosts("a");
    view.apply(gone);
    EXPECT_TRUE(view.apply(reply({record("a", 1, 1)})).empty());
    EXPECT_FALSE(view.apply(reply({record("a", 1, 2)})).empty());
}

TEST_F(upstream_view_test, restart_with_a_lower_version_wins)
{
    view.apply(reply({record("a", 1, 90)}));
    const auto change = view.apply(reply({record("a", 2, 1)}));
    EXPECT_EQ(change.updated.size(), 1U);
    EXPECT_EQ(view.find(host_id("a"))->incarnation(), 2U);
}

TEST_F(upstream_view_test, keeps_upstreams_when_control_refuses_or_restarts)
{
    view.apply(reply({record("a", 1, 1)}));
    messages::sync_reply refused;
    EXPECT_TRUE(view.apply(refused).empty());
    EXPECT_TRUE(view.apply(reply({})).empty());
    EXPECT_EQ(view.size(), 1U);
}

TEST_F(upstream_view_test, asks_with_stamp_and_epoch_of_the_last_reply)
{
    view.apply(reply({}));
    messages::sync_request request;
    view.fill_request(request);
    EXPECT_EQ(request.known_stamp(), 5U);
    EXPECT_EQ(request.registry_epoch(), 9U);
    EXPECT_EQ(request.services_size(), 1);
}

TEST_F(upstream_view_test, new_service_asks_for_complete_lists)
{
    view.apply(reply({}));
    view.add_service(service_name("statements"));
    messages::sync_request request;
    view.fill_request(request);
    EXPECT_EQ(request.known_stamp(), 0U);
    EXPECT_EQ(request.services_size(), 2);
}

TEST_F(upstream_view_test, ignores_services_it_did_not_ask_for)
{
    auto other = record("a", 1, 1);
    other.set_service("statements");
    EXPECT_TRUE(view.apply(reply({other})).empty());
}

} // namespace
} // namespace nutmegusher
