#ifndef NUTMEGUSHER_ROUTES_ROUTE_TABLE_HPP
#define NUTMEGUSHER_ROUTES_ROUTE_TABLE_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/configuration.pb.h"

#include <cstddef>
#include <cstdint>
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

// One route, in the form that routing decisions use.
struct request_route
{
    std::string name;
    std::string path_prefix;
    // Whether a request may run more than once.
    bool repeatable = false;
    // Whether answers are long transfers.
    bool bulk = false;
    // Whether requests need no key where there are teams.
    bool anonymous = false;
    // The longest time that a caller waits for an answer.
    duration deadline{0};
    // The latency within which an answer is on time; zero: none is set.
    duration target{0};
    // 0 is refused last; at most 9.
    std::uint8_t rank = 0;
    // How many upstreams one request may be sent to.
    std::uint32_t max_tries = 1;
    std::vector<destination> destinations;
    // `stable_hash` of the name.
    std::uint64_t hash = 0;

    // Chooses one of the destinations at random, weighted by share.
    [[nodiscard]] const destination& choose(random_engine& engine) const;
};

// All routes of one document. Immutable and thread-safe.
class route_table
{
public:
    // Creates a table without routes.
    route_table() = default;

    // Requires: the document passed `check_routes`.
    [[nodiscard]] static route_table
    create(const messages::route_document& document);

    // Returns the route of the host with the longest prefix that matches
    // `path`, or null if none matches. A query in `path` is ignored. `host` may
    // have a port; its case is ignored.
    [[nodiscard]] const request_route*
    find(std::string_view host, std::string_view path) const;

    // The operator's version of the document; 0: no document yet.
    [[nodiscard]] std::uint64_t version() const
    {
        return version_;
    }

    [[nodiscard]] const messages::request_limits& limits() const
    {
        return limits_;
    }

    // All services that routes go to, each once.
    [[nodiscard]] std::vector<service_name> services() const;

private:
    std::uint64_t version_ = 0;
    messages::request_limits limits_;
    // Keyed by host; longest prefix first.
    std::unordered_map<std::string, std::vector<request_route>> by_host_;
};

} // namespace nutmegusher

#endif
