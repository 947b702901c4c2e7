#include "nutmegusher/routed/entry_request.hpp"

namespace nutmegusher::routed::internal
{

call_info entry_request::facts() const
{
    call_info facts;
    facts.rank = call.metadata.rank;
    facts.work_class = call.metadata.work_class;
    facts.request = stable_hash(call.metadata.id);
    facts.deadline = call.metadata.deadline;
    facts.target = call.metadata.target;
    facts.bulk = call.metadata.bulk;
    facts.sub_call = call.metadata.sub_call;
    facts.repeatable = call.metadata.repeatable;
    return facts;
}

} // namespace nutmegusher::routed::internal
