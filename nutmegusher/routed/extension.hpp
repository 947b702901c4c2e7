#ifndef NUTMEGUSHER_ROUTED_EXTENSION_HPP
#define NUTMEGUSHER_ROUTED_EXTENSION_HPP

#include "nutmegusher/node/extension.hpp"
#include "nutmegusher/routed/routed_state.hpp"

#include <memory>
#include <optional>

namespace nutmegusher::routed
{

// What a party outside of the system asks of a process, already decoded.
class routed_service
{
public:
    explicit routed_service(const node::extension_context& context);

    // The upstream on this host reports; changes nothing where the report is
    // late.
    void report(const upstream_report& new_report);

    // Whether the upstream on this host is one of the service, by the settings.
    [[nodiscard]] bool serves(const service_name& service) const;

    // The upstream with that id takes no new work; `started`: see
    // `local_upstream`.
    void withdraw(const std::string& id, std::uint64_t started);

    // Whether callers on this host should be sent here: there is a document of
    // routes, and no stop has begun.
    [[nodiscard]] bool is_ready() const;

    // True where this process is a control host.
    [[nodiscard]] bool is_control_host() const;

    // Replaces all routes; `change_unavailable` where the outcome isn't known.
    // The change is named by the document, so that the same document sent
    // again gets the first answer.
    asio::awaitable<messages::change_result>
    install(messages::route_document document);

    // The document in force, confirmed by a majority; nothing where none can
    // confirm it.
    asio::awaitable<std::optional<messages::route_document>> read();

    // The state behind the listeners; set by `routed_extension`.
    routed_state* state = nullptr;

private:
    const node::extension_context context_;
};

// Names and formats of one party, for the whole process.
class interface_adapter
{
public:
    interface_adapter() = default;
    interface_adapter(const interface_adapter&) = delete;
    interface_adapter& operator=(const interface_adapter&) = delete;
    virtual ~interface_adapter() = default;

    [[nodiscard]] virtual request_dialect dialect() const = 0;

    // Each answers `false` where the request is none that it knows.
    virtual asio::awaitable<bool> serve_upstream(
        routed_service& service, node::caller_exchange& exchange) = 0;
    virtual asio::awaitable<bool> serve_operator(
        routed_service& service, node::caller_exchange& exchange) = 0;
};

// The path of routed requests for one process.
[[nodiscard]] std::unique_ptr<node::extension>
make_routed_extension(std::unique_ptr<interface_adapter> adapter);

} // namespace nutmegusher::routed

#endif
