// The part of the claim table that handles log time, retention, size limits and
// fences.
#include "nutmegusher/execution/attempt_sequence.hpp"
#include "nutmegusher/execution/claim_encoding.hpp"
#include "nutmegusher/execution/claim_table.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{
namespace
{

using internal::estimated_record_bytes;
using internal::fingerprint;

// Returns the serialized answer without headers and body; a digest and the size
// of the body remain.
std::string without_body(const std::string& bytes)
{
    messages::stored_answer answer;
    answer.ParseFromString(bytes);
    answer.clear_headers();
    if (!answer.body_dropped())
    {
        answer.set_body_digest(stable_hash(answer.body()));
        answer.set_body_size(answer.body().size());
        answer.set_body_dropped(true);
    }
    answer.clear_body();
    return answer.SerializeAsString();
}

} // namespace

void claim_table::advance_time(std::uint64_t proposed_at_ms)
{
    if (log_time_ms_ == 0)
    {
        log_time_ms_ = proposed_at_ms;
        return;
    }
    const auto max_log_time_ms = log_time_ms_ + limits_.max_time_step_ms;
    log_time_ms_ =
        std::max(log_time_ms_, std::min(proposed_at_ms, max_log_time_ms));
}

void claim_table::remove_expired()
{
    while (!finished_.empty() &&
           finished_.front()->second.finished_at_ms + limits_.retention_ms <
               log_time_ms_)
    {
        const auto& [key, value] = *finished_.front();
        bytes_ -= estimated_record_bytes(key) + value.answer.size();
        answer_bytes_ -= value.answer.size();
        finished_.pop_front();
        stripped_ -= std::min<std::size_t>(stripped_, 1);
        records_.erase(records_.find(key));
    }
    while (!fences_.empty() &&
           fences_.front().fenced_at_ms + limits_.attempt_lifetime_ms <
               log_time_ms_)
    {
        fence_set_.erase(fences_.front().fingerprint);
        fences_.pop_front();
    }
}

void claim_table::strip_answers()
{
    while (answer_bytes_ > limits_.max_answer_bytes &&
           stripped_ < finished_.size())
    {
        auto& answer = finished_[stripped_]->second.answer;
        bytes_ -= answer.size();
        answer_bytes_ -= answer.size();
        answer = without_body(answer);
        bytes_ += answer.size();
        answer_bytes_ += answer.size();
        ++stripped_;
    }
}

// Returns the time from which the retention of a finished key counts: the
// latest of all known times. After an idle period the log time lags behind, and
// its catching up must not end the retention early.
std::uint64_t
claim_table::finish_time(const messages::claim_command& command) const
{
    const auto previous =
        finished_.empty() ? 0 : finished_.back()->second.finished_at_ms;
    const auto issued_at_ms =
        attempt_sequence::issued_at_ms(command.by().sequence());
    return std::max(
        {log_time_ms_, command.proposed_at_ms(), issued_at_ms, previous});
}

bool claim_table::add_fence(const std::string& key, const messages::attempt& by)
{
    const auto attempt_fingerprint = fingerprint(key, by);
    if (fence_set_.contains(attempt_fingerprint))
    {
        return true;
    }
    if (fences_.size() >= limits_.max_fences)
    {
        return false;
    }
    // A fence is never dated before its attempt was issued, even if the clock
    // of the issuer is ahead. The attempt has thus expired by the time its
    // fence is removed.
    const auto issued_at_ms = attempt_sequence::issued_at_ms(by.sequence());
    const auto previous = fences_.empty() ? 0 : fences_.back().fenced_at_ms;
    const auto fenced_at_ms = std::max({log_time_ms_, issued_at_ms, previous});
    fence_set_.insert(attempt_fingerprint);
    fences_.push_back({attempt_fingerprint, fenced_at_ms});
    return true;
}

bool claim_table::is_fenced(
    const std::string& key, const messages::attempt& by) const
{
    return !fence_set_.empty() && fence_set_.contains(fingerprint(key, by));
}

bool claim_table::is_expired(const messages::attempt& by) const
{
    return attempt_sequence::issued_at_ms(by.sequence()) +
               limits_.attempt_lifetime_ms <
           log_time_ms_;
}

void claim_table::insert_running(std::string key, record value)
{
    bytes_ += estimated_record_bytes(key);
    records_.emplace(std::move(key), std::move(value));
}

void claim_table::insert_finished(std::string key, record value)
{
    bytes_ += estimated_record_bytes(key) + value.answer.size();
    answer_bytes_ += value.answer.size();
    const auto added = records_.emplace(std::move(key), std::move(value)).first;
    finished_.push_back(&*added);
}

} // namespace nutmegusher
