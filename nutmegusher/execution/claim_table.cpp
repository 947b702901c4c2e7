#include "nutmegusher/execution/claim_table.hpp"

#include "nutmegusher/execution/claim_encoding.hpp"

#include <utility>

namespace nutmegusher
{
namespace
{

using internal::fingerprint;
using internal::is_same;

messages::claim_result verdict(messages::claim_verdict value)
{
    messages::claim_result result;
    result.set_verdict(value);
    return result;
}

template <class Running>
messages::claim_result in_progress(const Running& running)
{
    auto result = verdict(messages::claim_in_progress);
    *result.mutable_holder() = running.holder;
    *result.mutable_executor() = running.executor;
    return result;
}

messages::claim_result already_finished(const std::string& answer)
{
    auto result = verdict(messages::claim_already_finished);
    result.mutable_answer()->ParseFromString(answer);
    return result;
}

} // namespace

claim_table::claim_table(claim_limits limits)
    : limits_(limits)
{
}

messages::claim_result
claim_table::apply(const messages::claim_command& command)
{
    advance_time(command.proposed_at_ms());
    remove_expired();
    const auto key = internal::encode(command.key());
    switch (command.action_case())
    {
    case messages::claim_command::kStart:
        return start(key, command);
    case messages::claim_command::kFinish:
        return finish(key, command);
    case messages::claim_command::kRelease:
        return release(key, command);
    case messages::claim_command::kFence:
        return fence_attempt(key, command);
    case messages::claim_command::kLookUp:
        return find(command.key());
    case messages::claim_command::kResolve:
        return resolve(key, command);
    case messages::claim_command::ACTION_NOT_SET:
        break;
    }
    return verdict(messages::claim_verdict_none);
}

messages::claim_result claim_table::find(const messages::claim_key& key) const
{
    const auto found = records_.find(internal::encode(key));
    if (found == records_.end())
    {
        return verdict(messages::claim_verdict_none);
    }
    const auto& value = found->second;
    return value.running ? in_progress(*value.running)
                         : already_finished(value.answer);
}

claim_counts claim_table::counts() const
{
    return {
        .running = records_.size() - finished_.size(),
        .finished = finished_.size(),
        .fences = fences_.size(),
        .bytes = bytes_,
        .answer_bytes = answer_bytes_,
        .log_time_ms = log_time_ms_};
}

messages::claim_result claim_table::start(
    const std::string& key, const messages::claim_command& command)
{
    const auto found = records_.find(key);
    if (found == records_.end())
    {
        return grant_start(key, command);
    }
    const auto& value = found->second;
    if (held_by(value, command.by()))
    {
        return is_same(value.running->executor, command.executor())
                   ? verdict(messages::claim_granted)
                   : in_progress(*value.running);
    }
    return refuse_start(key, command);
}

// Handles a start for a key that has no record. The claim is granted unless the
// attempt is fenced or expired, or the table is full.
messages::claim_result claim_table::grant_start(
    const std::string& key, const messages::claim_command& command)
{
    if (is_fenced(key, command.by()))
    {
        return verdict(messages::claim_fenced);
    }
    if (is_expired(command.by()))
    {
        return verdict(messages::claim_attempt_expired);
    }
    if (bytes_ + internal::estimated_record_bytes(key) > limits_.max_bytes)
    {
        return verdict(messages::claim_unavailable);
    }
    record value;
    value.request_digest = command.start().request_digest();
    value.running = std::make_unique<running_claim>(
        running_claim{command.by(), command.executor()});
    insert_running(key, std::move(value));
    return verdict(messages::claim_granted);
}

// Handles a start for a key that another attempt holds or has finished. The
// refused attempt is fenced, so that a duplicate of its start can't be granted
// once the key is free again: no executor would run that call.
messages::claim_result claim_table::refuse_start(
    const std::string& key, const messages::claim_command& command)
{
    const auto& value = records_.at(key);
    if (!finished_by(key, value, command.by()))
    {
        add_fence(key, command.by());
    }
    if (value.request_digest != command.start().request_digest())
    {
        return verdict(messages::claim_other_request);
    }
    return value.running ? in_progress(*value.running)
                         : already_finished(value.answer);
}

messages::claim_result claim_table::finish(
    const std::string& key, const messages::claim_command& command)
{
    const auto found = records_.find(key);
    if (found == records_.end())
    {
        return verdict(messages::claim_not_held);
    }
    auto& value = found->second;
    if (!value.running)
    {
        const bool resent = finished_by(key, value, command.by());
        return verdict(
            resent ? messages::claim_granted : messages::claim_not_held);
    }
    if (!is_same(value.running->holder, command.by()) ||
        !is_same(value.running->executor, command.executor()))
    {
        return verdict(messages::claim_not_held);
    }
    store_answer(*found, command, command.finish().answer());
    return verdict(messages::claim_granted);
}

void claim_table::store_answer(
    record_map::value_type& entry,
    const messages::claim_command& command,
    const messages::stored_answer& answer)
{
    auto& [key, value] = entry;
    value.running.reset();
    value.holder_fingerprint = fingerprint(key, command.by());
    value.finished_at_ms = finish_time(command);
    value.answer = answer.SerializeAsString();
    bytes_ += value.answer.size();
    answer_bytes_ += value.answer.size();
    finished_.push_back(&entry);
    strip_answers();
}

// Handles an operator's decision about a call whose outcome the operator knows.
// It applies only to the holder that the command names, because another attempt
// may hold the key by now.
messages::claim_result claim_table::resolve(
    const std::string& key, const messages::claim_command& command)
{
    const auto found = records_.find(key);
    if (found == records_.end() || !held_by(found->second, command.by()) ||
        !is_same(found->second.running->executor, command.executor()))
    {
        return verdict(messages::claim_not_held);
    }
    if (command.resolve().has_answer())
    {
        store_answer(*found, command, command.resolve().answer());
        return verdict(messages::claim_granted);
    }
    if (!add_fence(key, command.by()))
    {
        return verdict(messages::claim_unavailable);
    }
    bytes_ -= internal::estimated_record_bytes(key);
    records_.erase(found);
    return verdict(messages::claim_granted);
}

// Handles a release by an execution that has not started and never will. If the
// key has no record, the start was not applied yet or was released already; the
// fence makes sure that it is never granted later.
messages::claim_result claim_table::release(
    const std::string& key, const messages::claim_command& command)
{
    const auto found = records_.find(key);
    const bool held =
        found != records_.end() && held_by(found->second, command.by());
    if (found != records_.end() &&
        (finished_by(key, found->second, command.by()) ||
         (held &&
          !is_same(found->second.running->executor, command.executor()))))
    {
        return verdict(messages::claim_not_held);
    }
    if (!add_fence(key, command.by()))
    {
        return verdict(messages::claim_unavailable);
    }
    if (held)
    {
        bytes_ -= internal::estimated_record_bytes(key);
        records_.erase(found);
    }
    return verdict(messages::claim_granted);
}

messages::claim_result claim_table::fence_attempt(
    const std::string& key, const messages::claim_command& command)
{
    const auto found = records_.find(key);
    if (found != records_.end() && held_by(found->second, command.by()))
    {
        return in_progress(*found->second.running);
    }
    const bool finished_by_attempt =
        found != records_.end() &&
        finished_by(key, found->second, command.by());
    if (!finished_by_attempt && !add_fence(key, command.by()))
    {
        return verdict(messages::claim_unavailable);
    }
    if (found == records_.end())
    {
        return is_expired(command.by())
                   ? verdict(messages::claim_attempt_expired)
                   : verdict(messages::claim_granted);
    }
    const auto& value = found->second;
    const auto digest = command.fence().request_digest();
    if (digest != 0 && digest != value.request_digest)
    {
        return verdict(messages::claim_other_request);
    }
    return value.running ? in_progress(*value.running)
                         : already_finished(value.answer);
}

bool claim_table::held_by(const record& value, const messages::attempt& by)
{
    return value.running && is_same(value.running->holder, by);
}

bool claim_table::finished_by(
    const std::string& key, const record& value, const messages::attempt& by)
{
    return !value.running && value.holder_fingerprint == fingerprint(key, by);
}

} // namespace nutmegusher
