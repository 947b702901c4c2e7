#include "nutmegusher/node/entry_call.hpp"

namespace nutmegusher::node
{

namespace
{
const class_name no_class("(none)");
} // namespace

call_info entry_call::info() const
{
    call_info info;
    info.rank = rank;
    info.customer = stable_hash(customer.str());
    info.work_class = work_class->hash;
    info.request = stable_hash(request.str());
    info.deadline = deadline;
    info.target = work_class->target;
    info.bulk = work_class->bulk;
    info.sub_call = sub_call.has_value();
    info.repeatable = work_class->repeatable;
    return info;
}

asio::awaitable<void> entry_call::refuse(refusal refused)
{
    if (answered)
    {
        co_return;
    }
    answered = true;
    refused_reason = refused.reason;
    const auto& name = work_class == nullptr ? no_class : work_class->id;
    owner.shared.request_metrics.refused(
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
    owner.shared.request_metrics.completed(
        call_side::entry, work_class->id, host_clock().now() - arrived, tries);
}

} // namespace nutmegusher::node
