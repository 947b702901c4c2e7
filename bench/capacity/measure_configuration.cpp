#include "nutmegusher/control/control.hpp"
#include "nutmegusher/node/configuration_controller.hpp"

#include <string>

#include "bench/capacity/slopes.hpp"

namespace nutmegusher::capacity
{
namespace
{

constexpr std::size_t class_counts[] = {250, 500, 1000, 3000};
constexpr std::size_t change_counts[] = {1, 10, 100};

messages::work_class make_class(std::size_t number)
{
    messages::work_class out;
    out.set_name("class-" + std::to_string(number));
    out.set_service("service-" + std::to_string(number / 3));
    out.set_method("POST");
    out.set_path_prefix("/path-" + std::to_string(number % 3));
    out.set_rank(number % 5);
    out.mutable_target()->set_latency_ms(800);
    out.mutable_target()->set_completion_ppm(999'000);
    out.set_revision(100'000 + number);
    return out;
}

messages::change make_declaration(std::size_t number)
{
    messages::change out;
    out.set_change_id("0123456789abcdef0123456789abcdef");
    out.set_change_id(out.change_id() + std::to_string(number));
    out.set_author("ana.echevarria");
    *out.mutable_declare() = make_class(number);
    out.mutable_declare()->clear_revision();
    return out;
}

messages::configuration make_configuration(std::size_t classes)
{
    messages::configuration out;
    out.set_revision(100'000 + classes);
    for (std::size_t number = 0; number < classes; ++number)
    {
        *out.add_classes() = make_class(number);
    }
    return out;
}

} // namespace

configuration_slopes measure_configuration()
{
    std::vector<sample> memory;
    std::vector<sample> full;
    std::vector<sample> apply;
    std::vector<sample> update;
    for (const auto classes : class_counts)
    {
        const auto size = static_cast<double>(classes);
        const auto content = make_configuration(classes);
        full.push_back({size, static_cast<double>(content.ByteSizeLong())});
        const auto before = allocated_bytes();
        const node::configuration_view view(content);
        memory.push_back(
            {size, static_cast<double>(allocated_bytes() - before)});
        update.push_back(
            {size,
             measure_nanoseconds(
                 [&]
                 {
                     do_not_optimize(node::configuration_view(content));
                 })});
        configuration_store store;
        apply.push_back(
            {size,
             measure_nanoseconds(
                 [&]
                 {
                     for (std::size_t number = 0; number < classes; ++number)
                     {
                         do_not_optimize(store.apply(make_declaration(number)));
                     }
                 })});
    }
    std::vector<sample> delta;
    for (const auto changes : change_counts)
    {
        messages::configuration_delta content;
        for (std::size_t number = 0; number < changes; ++number)
        {
            auto& accepted = *content.add_changes();
            accepted.set_revision(100'000 + number);
            *accepted.mutable_what() = make_declaration(number);
        }
        delta.push_back(
            {static_cast<double>(changes),
             static_cast<double>(content.ByteSizeLong())});
    }
    return {
        .class_memory = fit("class in a daemon", "bytes", memory),
        .full_size = fit("class in a whole configuration", "bytes", full),
        .delta_size = fit("change in a delta", "bytes", delta),
        .apply_time = fit("change applied at a control host", "ns", apply),
        .update_time = fit("change taken by a daemon, a class", "ns", update)};
}

} // namespace nutmegusher::capacity
