#include "nutmegusher/execution/request_ledger.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

request_ledger::request_ledger(std::size_t shards)
    : shards_(shards)
{
}

request_ledger::shard& request_ledger::shard_of(const request_id& id)
{
    return shards_[stable_hash(id.str()) % shards_.size()];
}

request_ledger::running_request request_ledger::open(
    const request_id& id, request_context context, retry_tokens tokens)
{
    const auto received_tokens = tokens.count();
    auto& locked_shard = shard_of(id);
    const std::scoped_lock lock(locked_shard.mutex);
    auto& found = locked_shard.entries[id];
    if (found.running == 0)
    {
        found.context = std::move(context);
    }
    else
    {
        found.context.deadline =
            std::max(found.context.deadline, context.deadline);
    }
    ++found.running;
    found.available.put(std::move(tokens));
    return {*this, id, received_tokens};
}

std::optional<request_ledger::sub_call> request_ledger::begin_sub_call(
    const request_id& id, std::uint32_t wanted_tokens)
{
    auto& locked_shard = shard_of(id);
    const std::scoped_lock lock(locked_shard.mutex);
    const auto found = locked_shard.entries.find(id);
    if (found == locked_shard.entries.end())
    {
        return std::nullopt;
    }
    auto tokens = found->second.available.take(wanted_tokens);
    return sub_call(*this, id, found->second.context, std::move(tokens));
}

std::size_t request_ledger::size() const
{
    std::size_t total = 0;
    for (const auto& locked_shard : shards_)
    {
        const std::scoped_lock lock(locked_shard.mutex);
        total += locked_shard.entries.size();
    }
    return total;
}

std::uint64_t request_ledger::available_tokens() const
{
    std::uint64_t total = 0;
    for (const auto& locked_shard : shards_)
    {
        const std::scoped_lock lock(locked_shard.mutex);
        for (const auto& [id, value] : locked_shard.entries)
        {
            total += value.available.count();
        }
    }
    return total;
}

// Returns the tokens for the answer of a request that ends. The last request of
// an id gets all that are left; an earlier one gets at most as many as it
// received, so that the others keep theirs.
retry_tokens
request_ledger::close(const request_id& id, std::uint32_t received_tokens)
{
    auto& locked_shard = shard_of(id);
    const std::scoped_lock lock(locked_shard.mutex);
    const auto found = locked_shard.entries.find(id);
    auto& value = found->second;
    --value.running;
    if (value.running > 0)
    {
        return value.available.take(received_tokens);
    }
    auto left = std::move(value.available);
    locked_shard.entries.erase(found);
    return left;
}

void request_ledger::put_back(const request_id& id, retry_tokens tokens)
{
    auto& locked_shard = shard_of(id);
    const std::scoped_lock lock(locked_shard.mutex);
    const auto found = locked_shard.entries.find(id);
    if (found != locked_shard.entries.end())
    {
        found->second.available.put(std::move(tokens));
    }
}

request_ledger::running_request::running_request(
    request_ledger& ledger, request_id id, std::uint32_t received_tokens)
    : ledger_(&ledger)
    , id_(std::move(id))
    , received_tokens_(received_tokens)
{
}

request_ledger::running_request::running_request(
    running_request&& other) noexcept
    : ledger_(std::exchange(other.ledger_, nullptr))
    , id_(std::move(other.id_))
    , received_tokens_(other.received_tokens_)
{
}

request_ledger::running_request::~running_request()
{
    finish();
}

retry_tokens request_ledger::running_request::finish()
{
    auto* const ledger = std::exchange(ledger_, nullptr);
    return ledger != nullptr ? ledger->close(id_, received_tokens_)
                             : retry_tokens();
}

request_ledger::sub_call::sub_call(
    request_ledger& ledger,
    request_id id,
    request_context context,
    retry_tokens tokens)
    : ledger_(&ledger)
    , id_(std::move(id))
    , context_(std::move(context))
    , tokens_(std::move(tokens))
{
}

request_ledger::sub_call::sub_call(sub_call&& other) noexcept
    : ledger_(std::exchange(other.ledger_, nullptr))
    , id_(std::move(other.id_))
    , context_(std::move(other.context_))
    , tokens_(std::move(other.tokens_))
{
}

request_ledger::sub_call::~sub_call()
{
    if (ledger_ != nullptr && tokens_.count() > 0)
    {
        ledger_->put_back(id_, std::move(tokens_));
    }
}

} // namespace nutmegusher
