#include "nutmegusher/routed/routed_state.hpp"

#include <utility>

namespace nutmegusher::routed
{

void repeat_allowances::on_call(const service_name& service)
{
    const std::scoped_lock lock(mutex_);
    by_service_[service].on_call();
}

bool repeat_allowances::take(const service_name& service)
{
    const std::scoped_lock lock(mutex_);
    return by_service_[service].take();
}

routed_state::routed_state(
    node::controllers& process,
    request_dialect names,
    std::function<void()> upstream_changed)
    : process(process)
    , names(std::move(names))
    , slots(stable_hash(process.configured.host.id.str(), process.run.value()))
    , upstream_changed(std::move(upstream_changed))
{
}

void routed_state::note_unreachable(const std::string& id)
{
    if (local.unreachable(id))
    {
        upstream_changed();
    }
}

} // namespace nutmegusher::routed
