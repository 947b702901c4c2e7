#include "nutmegusher/node/configuration_controller.hpp"

#include "nutmegusher/control/control.hpp"

#include <algorithm>

namespace nutmegusher::node
{

namespace
{

class_entry to_entry(const messages::work_class& from)
{
    class_entry entry;
    entry.id = class_name(from.name());
    entry.service = service_name(from.service());
    entry.method = from.method();
    entry.path_prefix = from.path_prefix();
    entry.rank = static_cast<std::uint8_t>(from.rank());
    entry.repeatable = from.repeatable();
    entry.bulk = from.bulk();
    entry.target = std::chrono::milliseconds(from.target().latency_ms());
    entry.completion_ppm = from.target().completion_ppm();
    entry.hash = stable_hash(from.name());
    return entry;
}

// Returns the path below the service: "/pay" of "/disbursement/pay?x=1".
std::string_view path_below_service(std::string_view path)
{
    const auto slash = path.find('/', 1);
    const auto below =
        slash == std::string_view::npos ? "/" : path.substr(slash);
    return below.substr(0, below.find('?'));
}

} // namespace

configuration_view::configuration_view(const messages::configuration& from)
    : revision_(from.revision())
    , message_(from)
    , routes_(route_table::create(from.routes()))
    , teams_(team_table::create(from.routes()))
{
    for (const auto& item : from.classes())
    {
        classes_.push_back(to_entry(item));
        by_service_[item.service()].push_back(classes_.size() - 1);
    }
}

const class_entry*
configuration_view::match(std::string_view method, std::string_view path) const
{
    const auto found = by_service_.find(std::string(service_in_path(path)));
    if (found == by_service_.end())
    {
        return nullptr;
    }
    const auto below = path_below_service(path);
    const class_entry* best = nullptr;
    const auto is_better = [&best](const class_entry& item)
    {
        if (best == nullptr ||
            item.path_prefix.size() != best->path_prefix.size())
        {
            return best == nullptr ||
                   item.path_prefix.size() > best->path_prefix.size();
        }
        return best->method.empty() && !item.method.empty();
    };
    for (const auto index : found->second)
    {
        const auto& item = classes_[index];
        const bool matches = (item.method.empty() || item.method == method) &&
                             below.starts_with(item.path_prefix);
        if (matches && is_better(item))
        {
            best = &item;
        }
    }
    return best;
}

const class_entry* configuration_view::find(const class_name& id) const
{
    const auto found = std::find_if(
        classes_.begin(),
        classes_.end(),
        [&id](const class_entry& item)
        {
            return item.id == id;
        });
    return found == classes_.end() ? nullptr : &*found;
}

bool configuration_view::knows_service(std::string_view service) const
{
    return by_service_.contains(std::string(service));
}

std::string_view service_in_path(std::string_view path)
{
    if (path.empty() || path.front() != '/')
    {
        return {};
    }
    path.remove_prefix(1);
    return path.substr(0, path.find_first_of("/?"));
}

messages::configuration apply_delta(
    const messages::configuration& from,
    const messages::configuration_delta& delta)
{
    if (delta.has_full())
    {
        return delta.full().revision() > from.revision() ? delta.full() : from;
    }
    const auto next = std::find_if(
        delta.changes().begin(),
        delta.changes().end(),
        [&from](const auto& accepted)
        {
            return accepted.revision() == from.revision() + 1;
        });
    auto result = from;
    if (next != delta.changes().end())
    {
        messages::configuration_delta missing;
        missing.mutable_changes()->Assign(next, delta.changes().end());
        if (delta.has_routes())
        {
            *missing.mutable_routes() = delta.routes();
        }
        nutmegusher::apply_delta(result, missing);
    }
    return result;
}

configuration_controller::configuration_controller()
    : view_(
          std::make_shared<const configuration_view>(messages::configuration()))
{
}

std::shared_ptr<const configuration_view>
configuration_controller::current() const
{
    const std::scoped_lock lock(mutex_);
    return view_;
}

bool configuration_controller::accept(
    const messages::configuration_delta& delta)
{
    const std::scoped_lock lock(mutex_);
    auto next = apply_delta(view_->message(), delta);
    if (next.revision() <= view_->at().value())
    {
        return false;
    }
    view_ = std::make_shared<const configuration_view>(next);
    return true;
}

} // namespace nutmegusher::node
