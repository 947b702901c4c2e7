#include "nutmegusher/membership/membership.hpp"

#include <memory>
#include <string>

#include "bench/capacity/slopes.hpp"

namespace nutmegusher::capacity
{
namespace
{

constexpr std::size_t lease_counts[] = {2000, 4000, 8000, 16000};
constexpr std::size_t upstream_counts[] = {16, 64, 256, 1024};
constexpr std::size_t service_count = 990;
constexpr std::size_t called_services = 4;
const time_point start(std::chrono::hours(1));

messages::sync_request make_sync_request(std::size_t number)
{
    const auto host = "upstream-host-" + std::to_string(number);
    messages::sync_request out;
    out.set_host(host);
    out.set_incarnation(1'790'000'000'000 + number);
    out.set_data_center("data-center-" + std::to_string(number % 8));
    out.set_region("region-" + std::to_string(number % 3));
    out.set_configuration_revision(123'456);
    auto& own = *out.mutable_own();
    own.set_host(host);
    own.set_incarnation(out.incarnation());
    own.set_version(3);
    own.set_service("service-" + std::to_string(number % service_count));
    own.set_data_center(out.data_center());
    own.set_region(out.region());
    own.set_address("10.20.30.40:7000");
    own.set_state(messages::upstream_serving);
    for (std::size_t called = 0; called < called_services; ++called)
    {
        out.add_services(
            "service-" + std::to_string((number * 7 + called) % service_count));
    }
    return out;
}

std::unique_ptr<lease_registry> make_registry(std::size_t leases)
{
    auto registry =
        std::make_unique<lease_registry>(host_id("control-1"), 77, start);
    for (std::size_t number = 0; number < leases; ++number)
    {
        registry->renew(start, make_sync_request(number));
    }
    registry->expire(start + std::chrono::seconds(1));
    return registry;
}

messages::upstream_record make_upstream_record(std::size_t number)
{
    auto record = make_sync_request(number).own();
    record.set_service("balances");
    return record;
}

// Time to answer 22 control hosts that each ask ten times, one second's worth
// of exchanges without news.
double measure_idle_exchanges(const lease_registry& registry, time_point now)
{
    constexpr int exchange_count = 220;
    constexpr duration step = std::chrono::seconds(1) / exchange_count;
    messages::registry_exchange known;
    known.set_known_epoch(77);
    known.set_known_stamp(~0ULL >> 1U);
    return measure_nanoseconds(
        [&]
        {
            for (int turn = 0; turn < exchange_count; ++turn)
            {
                do_not_optimize(registry.update(now + turn * step, known));
            }
        });
}

void measure_registry(membership_slopes& out)
{
    std::vector<sample> memory;
    std::vector<sample> renewal;
    std::vector<sample> expire;
    std::vector<sample> idle;
    std::vector<sample> apply;
    std::vector<sample> idle_exchanges;
    for (const auto leases : lease_counts)
    {
        const auto size = static_cast<double>(leases);
        std::vector<messages::sync_request> requests;
        for (std::size_t number = 0; number < leases; ++number)
        {
            requests.push_back(make_sync_request(number));
        }
        const auto before = allocated_bytes();
        const auto registry = make_registry(leases);
        memory.push_back(
            {size, static_cast<double>(allocated_bytes() - before)});
        const auto now = start + std::chrono::seconds(2);
        renewal.push_back(
            {size,
             measure_nanoseconds(
                 [&]
                 {
                     for (const auto& request : requests)
                     {
                         registry->renew(now, request);
                     }
                 })});
        expire.push_back(
            {size,
             measure_nanoseconds(
                 [&]
                 {
                     registry->expire(start + std::chrono::seconds(7));
                 })});

        messages::sync_reply reply;
        registry->answer(requests.front(), reply);
        for (auto& request : requests)
        {
            request.set_known_stamp(reply.stamp());
            request.set_registry_epoch(reply.registry_epoch());
        }
        idle.push_back(
            {size,
             measure_nanoseconds(
                 [&]
                 {
                     for (const auto& request : requests)
                     {
                         do_not_optimize(registry->has_news(request));
                     }
                 })});
        idle_exchanges.push_back(
            {size, measure_idle_exchanges(*registry, now)});
        lease_registry other(host_id("control-2"), 78, start);
        const auto update = registry->update(now, other.exchange(host_id("x")));
        apply.push_back(
            {size,
             measure_nanoseconds(
                 [&]
                 {
                     other.apply(now, host_id("control-1"), update);
                 })});
    }
    out.lease_memory = fit("lease in a registry", "bytes", memory);
    out.renewal_time = fit("renewal of a lease", "ns", renewal);
    out.expire_time = fit("expiry pass, a lease", "ns", expire);
    out.idle_sync_time = fit("sync without news", "ns", idle);
    out.idle_exchange_time =
        fit("second of quiet exchanges, a lease", "ns", idle_exchanges);
    out.apply_time = fit("lease from another control host", "ns", apply);
}

void measure_messages(membership_slopes& out)
{
    std::vector<sample> requests;
    std::vector<sample> replies;
    std::vector<sample> exchanges;
    for (const auto services : {0, 2, 4, 8})
    {
        auto request = make_sync_request(1);
        request.clear_services();
        for (int number = 0; number < services; ++number)
        {
            request.add_services("service-" + std::to_string(100 + number));
        }
        requests.push_back(
            {static_cast<double>(services),
             static_cast<double>(request.ByteSizeLong())});
    }
    for (const auto count : upstream_counts)
    {
        messages::sync_reply reply;
        reply.set_accepted(true);
        reply.set_stamp(1'000'000);
        reply.set_registry_epoch(~0ULL >> 1U);
        for (std::size_t number = 0; number < count; ++number)
        {
            *reply.add_upstreams() = make_upstream_record(number);
        }
        replies.push_back(
            {static_cast<double>(count),
             static_cast<double>(reply.ByteSizeLong())});
        const auto registry = make_registry(count);
        const auto update = registry->update(
            start + std::chrono::seconds(1),
            lease_registry(host_id("control-2"), 78, start)
                .exchange(host_id("control-1")));
        exchanges.push_back(
            {static_cast<double>(count),
             static_cast<double>(update.ByteSizeLong())});
    }
    out.request_size = fit("sync request, a called service", "bytes", requests);
    out.reply_size = fit("sync reply, an upstream", "bytes", replies);
    out.exchange_size = fit("exchange, a changed lease", "bytes", exchanges);
}

void measure_view(membership_slopes& out)
{
    constexpr int choices = 200;
    const locality here{
        data_center_name("data-center-1"), region_name("region-1")};
    const service_name balances("balances");
    std::vector<sample> memory;
    std::vector<sample> choice;
    for (const auto count : upstream_counts)
    {
        const auto size = static_cast<double>(count);
        messages::sync_reply reply;
        reply.set_accepted(true);
        for (std::size_t number = 0; number < count; ++number)
        {
            *reply.add_upstreams() = make_upstream_record(number);
        }
        const auto before = allocated_bytes();
        upstream_view view(host_id("upstream-host-1"), here);
        view.add_service(balances);
        view.apply(reply);
        memory.push_back(
            {size, static_cast<double>(allocated_bytes() - before)});
        const auto taken = measure_nanoseconds(
            [&]
            {
                for (int turn = 0; turn < choices; ++turn)
                {
                    do_not_optimize(view.subset(balances));
                }
            });
        choice.push_back({size, taken / choices});
    }
    out.view_memory = fit("upstream in a view", "bytes", memory);
    out.subset_time = fit("choice of a subset, an upstream", "ns", choice);
}

} // namespace

membership_slopes measure_membership()
{
    membership_slopes out;
    measure_registry(out);
    measure_messages(out);
    measure_view(out);
    return out;
}

} // namespace nutmegusher::capacity
