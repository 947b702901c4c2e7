// The team of a request at its entry, and its quota.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_TEAM_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_TEAM_HPP

#include "nutmegusher/routed/entry_request.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace nutmegusher::routed::internal
{

// Finds the team whose key the request has, and sets `team`. Returns the
// refusal if the request needs a key and has none that is known, or if the
// daemon's configuration is too old to tell. Requires: the route is selected.
//
// One check is enough, however long the request waits or is retried: the
// configuration was current within the bound before the check, and the request
// was sent before it.
[[nodiscard]] std::optional<node::refusal>
identify_team(entry_request& request);

// A token of the team's quota. Destroyed, it goes back if the request has
// not run and won't.
class quota_token
{
public:
    explicit quota_token(entry_request& request);
    quota_token(const quota_token&) = delete;
    quota_token& operator=(const quota_token&) = delete;
    ~quota_token();

    // Takes a token, if the team has a quota. Returns the refusal if it
    // has used it, or if no owner of quotas answers in time.
    asio::awaitable<std::optional<node::refusal>> take();

private:
    entry_request& request_;
    bool taken_ = false;
};

} // namespace nutmegusher::routed::internal

#endif
