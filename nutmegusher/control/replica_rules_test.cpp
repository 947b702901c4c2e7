// Raft rules that random tests seldom exercise, on a single replica.
#include "nutmegusher/control/control.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace nutmegusher
{
namespace
{

constexpr time_point start{std::chrono::hours(1)};

messages::replica_set three_voters()
{
    messages::replica_set members;
    for (std::uint64_t id = 1; id <= 3; ++id)
    {
        auto& member = *members.add_members();
        member.set_identity(id);
        member.set_voter(true);
    }
    return members;
}

// Replica 1 of three. It has an uncommitted entry of term 2 at index 2 and has
// won the election of term 3.
class elected_replica : public testing::Test
{
protected:
    elected_replica()
        : engine(1)
    {
        recovered_log recovered;
        recovered.state.set_term(2);
        recovered.base.set_last_index(1);
        recovered.base.set_last_term(1);
        *recovered.base.mutable_members() = three_voters();
        messages::log_entry entry;
        entry.set_index(2);
        entry.set_term(2);
        entry.mutable_configuration_change()->set_change_id("old");
        recovered.entries.push_back(entry);
        replica_settings settings;
        settings.self = replica_id(1);
        core.emplace(std::move(
            replica::create(settings, recovered, engine, start).value()));
        core->tick(now);
        receive_vote(true);
        save();
        receive_vote(false);
    }

    void receive_vote(bool pre_vote)
    {
        messages::replica_message message;
        message.set_from(2);
        message.set_to(1);
        message.set_term(3);
        message.mutable_voted()->set_granted(true);
        message.mutable_voted()->set_pre_vote(pre_vote);
        core->step(message, now);
    }

    // Member 2 acknowledges all entries up to `index`.
    void acknowledge(log_index index)
    {
        messages::replica_message message;
        message.set_from(2);
        message.set_to(1);
        message.set_term(3);
        message.mutable_appended()->set_success(true);
        message.mutable_appended()->set_match_index(index);
        message.mutable_appended()->set_round(round);
        core->step(message, now);
    }

    // A member rejects an append because it lacks the previous entry; its log
    // ends at `index`.
    void reject(log_index index, std::uint64_t member = 2)
    {
        messages::replica_message message;
        message.set_from(member);
        message.set_to(1);
        message.set_term(3);
        message.mutable_appended()->set_success(false);
        message.mutable_appended()->set_match_index(index);
        message.mutable_appended()->set_round(round);
        core->step(message, now);
    }

    void save()
    {
        static_cast<void>(count_appends_to_second());
    }

    // Saves, and counts the messages with entries that are sent to member 2.
    std::size_t count_appends_to_second()
    {
        std::size_t count = 0;
        while (const auto ready = core->take_ready(now))
        {
            for (const auto& message : ready->early_messages)
            {
                const bool has_entries = message.append().entries_size() > 0;
                count += message.to() == 2 && has_entries ? 1 : 0;
                round = std::max(round, message.append().round());
            }
            core->saved();
        }
        return count;
    }

    // Saves, and counts the messages to member 2 that contain the entry.
    std::size_t count_messages_with(log_index index)
    {
        std::size_t count = 0;
        while (const auto ready = core->take_ready(now))
        {
            for (const auto& message : ready->early_messages)
            {
                const auto& entries = message.append().entries();
                const bool carries = !entries.empty() &&
                                     entries.begin()->index() <= index &&
                                     index <= entries.rbegin()->index();
                count += message.to() == 2 && carries ? 1 : 0;
                round = std::max(round, message.append().round());
            }
            core->saved();
        }
        return count;
    }

    // Saves, and returns the size of the messages with entries to member 2 and
    // the last index that they contain.
    std::pair<std::size_t, log_index> bytes_sent_to_second()
    {
        std::pair<std::size_t, log_index> sent{0, 0};
        while (const auto ready = core->take_ready(now))
        {
            for (const auto& message : ready->early_messages)
            {
                const auto& entries = message.append().entries();
                if (message.to() == 2 && !entries.empty())
                {
                    sent.first += message.ByteSizeLong();
                    sent.second = entries.rbegin()->index();
                }
            }
            core->saved();
        }
        return sent;
    }

    // Saves, and counts the snapshots that are sent to member 3.
    std::size_t count_snapshots_to_third()
    {
        std::size_t count = 0;
        while (const auto ready = core->take_ready(now))
        {
            for (const auto& message : ready->early_messages)
            {
                count += message.to() == 3 && message.has_install() ? 1 : 0;
                round = std::max(round, message.append().round());
            }
            core->saved();
        }
        return count;
    }

    // Simulates `times` heartbeats in a row that overtake the entries before
    // them, so that member 2 rejects them; `last` is the end of its log. Counts
    // the messages with entries.
    std::size_t count_appends_while_overtaken(int times, log_index last)
    {
        std::size_t count = 0;
        for (int i = 0; i < times; ++i)
        {
            now += replica_timing().heartbeat;
            core->tick(now);
            count += count_appends_to_second();
            reject(last);
        }
        return count;
    }

    void propose_large()
    {
        messages::log_entry entry;
        entry.mutable_configuration_change()->set_change_id(
            std::string(large_bytes, 'x'));
        ASSERT_TRUE(core->propose(std::move(entry), now));
    }

    static constexpr std::size_t large_bytes = 500'000;

    std::optional<replica_refusal>
    refusal_of(const messages::replica_set& members)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<replica_refusal>>
            {
                BOOST_LEAF_CHECK(core->propose_members(members, now));
                return std::optional<replica_refusal>();
            },
            [](const replica_failure& failure)
            {
                return std::optional(failure.refusal);
            },
            []
            {
                return std::optional<replica_refusal>();
            });
    }

    messages::replica_set with_fourth_member(bool voter)
    {
        auto members = three_voters();
        auto& added = *members.add_members();
        added.set_identity(4);
        added.set_voter(voter);
        return members;
    }

    time_point now = start + std::chrono::seconds(10);
    // The round of the last heartbeat that was sent.
    std::uint64_t round = 0;
    random_engine engine;
    std::optional<replica> core;
};

TEST_F(elected_replica, commits_older_entries_only_with_one_of_its_own_term)
{
    ASSERT_EQ(core->role(), replica_role::leader);
    save();
    acknowledge(2);
    EXPECT_EQ(core->commit(), 1U);
    acknowledge(3);
    EXPECT_EQ(core->commit(), 3U);
}

TEST_F(elected_replica, changes_no_membership_before_committing_in_its_own_term)
{
    save();
    EXPECT_EQ(
        refusal_of(with_fourth_member(false)),
        replica_refusal::membership_pending);
    acknowledge(3);
    EXPECT_EQ(refusal_of(with_fourth_member(false)), std::nullopt);
}

TEST_F(elected_replica, changes_one_membership_at_a_time)
{
    save();
    acknowledge(3);
    ASSERT_EQ(refusal_of(with_fourth_member(false)), std::nullopt);
    save();
    EXPECT_EQ(refusal_of(three_voters()), replica_refusal::membership_pending);
}

TEST_F(elected_replica, promotes_no_learner_that_lacks_entries)
{
    save();
    acknowledge(3);
    ASSERT_EQ(refusal_of(with_fourth_member(false)), std::nullopt);
    save();
    acknowledge(4);
    EXPECT_EQ(
        refusal_of(with_fourth_member(true)), replica_refusal::not_caught_up);
}

TEST_F(elected_replica, changes_one_voter_at_most)
{
    save();
    acknowledge(3);
    auto members = three_voters();
    members.mutable_members()->DeleteSubrange(1, 2);
    EXPECT_EQ(refusal_of(members), replica_refusal::too_many_changes);
}

// On a link of 86 Mbit/s shared by four followers, a large entry takes longer
// than a heartbeat. If it is sent again at each heartbeat it fills the link, no
// majority answers in time, and the next leader does the same.
TEST_F(elected_replica, sends_a_large_entry_once_while_it_may_be_on_its_way)
{
    save();
    acknowledge(3);
    propose_large();
    EXPECT_EQ(count_appends_to_second(), 1U);
    EXPECT_EQ(count_appends_while_overtaken(8, 3), 0U);
    acknowledge(4);
    EXPECT_EQ(core->commit(), 4U);
}

TEST_F(elected_replica, sends_a_large_entry_once_while_probing)
{
    // Member 2 lacks the entry that this leader held before its election.
    save();
    reject(1);
    EXPECT_EQ(count_appends_while_overtaken(1, 1), 1U);
    propose_large();
    EXPECT_LE(count_appends_while_overtaken(8, 1), 2U);
}

// New entries every 20 ms must not postpone the resend of lost ones: the
// follower accepts no later entry before it has those.
TEST_F(elected_replica, sends_lost_entries_again_while_others_follow)
{
    save();
    acknowledge(3);
    std::size_t sends_of_first = 0;
    for (int i = 0; i < 50; ++i)
    {
        messages::log_entry entry;
        entry.mutable_configuration_change()->set_change_id("small");
        ASSERT_TRUE(core->propose(std::move(entry), now));
        now += std::chrono::milliseconds(20);
        core->tick(now);
        sends_of_first += count_messages_with(4);
        reject(3);
    }
    EXPECT_GE(sends_of_first, 3U);
    EXPECT_LE(sends_of_first, 10U);
}

// A follower that lacks many large entries is sent only what its link carries
// in a short time; the rest follows as it answers.
TEST_F(elected_replica, bounds_the_bytes_in_flight_to_one_follower)
{
    save();
    acknowledge(3);
    // What a link of the lowest assumed speed carries in a second, and one
    // entry.
    constexpr std::size_t max_bytes = 1'000'000 + large_bytes;
    log_index held = 3;
    for (int i = 0; i < 40; ++i)
    {
        propose_large();
    }
    while (held < 43)
    {
        const auto [bytes, last] = bytes_sent_to_second();
        ASSERT_GT(last, held);
        ASSERT_LE(bytes, max_bytes);
        held = last;
        acknowledge(held);
    }
}

// A second copy of a snapshot, sent while the first one is in flight, slows
// both down.
TEST_F(elected_replica, sends_a_large_snapshot_once_while_it_may_be_on_its_way)
{
    save();
    acknowledge(3);
    save();
    messages::snapshot content;
    content.set_last_index(3);
    content.set_last_term(3);
    content.set_state(std::string(8'000'000, 'x'));
    core->set_snapshot_source(
        [&content]
        {
            return std::optional(content);
        });
    core->compact(3);
    reject(1, 3);
    std::size_t snapshots = 0;
    // 1 MB/s is the lowest assumed link speed.
    for (int i = 0; i < 160; ++i)
    {
        now += replica_timing().heartbeat;
        core->tick(now);
        snapshots += count_snapshots_to_third();
        acknowledge(3);
    }
    EXPECT_EQ(snapshots, 1U);
}

TEST_F(elected_replica, sends_lost_entries_again)
{
    save();
    acknowledge(3);
    propose_large();
    EXPECT_EQ(count_appends_to_second(), 1U);
    EXPECT_EQ(count_appends_while_overtaken(40, 3), 2U);
    acknowledge(4);
    EXPECT_EQ(core->commit(), 4U);
}

} // namespace
} // namespace nutmegusher
