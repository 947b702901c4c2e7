// The upstreams that a daemon knows.
#ifndef NUTMEGUSHER_MEMBERSHIP_UPSTREAM_VIEW_HPP
#define NUTMEGUSHER_MEMBERSHIP_UPSTREAM_VIEW_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/membership/subset.hpp"
#include "nutmegusher/messages/sync.pb.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegusher
{

// What a reply changed; hosts by name.
struct view_change
{
    std::vector<host_id> added;
    std::vector<host_id> updated;
    std::vector<host_id> removed;

    [[nodiscard]] bool empty() const
    {
        return added.empty() && updated.empty() && removed.empty();
    }
};

// Whoever follows the view, for example the pool of connections.
template <class T>
concept view_observer = requires(
    T& observer, const messages::upstream_record& record, const host_id& host)
{
    {
        observer.upstream_added(record)
        } -> std::same_as<void>;
    {
        observer.upstream_updated(record)
        } -> std::same_as<void>;
    {
        observer.upstream_removed(host)
        } -> std::same_as<void>;
};

// Applies the replies of whichever control host the daemon syncs with. Without
// one it keeps what it has: an upstream is only dropped when a control host
// says that it went, or gives a list of the service without it.
//
// Of two records of a host the higher (incarnation, version) holds, so a
// control host that lags can't bring back what was left behind.
//
//     upstream_view view(self, own_locality);
//     view.add_service(service_name("balances"));
//     view.fill_request(request);              // services, stamp, epoch
//     notify(view, view.apply(reply), pool);
//     for (const auto* record : view.subset(service_name("balances"))) ...
//
// For one thread.
class upstream_view
{
public:
    upstream_view(
        host_id self, locality own_locality, subset_options options = {});

    // Adds a service that is needed from now on.
    void add_service(const service_name& service);

    // Fills in what the control host needs to know to answer.
    void fill_request(messages::sync_request& request) const;

    view_change apply(const messages::sync_reply& reply);

    // Null where the host isn't known.
    [[nodiscard]] const messages::upstream_record*
    find(const host_id& host) const;

    // All of a service, those that leave included.
    [[nodiscard]] std::vector<const messages::upstream_record*>
    all(const service_name& service) const;

    // Those to send work to: serving, and a stable part of them where there are
    // many; near ones first.
    [[nodiscard]] std::vector<const messages::upstream_record*>
    subset(const service_name& service) const;

    [[nodiscard]] std::size_t size() const
    {
        return records_.size();
    }

private:
    // The last state of a host that was removed.
    struct tombstone
    {
        std::string host;
        std::uint64_t incarnation;
        std::uint64_t version;
    };

    static constexpr std::size_t max_tombstones = 256;

    void put(const messages::upstream_record& record, view_change& change);
    void remove(const std::string& host, view_change& change);
    void remove_missing(const messages::sync_reply& reply, view_change& change);
    [[nodiscard]] bool
    has_newer_tombstone(const messages::upstream_record& record) const;

    host_id self_;
    locality own_locality_;
    subset_options options_;
    std::uint64_t stamp_ = 0;
    std::uint64_t epoch_ = 0;
    std::set<std::string> services_;
    std::unordered_map<std::string, messages::upstream_record> records_;
    std::map<std::string, std::set<std::string>> by_service_;
    // Bounded; the oldest is forgotten first.
    std::deque<tombstone> tombstones_;
};

// Tells an observer what a reply changed, removals first.
template <view_observer Observer>
void notify(
    const upstream_view& view, const view_change& change, Observer& observer)
{
    for (const auto& host : change.removed)
    {
        observer.upstream_removed(host);
    }
    for (const auto& host : change.updated)
    {
        observer.upstream_updated(*view.find(host));
    }
    for (const auto& host : change.added)
    {
        observer.upstream_added(*view.find(host));
    }
}

} // namespace nutmegusher

#endif
