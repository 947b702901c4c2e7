#include "nutmegusher/node/configuration_cache.hpp"

#include <algorithm>

namespace nutmegusher::node::internal
{

void configuration_cache::accept(const messages::accepted_change& accepted)
{
    messages::configuration_delta delta;
    *delta.add_changes() = without_routes(accepted);
    if (accepted.what().has_install_routes())
    {
        *delta.mutable_routes() = accepted.what().install_routes();
    }
    const std::scoped_lock lock(mutex_);
    if (accepted.revision() <= present_.revision())
    {
        return;
    }
    nutmegusher::apply_delta(present_, delta);
    history_.push_back(delta.changes(0));
    if (history_.size() > history_limit_)
    {
        history_.pop_front();
    }
}

void configuration_cache::accept(
    const messages::upstream_withdrawal& withdrawal)
{
    const std::scoped_lock lock(mutex_);
    withdrawals_.add(withdrawal);
}

void configuration_cache::restore(const configuration_store& store)
{
    auto present = store.present();
    auto history = store.history();
    auto withdrawals = store.withdrawals();
    const std::scoped_lock lock(mutex_);
    withdrawals_ = std::move(withdrawals);
    if (present.revision() > present_.revision())
    {
        present_ = std::move(present);
        history_ = std::move(history);
    }
}

std::vector<messages::upstream_withdrawal>
configuration_cache::withdrawals_of(std::string_view host) const
{
    const std::scoped_lock lock(mutex_);
    return withdrawals_.of_host(host);
}

bool configuration_cache::contains(
    const messages::upstream_withdrawal& withdrawal) const
{
    const std::scoped_lock lock(mutex_);
    return withdrawals_.contains(withdrawal);
}

revision configuration_cache::at() const
{
    const std::scoped_lock lock(mutex_);
    return revision(present_.revision());
}

messages::configuration configuration_cache::present() const
{
    const std::scoped_lock lock(mutex_);
    return present_;
}

messages::configuration_delta configuration_cache::since(revision from) const
{
    messages::configuration_delta delta;
    const std::scoped_lock lock(mutex_);
    if (from.value() >= present_.revision())
    {
        return delta;
    }
    const auto missing = present_.revision() - from.value();
    if (missing > history_.size())
    {
        *delta.mutable_full() = present_;
        return delta;
    }
    const auto first = history_.end() - static_cast<std::ptrdiff_t>(missing);
    for (auto change = first; change != history_.end(); ++change)
    {
        *delta.add_changes() = *change;
    }
    if (replaces_routes(delta))
    {
        *delta.mutable_routes() = present_.routes();
    }
    return delta;
}

std::vector<messages::accepted_change>
configuration_cache::history(std::size_t limit) const
{
    const std::scoped_lock lock(mutex_);
    const auto count = std::min(limit, history_.size());
    return {
        history_.end() - static_cast<std::ptrdiff_t>(count), history_.end()};
}

} // namespace nutmegusher::node::internal
