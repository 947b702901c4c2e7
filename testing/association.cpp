#include "testing/association.hpp"

namespace nutmegusher::test_support
{

namespace
{

constexpr std::uint32_t payout_ms = 3000;
constexpr std::uint32_t view_ms = 2000;
constexpr std::uint32_t statement_ms = 30'000;

declared_class make_class(
    std::string name,
    std::string service,
    std::string prefix,
    std::uint32_t rank)
{
    declared_class made;
    made.name = std::move(name);
    made.service = std::move(service);
    made.path_prefix = std::move(prefix);
    made.rank = rank;
    return made;
}

declared_class as_payout(declared_class made)
{
    made.method = "POST";
    made.repeatable = false;
    made.latency_ms = payout_ms;
    return made;
}

declared_class as_statement(declared_class made)
{
    made.bulk = true;
    made.latency_ms = statement_ms;
    return made;
}

} // namespace

std::vector<declared_class> association_classes()
{
    return {
        as_payout(make_class("payout", "disbursement", "/pay", 0)),
        make_class("view", "balances", "/view", 1),
        make_class("fund", "funds", "/position", 2),
        as_statement(make_class("statement", "statements", "/statement", 3))};
}

std::vector<declared_class> shared_service_classes()
{
    return {
        as_payout(make_class("payout", "cash", "/pay", 0)),
        make_class("view", "cash", "/view", 1),
        make_class("fund", "cash", "/position", 2),
        make_class("statement", "cash", "/statement", 3)};
}

offered_class offered_payout(double rate)
{
    offered_class offered;
    offered.name = "payout";
    offered.method = "POST";
    offered.target = "/disbursement/pay";
    offered.rate = rate;
    offered.keyed = true;
    offered.body_bytes = 200;
    offered.timeout = std::chrono::milliseconds(payout_ms);
    return offered;
}

offered_class offered_view(double rate)
{
    offered_class offered;
    offered.name = "view";
    offered.target = "/balances/view";
    offered.rate = rate;
    offered.answer_bytes = 2000;
    offered.timeout = std::chrono::milliseconds(view_ms);
    return offered;
}

offered_class offered_statement(double rate)
{
    constexpr std::uint64_t statement_bytes = 300'000;
    offered_class offered;
    offered.name = "statement";
    offered.target = "/statements/statement";
    offered.rate = rate;
    offered.answer_bytes = statement_bytes;
    offered.timeout = std::chrono::milliseconds(statement_ms);
    return offered;
}

offered_class in_shared_service(offered_class offered)
{
    offered.target =
        "/cash" + offered.target.substr(offered.target.find('/', 1));
    return offered;
}

} // namespace nutmegusher::test_support
