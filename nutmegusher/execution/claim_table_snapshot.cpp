#include "nutmegusher/execution/claim_encoding.hpp"
#include "nutmegusher/execution/claim_table.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace nutmegusher
{
namespace
{

void write(messages::claim_table_limits& out, const claim_limits& limits)
{
    out.set_retention_ms(limits.retention_ms);
    out.set_attempt_lifetime_ms(limits.attempt_lifetime_ms);
    out.set_max_bytes(limits.max_bytes);
    out.set_max_answer_bytes(limits.max_answer_bytes);
    out.set_max_fences(limits.max_fences);
    out.set_max_time_step_ms(limits.max_time_step_ms);
}

claim_limits read(const messages::claim_table_limits& in)
{
    return {
        .retention_ms = in.retention_ms(),
        .attempt_lifetime_ms = in.attempt_lifetime_ms(),
        .max_bytes = in.max_bytes(),
        .max_answer_bytes = in.max_answer_bytes(),
        .max_fences = in.max_fences(),
        .max_time_step_ms = in.max_time_step_ms()};
}

} // namespace

std::string claim_table::snapshot() const
{
    messages::claim_table_snapshot out;
    write(*out.mutable_limits(), limits_);
    out.set_log_time_ms(log_time_ms_);
    out.set_stripped(stripped_);

    std::vector<const record_map::value_type*> running;
    for (const auto& entry : records_)
    {
        if (entry.second.running)
        {
            running.push_back(&entry);
        }
    }
    std::sort(
        running.begin(),
        running.end(),
        [](const auto* one, const auto* other)
        {
            return one->first < other->first;
        });
    for (const auto* entry : running)
    {
        auto& item = *out.add_running();
        *item.mutable_key() = internal::decode(entry->first);
        item.set_request_digest(entry->second.request_digest);
        *item.mutable_holder() = entry->second.running->holder;
        *item.mutable_executor() = entry->second.running->executor;
    }
    for (const auto* entry : finished_)
    {
        auto& item = *out.add_finished();
        *item.mutable_key() = internal::decode(entry->first);
        item.set_request_digest(entry->second.request_digest);
        item.set_holder_fingerprint(entry->second.holder_fingerprint);
        item.set_answer(entry->second.answer);
        item.set_finished_at_ms(entry->second.finished_at_ms);
    }
    for (const auto& item : fences_)
    {
        auto& written = *out.add_fences();
        written.set_fingerprint(item.fingerprint);
        written.set_fenced_at_ms(item.fenced_at_ms);
    }
    return out.SerializeAsString();
}

leaf::result<claim_table> claim_table::restore(std::string_view bytes)
{
    using fault = bad_claim_snapshot::fault;
    messages::claim_table_snapshot in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        !in.has_limits())
    {
        return leaf::new_error(bad_claim_snapshot{fault::not_decodable});
    }
    claim_table table(read(in.limits()));
    table.log_time_ms_ = in.log_time_ms();
    for (auto& item : *in.mutable_running())
    {
        auto key = internal::encode(item.key());
        if (table.records_.contains(key))
        {
            return leaf::new_error(bad_claim_snapshot{fault::repeated_key});
        }
        record value;
        value.request_digest = item.request_digest();
        value.running = std::make_unique<running_claim>(
            running_claim{item.holder(), item.executor()});
        table.insert_running(std::move(key), std::move(value));
    }
    for (auto& item : *in.mutable_finished())
    {
        auto key = internal::encode(item.key());
        if (table.records_.contains(key))
        {
            return leaf::new_error(bad_claim_snapshot{fault::repeated_key});
        }
        if (!table.finished_.empty() &&
            table.finished_.back()->second.finished_at_ms >
                item.finished_at_ms())
        {
            return leaf::new_error(
                bad_claim_snapshot{fault::finished_out_of_order});
        }
        record value;
        value.request_digest = item.request_digest();
        value.holder_fingerprint = item.holder_fingerprint();
        value.finished_at_ms = item.finished_at_ms();
        value.answer = std::move(*item.mutable_answer());
        table.insert_finished(std::move(key), std::move(value));
    }
    table.stripped_ =
        std::min<std::size_t>(in.stripped(), table.finished_.size());
    for (const auto& item : in.fences())
    {
        table.fence_set_.insert(item.fingerprint());
        table.fences_.push_back({item.fingerprint(), item.fenced_at_ms()});
    }
    return table;
}

} // namespace nutmegusher
