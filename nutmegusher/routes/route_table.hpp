#ifndef NUTMEGUSHER_ROUTES_ROUTE_TABLE_HPP
#define NUTMEGUSHER_ROUTES_ROUTE_TABLE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/configuration.pb.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegusher
{

// One service that a route's requests may go to.
struct destination
{
    service_name service;
    // In [0, 1]; the shares of a route add up to 1.
    double share = 1;
};

// One route, as decisions use it.
struct request_route
{
    std::string name;
    std::string path_prefix;
    // May run more than once.
    bool repeatable = false;
    // Long answers.
    bool bulk = false;
    // The longest time that a caller is kept waiting.
    duration deadline{0};
    // An answer within it is on time; zero: none was set.
    duration target{0};
    // 0 is refused last; at most 9.
    std::uint8_t rank = 0;
    // Upstreams that one request may be sent to.
    std::uint32_t max_tries = 1;
    std::vector<destination> destinations;
    // `stable_hash` of the name.
    std::uint64_t hash = 0;

    // One of the destinations, each with the probability of its share.
    [[nodiscard]] const destination& choose(random_engine& engine) const;
};

// All routes of one document. Immutable; safe from every thread.
class route_table
{
public:
    // No routes.
    route_table() = default;

    // Requires: the document passed `check_routes`.
    [[nodiscard]] static route_table
    create(const messages::route_document& document);

    // Of the routes of that host the one with the longest prefix of `path`
    // (a query counts as part of it only behind the prefix); null where there
    // is none. `host` may have a port; letters' case doesn't count.
    [[nodiscard]] const request_route*
    find(std::string_view host, std::string_view path) const;

    // The operator's number of the document; 0: none yet.
    [[nodiscard]] std::uint64_t version() const
    {
        return version_;
    }

    [[nodiscard]] const messages::request_limits& limits() const
    {
        return limits_;
    }

    // How many different ranks below this one routes have.
    [[nodiscard]] std::size_t ranks_below(std::uint8_t rank) const;

    // All services that some route goes to, each once.
    [[nodiscard]] std::vector<service_name> services() const;

private:
    std::uint64_t version_ = 0;
    messages::request_limits limits_;
    std::set<std::uint8_t> ranks_;
    // By host; longest prefix first.
    std::unordered_map<std::string, std::vector<request_route>> by_host_;
};

} // namespace nutmegusher

#endif
