#ifndef NUTMEGUSHER_ROUTED_EXTENSION_HPP
#define NUTMEGUSHER_ROUTED_EXTENSION_HPP

#include "nutmegusher/node/extension.hpp"
#include "nutmegusher/routed/routed_state.hpp"

#include <memory>
#include <optional>

namespace nutmegusher::routed
{

// The operations that an external platform may ask of a process, with decoded
// arguments.
class routed_service
{
public:
    explicit routed_service(const node::extension_context& context);

    // A report of the upstream on this host; a late report changes nothing.
    // Returns whether it may be acknowledged: that an upstream leaves, only
    // once it binds the later processes of this host too.
    asio::awaitable<bool> report(upstream_report new_report);

    // A report couldn't be read: counts and logs it. Earlier reports hold.
    void reject_report(std::string_view reason, std::string_view field);

    // Whether the upstream on this host may belong to the service according to
    // the settings.
    [[nodiscard]] bool serves(const service_name& service) const;

    // Stops new calls to the upstream with that id; `started`: see
    // `local_upstream::withdraw`. Returns whether it may be acknowledged, like
    // `report`.
    asio::awaitable<bool> withdraw(std::string id, std::uint64_t started);

    // Whether callers on this host should connect to this process: it has a
    // document of routes and isn't stopping.
    [[nodiscard]] bool is_ready() const;

    // Whether this process is a control host.
    [[nodiscard]] bool is_control_host() const;

    // Replaces all routes; `change_unavailable` if the outcome isn't known.
    // Idempotent: the change id is derived from the document, so sending the
    // same document again returns the first result.
    asio::awaitable<messages::change_result>
    install(messages::route_document document);

    // The document in force, confirmed by a majority of the control hosts;
    // nullopt if they can't confirm it.
    asio::awaitable<std::optional<messages::route_document>> read();

    // The state shared with the listeners; set by `routed_extension`.
    routed_state* state = nullptr;

private:
    // Returns false if the control hosts didn't store it in time.
    asio::awaitable<bool>
    store_withdrawal(const std::string& id, std::uint64_t started);

    const node::extension_context context_;
};

// Translates the names and formats of one external platform. One instance
// serves the whole process.
class interface_adapter
{
public:
    interface_adapter() = default;
    interface_adapter(const interface_adapter&) = delete;
    interface_adapter& operator=(const interface_adapter&) = delete;
    virtual ~interface_adapter() = default;

    [[nodiscard]] virtual request_dialect dialect() const = 0;

    // Both return false if they don't know the request.
    virtual asio::awaitable<bool> serve_upstream(
        routed_service& service, node::caller_exchange& exchange) = 0;
    virtual asio::awaitable<bool> serve_operator(
        routed_service& service, node::caller_exchange& exchange) = 0;
};

// Creates the extension that serves routed requests in one process.
[[nodiscard]] std::unique_ptr<node::extension>
make_routed_extension(std::unique_ptr<interface_adapter> adapter);

} // namespace nutmegusher::routed

#endif
