// The upstream on this host, in the state that it last announced.
#ifndef NUTMEGUSHER_NODE_OWN_UPSTREAM_HPP
#define NUTMEGUSHER_NODE_OWN_UPSTREAM_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/sync.pb.h"
#include "nutmegusher/node/settings.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

namespace nutmegusher::node
{

// An upstream repeats its announcement at least every two seconds; after three
// missed ones it counts as lost.
inline constexpr duration announcement_timeout = std::chrono::seconds(6);

// The body of an announcement.
struct announcement
{
    service_name service;
    endpoint address;
    messages::upstream_state state = messages::upstream_serving;
    // Changes with each start of the upstream's process; 0 if the upstream
    // doesn't report it.
    std::uint64_t start = 0;
};

// Errors: `json_error` (see json_messages.hpp).
[[nodiscard]] leaf::result<announcement>
parse_announcement(std::string_view text);

// The change that an announcement or its expiry made.
enum class upstream_change : std::uint8_t
{
    none,
    appeared, // started to serve
    starting,
    leaving,
    lost
};

// Thread-safe.
class own_upstream
{
public:
    own_upstream(
        const host_settings& host, const endpoint& peers, incarnation run);

    upstream_change announce(const announcement& announced, time_point now);

    // Withdraws the upstream if its last announcement is older than
    // `announcement_timeout`.
    upstream_change expire(time_point now);

    // The incarnation of the daemon that orders this upstream's records among
    // all records of its host.
    [[nodiscard]] std::uint64_t run() const;

    // Raises the incarnation above `known_run`. Called when the control hosts
    // hold a higher incarnation of this host although that run has ended, which
    // happens when the host's clock was set back. Without this the daemon would
    // get no configuration until the lease of the earlier run expires after six
    // seconds.
    void supersede_run(std::uint64_t known_run);

    // Called when the daemon stops: the upstream is leaving from now on,
    // whatever it announces.
    void leave();

    // The upstream to send calls to, whatever its state; empty if none is
    // announced.
    [[nodiscard]] std::optional<announcement> current() const;

    // The record sent to control hosts; empty before the first announcement.
    [[nodiscard]] std::optional<messages::upstream_record> record() const;

private:
    mutable std::mutex mutex_;
    messages::upstream_record record_;
    std::optional<announcement> announced_;
    time_point last_announced_;
    bool is_leaving_ = false;
};

} // namespace nutmegusher::node

#endif
