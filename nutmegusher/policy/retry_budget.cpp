#include "nutmegusher/policy/retry_budget.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher
{

std::uint32_t retry_budget::begin(bool client_retry)
{
    if (client_retry)
    {
        return 0;
    }
    balance_ = std::min(balance_ + ratio, max_balance);
    return balance_ >= 1.0 ? tokens_per_request : 0;
}

void retry_budget::end(std::uint32_t given, std::uint32_t left)
{
    balance_ -= static_cast<double>(given) - static_cast<double>(left);
}

bool repeated_key_detector::is_repeated(std::uint64_t key_hash, time_point now)
{
    if (now >= rotate_at_ || recent_.size() >= max_keys_per_generation)
    {
        older_ = std::exchange(recent_, {});
        rotate_at_ = now + retention;
    }
    const bool known = recent_.contains(key_hash) || older_.contains(key_hash);
    recent_.insert(key_hash);
    return known;
}

} // namespace nutmegusher
