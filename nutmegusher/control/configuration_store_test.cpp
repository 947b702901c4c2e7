#include "nutmegusher/control/control.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace nutmegusher
{
namespace
{

messages::change
declare(const std::string& id, const std::string& name, std::uint64_t based_on)
{
    messages::change change;
    change.set_change_id(id);
    change.set_author("test");
    change.set_based_on(based_on);
    auto& declared = *change.mutable_declare();
    declared.set_name(name);
    declared.set_service("disbursement");
    declared.set_path_prefix("/" + name);
    declared.mutable_target()->set_latency_ms(200);
    declared.mutable_target()->set_completion_ppm(999'000);
    return change;
}

messages::change set_target(
    const std::string& id,
    const std::string& name,
    std::uint64_t based_on,
    std::uint32_t latency_ms)
{
    messages::change change;
    change.set_change_id(id);
    change.set_based_on(based_on);
    auto& what = *change.mutable_set_target();
    what.set_class_name(name);
    what.mutable_target()->set_latency_ms(latency_ms);
    what.mutable_target()->set_completion_ppm(999'000);
    return change;
}

messages::change remove_class(
    const std::string& id, const std::string& name, std::uint64_t based_on)
{
    messages::change change;
    change.set_change_id(id);
    change.set_based_on(based_on);
    change.set_remove_class(name);
    return change;
}

TEST(configuration_store, one_of_two_racing_operators_wins)
{
    configuration_store store;
    store.apply(declare("a", "payout", 0));
    const auto first = store.apply(set_target("b", "payout", 1, 100));
    const auto second = store.apply(set_target("c", "payout", 1, 300));
    EXPECT_EQ(first.verdict(), messages::change_accepted);
    EXPECT_EQ(second.verdict(), messages::change_conflict);
    EXPECT_EQ(second.revision(), first.revision());
    EXPECT_EQ(store.present().classes(0).target().latency_ms(), 100U);
}

TEST(configuration_store, changes_of_two_classes_do_not_conflict)
{
    configuration_store store;
    store.apply(declare("a", "payout", 0));
    store.apply(declare("b", "view", 0));
    EXPECT_EQ(
        store.apply(set_target("c", "payout", 1, 100)).verdict(),
        messages::change_accepted);
    EXPECT_EQ(
        store.apply(set_target("d", "view", 2, 100)).verdict(),
        messages::change_accepted);
}

TEST(configuration_store, a_resend_gets_the_first_answer)
{
    configuration_store store;
    const auto change = declare("a", "payout", 0);
    EXPECT_EQ(store.apply(change).revision(), 1U);
    store.apply(remove_class("b", "payout", 1));
    EXPECT_EQ(store.apply(change).revision(), 1U);
    EXPECT_EQ(store.apply(change).verdict(), messages::change_accepted);
    EXPECT_EQ(store.revision(), revision(2));
    EXPECT_EQ(store.present().classes_size(), 0);
}

TEST(configuration_store, a_reused_change_id_is_refused)
{
    configuration_store store;
    store.apply(declare("a", "payout", 0));
    EXPECT_EQ(
        store.apply(declare("a", "view", 0)).verdict(),
        messages::change_id_reused);
}

TEST(configuration_store, names_problem_and_field)
{
    const auto problem = [](const messages::change& change)
    {
        configuration_store store;
        store.apply(declare("first", "payout", 0));
        const auto result = store.apply(change);
        EXPECT_EQ(result.verdict(), messages::change_invalid);
        return std::pair(result.problem(), result.field());
    };
    auto change = declare("a", "view", 0);
    change.mutable_declare()->set_rank(10);
    EXPECT_EQ(
        problem(change),
        std::pair(
            messages::problem_rank_too_high, std::string("declare.rank")));
    change = declare("a", "view", 0);
    change.mutable_declare()->set_path_prefix("/payout");
    EXPECT_EQ(problem(change).first, messages::problem_overlapping_match);
    change = declare("a", "view", 0);
    change.mutable_declare()->mutable_target()->set_latency_ms(0);
    EXPECT_EQ(problem(change).second, "declare.target.latency_ms");
    EXPECT_EQ(
        problem(set_target("a", "view", 0, 1)).first,
        messages::problem_unknown_class);
    EXPECT_EQ(problem(messages::change()).second, "change_id");
    change = declare("a", "view", 0);
    change.clear_declare();
    EXPECT_EQ(problem(change).first, messages::problem_missing_action);
}

TEST(configuration_store, sends_the_full_configuration_once_changes_are_dropped)
{
    configuration_store store({10, 3, 100});
    for (int i = 0; i < 6; ++i)
    {
        store.apply(
            declare("c" + std::to_string(i), "n" + std::to_string(i), 0));
    }
    EXPECT_EQ(store.delta_since(revision(3)).changes_size(), 3);
    EXPECT_TRUE(store.delta_since(revision(2)).has_full());
    EXPECT_EQ(store.delta_since(revision(6)).changes_size(), 0);
}

// For random changes: revisions rise by one only, deltas lead from any revision
// to the present, and a restored store is equal and returns the same results.
RC_GTEST_PROP(configuration_store_fuzz, deltas_and_snapshots_agree, ())
{
    configuration_store store;
    std::vector<messages::configuration> past{store.present()};
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i)
    {
        const auto id = std::to_string(*rc::gen::inRange(0, 40));
        const auto name =
            std::string(1, static_cast<char>(*rc::gen::inRange('a', 'e')));
        const auto based_on = *rc::gen::inRange<std::uint64_t>(0, 12);
        const auto kind = *rc::gen::inRange(0, 3);
        const auto change = kind == 0 ? declare(id, name, based_on)
                            : kind == 1
                                ? set_target(
                                      id,
                                      name,
                                      based_on,
                                      *rc::gen::inRange<std::uint32_t>(1, 9))
                                : remove_class(id, name, based_on);
        const auto before = store.revision();
        const bool repeated = store.has_result_for(change);
        const auto result = store.apply(change);
        const bool revision_raised =
            !repeated && result.verdict() == messages::change_accepted;
        RC_ASSERT(
            store.revision() == (revision_raised ? before.next() : before));
        if (revision_raised)
        {
            past.push_back(store.present());
        }
    }
    const auto restored = configuration_store::restore(store.snapshot());
    RC_ASSERT(restored->snapshot() == store.snapshot());
    const auto present = store.present();
    for (auto old : past)
    {
        apply_delta(old, restored->delta_since(revision(old.revision())));
        RC_ASSERT(old.revision() == store.revision().value());
        RC_ASSERT(old.classes_size() == present.classes_size());
        for (const auto& declared : present.classes())
        {
            RC_ASSERT(std::any_of(
                old.classes().begin(),
                old.classes().end(),
                [&](const auto& known)
                {
                    return known.SerializeAsString() ==
                           declared.SerializeAsString();
                }));
        }
    }
}

} // namespace
} // namespace nutmegusher
