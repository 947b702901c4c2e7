#include "nutmegusher/routed/entry_request.hpp"

namespace nutmegusher::routed::internal
{

void entry_request::take_view()
{
    auto& process = state.process;
    if (process.configured.teams.max_configuration_age > duration::zero())
    {
        configuration_age = process.age_of_configuration.now();
    }
    view = process.configuration.current();
}

bool entry_request::may_have_reached_upstream() const
{
    return answered_by_upstream || may_have_run || sent_tries > 0 ||
           (current_try && current_try->progress.may_have_run());
}

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
