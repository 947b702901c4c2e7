// The upstream on this host, as it announces itself.
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

// Announcements are repeated at least every two seconds; after the third one
// that is missed the upstream counts as gone.
inline constexpr duration announcement_timeout = std::chrono::seconds(6);

// An announcement's body.
struct announcement
{
    service_name service;
    endpoint address;
    messages::upstream_state state = messages::upstream_serving;
    // Another one after each start of the upstream's process; 0: it doesn't
    // tell.
    std::uint64_t start = 0;
};

// Errors: `json_error` (see json_messages.hpp).
[[nodiscard]] leaf::result<announcement>
parse_announcement(std::string_view text);

// What changed by an event.
enum class upstream_change : std::uint8_t
{
    none,
    appeared, // serves now, and didn't before
    starting,
    leaving,
    lost
};

// Safe from every thread.
class own_upstream
{
public:
    own_upstream(
        const host_settings& host, const endpoint& peers, incarnation run);

    upstream_change announce(const announcement& announced, time_point now);

    // Withdraws an upstream that has been silent for too long.
    upstream_change expire(time_point now);

    // By which run of the daemon its records are ordered among those of its
    // host.
    [[nodiscard]] std::uint64_t run() const;

    // Another run of this host's daemon is known as the latest one, though it
    // has ended: the host's clock was set back. From now on this run goes
    // before it. Without this the daemon got no configuration until the lease
    // of the earlier run ended, six seconds.
    void supersede_run(std::uint64_t known_run);

    // The daemon itself stops: its upstream leaves, whatever it says.
    void leave();

    // Where calls go; nothing without a serving or leaving upstream.
    [[nodiscard]] std::optional<announcement> current() const;

    // For the sync with a control host; nothing before the first announcement.
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
