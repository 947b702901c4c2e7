// The configuration that this process runs: one immutable snapshot at a time,
// whose revision never decreases.
//
//     const auto now = configuration.current();
//     const class_entry* found = now->match("POST", "/disbursement/pay");
//
// Safe from every thread.
#ifndef NUTMEGUSHER_NODE_CONFIGURATION_CONTROLLER_HPP
#define NUTMEGUSHER_NODE_CONFIGURATION_CONTROLLER_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/messages/configuration.pb.h"
#include "nutmegusher/routes/routes.hpp"
#include "nutmegusher/teams/teams.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegusher::node
{

// A declared class of work, in the form that requests are matched against.
struct class_entry
{
    class_name id;
    service_name service;
    std::string method; // empty: any
    std::string path_prefix;
    std::uint8_t rank = 0;
    bool repeatable = true;
    bool bulk = false;
    duration target{};
    std::uint32_t completion_ppm = 0;
    std::uint64_t hash = 0;
};

// All classes, routes and teams at one revision.
class configuration_view
{
public:
    // Requires: `from` was accepted by the control hosts.
    explicit configuration_view(const messages::configuration& from);

    [[nodiscard]] revision at() const
    {
        return revision_;
    }

    // Returns the class of a request, or nullptr if none matches. `path` starts
    // with "/<service>". The longest prefix wins; of two equally long ones, the
    // one that names the method.
    [[nodiscard]] const class_entry*
    match(std::string_view method, std::string_view path) const;

    [[nodiscard]] const class_entry* find(const class_name& id) const;

    // Returns whether any class names the service.
    [[nodiscard]] bool knows_service(std::string_view service) const;

    [[nodiscard]] const route_table& routes() const
    {
        return routes_;
    }

    [[nodiscard]] const team_table& teams() const
    {
        return teams_;
    }

    [[nodiscard]] const messages::configuration& message() const
    {
        return message_;
    }

private:
    revision revision_;
    messages::configuration message_;
    route_table routes_;
    team_table teams_;
    std::vector<class_entry> classes_;
    std::unordered_map<std::string, std::vector<std::size_t>> by_service_;
};

// Returns the service in a request path: "disbursement" of
// "/disbursement/pay?x=1".
[[nodiscard]] std::string_view service_in_path(std::string_view path);

// Returns the configuration after `delta`, or `from` if the delta does not
// continue from its revision.
[[nodiscard]] messages::configuration apply_delta(
    const messages::configuration& from,
    const messages::configuration_delta& delta);

class configuration_controller
{
public:
    configuration_controller();

    [[nodiscard]] std::shared_ptr<const configuration_view> current() const;

    // Applies the delta if it leads to a higher revision and returns true;
    // otherwise changes nothing and returns false.
    bool accept(const messages::configuration_delta& delta);

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const configuration_view> view_;
};

} // namespace nutmegusher::node

#endif
