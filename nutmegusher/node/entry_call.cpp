#include "nutmegusher/node/entry_call.hpp"

namespace nutmegusher::node
{

namespace
{
const class_name no_class("(none)");
} // namespace

call_info entry_call::facts() const
{
    call_info facts;
    facts.rank = rank;
    facts.customer = stable_hash(customer.str());
    facts.work_class = work_class->hash;
    facts.request = stable_hash(request.str());
    facts.deadline = deadline;
    facts.target = work_class->target;
    facts.bulk = work_class->bulk;
    facts.sub_call = part_of.has_value();
    facts.repeatable = work_class->repeatable;
    return facts;
}

asio::awaitable<void> entry_call::refuse(refusal refused)
{
    if (answered)
    {
        co_return;
    }
    answered = true;
    refused_as = refused.reason;
    const auto& name = work_class == nullptr ? no_class : work_class->id;
    here.shared.measured.refused(
        call_side::entry, name, refused.reason, refused.result, tries);
    const auto id = refused.result == call_outcome::unknown &&
                            work_class != nullptr && !work_class->repeatable
                        ? event::request_unknown
                        : event::request_refused;
    log_event(
        id,
        {{"class", name.str()},
         {"reason", to_string(refused.reason)},
         {"outcome", to_string(refused.result)},
         {"request", request.str()},
         {"tries", std::uint64_t{tries}}});
    auto head = to_head(refused);
    head.fields.push_back({std::string(field::request_id), request.str()});
    head.fields.push_back({std::string(field::tries), std::to_string(tries)});
    co_await exchange.answer(std::move(head), "");
}

void entry_call::count_completed()
{
    here.shared.measured.completed(
        call_side::entry, work_class->id, host_clock().now() - arrived, tries);
}

} // namespace nutmegusher::node
