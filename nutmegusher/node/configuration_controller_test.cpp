#include "nutmegusher/node/configuration_controller.hpp"

#include <gtest/gtest.h>

namespace nutmegusher::node
{
namespace
{

messages::work_class
declared(std::string name, std::string method, std::string prefix)
{
    messages::work_class item;
    item.set_name(std::move(name));
    item.set_service("disbursement");
    item.set_method(std::move(method));
    item.set_path_prefix(std::move(prefix));
    item.mutable_target()->set_latency_ms(500);
    return item;
}

messages::configuration_delta
declare_at(std::uint64_t revision, const messages::work_class& item)
{
    messages::configuration_delta delta;
    auto& accepted = *delta.add_changes();
    accepted.set_revision(revision);
    *accepted.mutable_what()->mutable_declare() = item;
    return delta;
}

TEST(configuration_view, longest_prefix_wins_then_the_named_method)
{
    messages::configuration all;
    *all.add_classes() = declared("any", "", "/");
    *all.add_classes() = declared("pay", "POST", "/pay");
    *all.add_classes() = declared("pay-any", "", "/pay");
    const configuration_view view(all);
    EXPECT_EQ(
        view.match("POST", "/disbursement/pay?x=1")->id, class_name("pay"));
    EXPECT_EQ(
        view.match("GET", "/disbursement/pay/7")->id, class_name("pay-any"));
    EXPECT_EQ(view.match("GET", "/disbursement")->id, class_name("any"));
    EXPECT_EQ(view.match("GET", "/other/pay"), nullptr);
    EXPECT_EQ(view.match("GET", "*"), nullptr);
}

TEST(configuration_controller, never_goes_back)
{
    configuration_controller controller;
    EXPECT_TRUE(controller.accept(declare_at(1, declared("a", "", "/"))));
    EXPECT_TRUE(controller.accept(declare_at(2, declared("b", "", "/b"))));
    EXPECT_FALSE(controller.accept(declare_at(2, declared("c", "", "/c"))));
    messages::configuration_delta older;
    older.mutable_full()->set_revision(1);
    EXPECT_FALSE(controller.accept(older));
    EXPECT_EQ(controller.current()->at(), revision(2));
    EXPECT_NE(controller.current()->find(class_name("b")), nullptr);
}

TEST(configuration_controller, a_gap_is_not_applied)
{
    configuration_controller controller;
    EXPECT_FALSE(controller.accept(declare_at(2, declared("a", "", "/"))));
    EXPECT_EQ(controller.current()->at(), revision(0));
}

TEST(configuration_controller, target_and_removal_follow)
{
    configuration_controller controller;
    controller.accept(declare_at(1, declared("a", "", "/")));
    // The revision that an operator's next change of the class refers to.
    const auto class_revision = [&controller]
    {
        return controller.current()->message().classes(0).revision();
    };
    EXPECT_EQ(class_revision(), 1U);
    messages::configuration_delta delta;
    auto& target = *delta.add_changes();
    target.set_revision(2);
    target.mutable_what()->mutable_set_target()->set_class_name("a");
    target.mutable_what()
        ->mutable_set_target()
        ->mutable_target()
        ->set_latency_ms(70);
    controller.accept(delta);
    EXPECT_EQ(class_revision(), 2U);
    EXPECT_EQ(
        controller.current()->find(class_name("a"))->target,
        std::chrono::milliseconds(70));
    delta.Clear();
    delta.add_changes()->set_revision(3);
    delta.mutable_changes(0)->mutable_what()->set_remove_class("a");
    controller.accept(delta);
    EXPECT_EQ(controller.current()->find(class_name("a")), nullptr);
}

} // namespace
} // namespace nutmegusher::node
