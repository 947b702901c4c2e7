#include "nutmegusher/control/configuration_store.hpp"

#include "nutmegusher/control/configuration_check.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

namespace
{

messages::change_result
make_result(messages::change_verdict verdict, nutmegusher::revision present)
{
    messages::change_result result;
    result.set_verdict(verdict);
    result.set_revision(present.value());
    return result;
}

messages::change_result
invalid(messages::change_problem problem, std::string field)
{
    messages::change_result result;
    result.set_verdict(messages::change_invalid);
    result.set_problem(problem);
    result.set_field(std::move(field));
    return result;
}

std::uint64_t digest_of(const messages::change& change)
{
    return stable_hash(change.SerializeAsString());
}

bool same_match(
    const messages::work_class& left, const messages::work_class& right)
{
    return left.service() == right.service() &&
           left.method() == right.method() &&
           left.path_prefix() == right.path_prefix();
}

// Applies one accepted change to a container of classes, through its three
// operations. A change of routes does nothing here.
template <class Put, class Find, class Remove>
void apply_accepted_change(
    const messages::accepted_change& accepted,
    const Put& put,
    const Find& find,
    const Remove& remove)
{
    const auto& change = accepted.what();
    if (change.has_declare())
    {
        auto declared = change.declare();
        declared.set_revision(accepted.revision());
        put(std::move(declared));
    }
    else if (change.has_set_target())
    {
        if (auto* existing = find(change.set_target().class_name()))
        {
            *existing->mutable_target() = change.set_target().target();
            existing->set_revision(accepted.revision());
        }
    }
    else if (!change.has_install_routes())
    {
        remove(change.remove_class());
    }
}

} // namespace

configuration_store::configuration_store(const configuration_limits& limits)
    : limits_(limits)
{
}

messages::change_result
configuration_store::apply(const messages::log_entry& entry)
{
    return entry.has_withdrawal() ? apply_withdrawal(entry.withdrawal())
                                  : apply(entry.configuration_change());
}

messages::change_result configuration_store::apply_withdrawal(
    const messages::upstream_withdrawal& withdrawal)
{
    if (withdrawal.host().empty() || withdrawal.upstream().empty())
    {
        return invalid(messages::problem_bad_withdrawal, "withdrawal");
    }
    withdrawals_.add(withdrawal);
    return make_result(messages::change_accepted, revision_);
}

messages::change_result
configuration_store::apply(const messages::change& change)
{
    const bool repeated = has_result_for(change);
    auto result = check(change);
    if (repeated)
    {
        return result;
    }
    if (result.verdict() == messages::change_accepted)
    {
        commit_change(change);
    }
    const bool accepted = result.verdict() == messages::change_accepted;
    if (!change.change_id().empty() &&
        (accepted || !change.has_install_routes()))
    {
        record_result(change, result);
    }
    return result;
}

bool configuration_store::has_result_for(const messages::change& change) const
{
    return results_.contains(change.change_id());
}

messages::change_result
configuration_store::check(const messages::change& change) const
{
    const auto existing = results_.find(change.change_id());
    if (existing == results_.end())
    {
        return validate(change);
    }
    if (existing->second.digest != digest_of(change))
    {
        return make_result(messages::change_id_reused, revision_);
    }
    return existing->second.answer;
}

messages::change_result
configuration_store::validate(const messages::change& change) const
{
    if (auto problem = check_change(change))
    {
        return invalid(problem->problem, std::move(problem->field));
    }
    if (change.has_install_routes())
    {
        return validate_routes(change.install_routes());
    }
    const auto name = changed_class_name(change);
    const auto present = class_revision(name);
    if (present.value() != change.based_on())
    {
        return make_result(messages::change_conflict, present);
    }
    const bool exists = classes_.contains(name);
    if (!exists && !change.has_declare())
    {
        return invalid(messages::problem_unknown_class, std::string(name));
    }
    if (!exists && classes_.size() >= limits_.classes)
    {
        return invalid(messages::problem_too_many_classes, "declare");
    }
    if (change.has_declare() && overlaps(change.declare()))
    {
        return invalid(
            messages::problem_overlapping_match, "declare.path_prefix");
    }
    return make_result(messages::change_accepted, revision_.next());
}

messages::change_result configuration_store::validate_routes(
    const messages::route_document& document) const
{
    if (document.based_on() != routes_.version())
    {
        return make_result(
            messages::change_conflict,
            nutmegusher::revision(routes_.version()));
    }
    if (document.version() <= routes_.version())
    {
        return invalid(messages::problem_old_version, "version");
    }
    return make_result(messages::change_accepted, revision_.next());
}

nutmegusher::revision
configuration_store::class_revision(std::string_view name) const
{
    const auto existing = classes_.find(name);
    return existing == classes_.end()
               ? nutmegusher::revision()
               : nutmegusher::revision(existing->second.revision());
}

// True if another class has the same match: then the class of a request would
// be ambiguous.
bool configuration_store::overlaps(const messages::work_class& declared) const
{
    return std::any_of(
        classes_.begin(),
        classes_.end(),
        [&declared](const auto& existing)
        {
            return existing.first != declared.name() &&
                   same_match(existing.second, declared);
        });
}

void configuration_store::commit_change(const messages::change& change)
{
    revision_ = revision_.next();
    messages::accepted_change accepted;
    accepted.set_revision(revision_.value());
    *accepted.mutable_what() = change;
    apply_accepted_change(
        accepted,
        [this](messages::work_class declared)
        {
            const auto name = declared.name();
            classes_[name] = std::move(declared);
        },
        [this](const std::string& name)
        {
            const auto existing = classes_.find(name);
            return existing == classes_.end() ? nullptr : &existing->second;
        },
        [this](const std::string& name)
        {
            classes_.erase(name);
        });
    if (change.has_install_routes())
    {
        routes_ = change.install_routes();
        accepted = without_routes(accepted);
    }
    history_.push_back(std::move(accepted));
    if (history_.size() > limits_.history)
    {
        history_.pop_front();
    }
}

void configuration_store::record_result(
    const messages::change& change, const messages::change_result& answer)
{
    results_[change.change_id()] = {digest_of(change), answer};
    result_order_.push_back(change.change_id());
    if (result_order_.size() > limits_.remembered)
    {
        results_.erase(result_order_.front());
        result_order_.pop_front();
    }
}

messages::configuration configuration_store::present() const
{
    messages::configuration all;
    all.set_revision(revision_.value());
    for (const auto& [name, declared] : classes_)
    {
        *all.add_classes() = declared;
    }
    if (routes_.version() > 0)
    {
        *all.mutable_routes() = routes_;
    }
    return all;
}

messages::configuration_delta
configuration_store::delta_since(nutmegusher::revision from) const
{
    messages::configuration_delta delta;
    if (from >= revision_)
    {
        return delta;
    }
    const auto missing = revision_.value() - from.value();
    if (missing > history_.size())
    {
        *delta.mutable_full() = present();
        return delta;
    }
    const auto first = history_.end() - static_cast<std::ptrdiff_t>(missing);
    for (auto change = first; change != history_.end(); ++change)
    {
        *delta.add_changes() = *change;
    }
    if (replaces_routes(delta))
    {
        *delta.mutable_routes() = routes_;
    }
    return delta;
}

std::string configuration_store::snapshot() const
{
    messages::configuration_state state;
    *state.mutable_present() = present();
    for (const auto& accepted : history_)
    {
        *state.add_history() = accepted;
    }
    for (const auto& id : result_order_)
    {
        const auto& existing = results_.at(id);
        auto& kept = *state.add_remembered();
        kept.set_change_id(id);
        kept.set_digest(existing.digest);
        *kept.mutable_answer() = existing.answer;
    }
    for (const auto& withdrawal : withdrawals_.all())
    {
        *state.add_withdrawals() = withdrawal;
    }
    return state.SerializeAsString();
}

leaf::result<configuration_store>
configuration_store::restore(std::string_view bytes)
{
    messages::configuration_state state;
    if (!state.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return leaf::new_error(bad_configuration_snapshot{});
    }
    configuration_store store;
    store.revision_ = nutmegusher::revision(state.present().revision());
    for (auto& declared : *state.mutable_present()->mutable_classes())
    {
        const auto name = declared.name();
        store.classes_[name] = std::move(declared);
    }
    store.routes_ = std::move(*state.mutable_present()->mutable_routes());
    for (auto& accepted : *state.mutable_history())
    {
        store.history_.push_back(std::move(accepted));
    }
    for (const auto& kept : state.remembered())
    {
        store.results_[kept.change_id()] = {kept.digest(), kept.answer()};
        store.result_order_.push_back(kept.change_id());
    }
    for (const auto& withdrawal : state.withdrawals())
    {
        store.withdrawals_.add(withdrawal);
    }
    return store;
}

void apply_delta(
    messages::configuration& target, const messages::configuration_delta& delta)
{
    if (delta.has_full())
    {
        target = delta.full();
        return;
    }
    auto& classes = *target.mutable_classes();
    const auto find = [&classes](const std::string& name)
    {
        const auto existing = std::find_if(
            classes.begin(),
            classes.end(),
            [&name](const auto& declared)
            {
                return declared.name() == name;
            });
        return existing == classes.end() ? nullptr : &*existing;
    };
    for (const auto& accepted : delta.changes())
    {
        apply_accepted_change(
            accepted,
            [&](messages::work_class declared)
            {
                auto* existing = find(declared.name());
                auto* place = existing == nullptr ? classes.Add() : existing;
                *place = std::move(declared);
            },
            find,
            [&classes](const std::string& name)
            {
                const auto gone = std::remove_if(
                    classes.begin(),
                    classes.end(),
                    [&name](const auto& declared)
                    {
                        return declared.name() == name;
                    });
                classes.erase(gone, classes.end());
            });
        target.set_revision(accepted.revision());
    }
    if (delta.has_routes())
    {
        *target.mutable_routes() = delta.routes();
    }
}

messages::accepted_change
without_routes(const messages::accepted_change& accepted)
{
    if (!accepted.what().has_install_routes())
    {
        return accepted;
    }
    messages::accepted_change kept;
    kept.set_revision(accepted.revision());
    const auto& from = accepted.what();
    auto& to = *kept.mutable_what();
    to.set_change_id(from.change_id());
    to.set_author(from.author());
    to.mutable_install_routes()->set_version(from.install_routes().version());
    to.mutable_install_routes()->set_based_on(from.install_routes().based_on());
    return kept;
}

bool replaces_routes(const messages::configuration_delta& delta)
{
    return std::any_of(
        delta.changes().begin(),
        delta.changes().end(),
        [](const auto& accepted)
        {
            return accepted.what().has_install_routes();
        });
}

} // namespace nutmegusher
