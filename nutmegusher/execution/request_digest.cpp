#include "nutmegusher/execution/request_digest.hpp"

#include <xxhash.h>

#include <algorithm>

namespace nutmegusher
{

void request_digest::state_deleter::operator()(XXH64_state_s* state) const
{
    XXH64_freeState(state);
}

request_digest::request_digest(std::string_view method, std::string_view path)
    : state_(XXH64_createState())
{
    XXH64_reset(state_.get(), 0);
    for (const auto part : {method, path})
    {
        // The length makes the boundary between method and path unambiguous.
        const auto size = static_cast<std::uint64_t>(part.size());
        XXH64_update(state_.get(), &size, sizeof(size));
        update(part);
    }
}

void request_digest::update(std::string_view chunk)
{
    XXH64_update(state_.get(), chunk.data(), chunk.size());
}

std::uint64_t request_digest::value() const
{
    return std::max<std::uint64_t>(XXH64_digest(state_.get()), 1);
}

} // namespace nutmegusher
