// The upstreams that a daemon knows of.
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

// The hosts whose records a reply changed.
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

// Receives the changes of a view, for example a connection pool.
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

// Holds a daemon's upstream records and applies the replies of the control host
// that it currently syncs with. While no control host is reachable, the view
// keeps its records: an upstream is removed only when a control host reports it
// as lost or sends a complete list without it.
//
// Of two records of a host, the one with the higher (incarnation, version)
// wins, so a lagging control host can't restore an outdated record.
//
//     upstream_view view(self, own_locality);
//     view.add_service(service_name("balances"));
//     view.fill_request(request);           // services, stamp, epoch
//     notify(view, view.apply(reply), pool);
//     for (const auto* record : view.subset(service_name("balances"))) ...
//
// Not thread-safe.
class upstream_view
{
public:
    upstream_view(
        host_id self, locality own_locality, subset_options options = {});

    // Subscribes to a service. The next request asks for complete lists.
    void add_service(const service_name& service);

    // Fills in the subscribed services and the stamp and epoch of the last
    // reply.
    void fill_request(messages::sync_request& request) const;

    // Applies a reply and returns the changes. Ignores a reply that wasn't
    // accepted, and records of services that weren't subscribed to.
    view_change apply(const messages::sync_reply& reply);

    // Returns null if the host isn't known.
    [[nodiscard]] const messages::upstream_record*
    find(const host_id& host) const;

    // Returns all known upstreams of a service, whatever their state.
    [[nodiscard]] std::vector<const messages::upstream_record*>
    all(const service_name& service) const;

    // Returns the upstreams to send requests to, near ones first: those in the
    // serving state, or a stable subset if there are many.
    [[nodiscard]] std::vector<const messages::upstream_record*>
    subset(const service_name& service) const;

    [[nodiscard]] std::size_t size() const
    {
        return records_.size();
    }

private:
    // The last incarnation and version of a removed host.
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
    // At most `max_tombstones`, the oldest first.
    std::deque<tombstone> tombstones_;
};

// Notifies an observer of the changes of a reply, removals first.
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
