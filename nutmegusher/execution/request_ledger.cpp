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
    const request_id& id, request_terms terms, retry_tokens tokens)
{
    const auto brought = tokens.count();
    auto& home = shard_of(id);
    const std::scoped_lock lock(home.mutex);
    auto& found = home.entries[id];
    if (found.running == 0)
    {
        found.terms = std::move(terms);
    }
    else
    {
        found.terms.deadline = std::max(found.terms.deadline, terms.deadline);
    }
    ++found.running;
    found.available.put(std::move(tokens));
    return {*this, id, brought};
}

std::optional<request_ledger::sub_call> request_ledger::begin_sub_call(
    const request_id& id, std::uint32_t wanted_tokens)
{
    auto& home = shard_of(id);
    const std::scoped_lock lock(home.mutex);
    const auto found = home.entries.find(id);
    if (found == home.entries.end())
    {
        return std::nullopt;
    }
    auto tokens = found->second.available.take(wanted_tokens);
    return sub_call(*this, id, found->second.terms, std::move(tokens));
}

std::size_t request_ledger::size() const
{
    std::size_t total = 0;
    for (const auto& home : shards_)
    {
        const std::scoped_lock lock(home.mutex);
        total += home.entries.size();
    }
    return total;
}

std::uint64_t request_ledger::available_tokens() const
{
    std::uint64_t total = 0;
    for (const auto& home : shards_)
    {
        const std::scoped_lock lock(home.mutex);
        for (const auto& [id, value] : home.entries)
        {
            total += value.available.count();
        }
    }
    return total;
}

// The last one of an id takes all that is left; an earlier one at most what it
// brought, so that the others keep theirs.
retry_tokens request_ledger::close(const request_id& id, std::uint32_t brought)
{
    auto& home = shard_of(id);
    const std::scoped_lock lock(home.mutex);
    const auto found = home.entries.find(id);
    auto& value = found->second;
    --value.running;
    if (value.running > 0)
    {
        return value.available.take(brought);
    }
    auto left = std::move(value.available);
    home.entries.erase(found);
    return left;
}

void request_ledger::put_back(const request_id& id, retry_tokens tokens)
{
    auto& home = shard_of(id);
    const std::scoped_lock lock(home.mutex);
    const auto found = home.entries.find(id);
    if (found != home.entries.end())
    {
        found->second.available.put(std::move(tokens));
    }
}

request_ledger::running_request::running_request(
    request_ledger& ledger, request_id id, std::uint32_t brought)
    : ledger_(&ledger)
    , id_(std::move(id))
    , brought_(brought)
{
}

request_ledger::running_request::running_request(
    running_request&& other) noexcept
    : ledger_(std::exchange(other.ledger_, nullptr))
    , id_(std::move(other.id_))
    , brought_(other.brought_)
{
}

request_ledger::running_request::~running_request()
{
    finish();
}

retry_tokens request_ledger::running_request::finish()
{
    auto* const ledger = std::exchange(ledger_, nullptr);
    return ledger != nullptr ? ledger->close(id_, brought_) : retry_tokens();
}

request_ledger::sub_call::sub_call(
    request_ledger& ledger,
    request_id id,
    request_terms terms,
    retry_tokens tokens)
    : ledger_(&ledger)
    , id_(std::move(id))
    , terms_(std::move(terms))
    , tokens_(std::move(tokens))
{
}

request_ledger::sub_call::sub_call(sub_call&& other) noexcept
    : ledger_(std::exchange(other.ledger_, nullptr))
    , id_(std::move(other.id_))
    , terms_(std::move(other.terms_))
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
