#include "nutmegusher/routed/extension.hpp"

#include "nutmegusher/routed/entry.hpp"
#include "nutmegusher/routed/peer_exchange.hpp"

#include <boost/json/object.hpp>

#include <utility>

namespace nutmegusher::routed
{

namespace
{

// Derives the change id from the document's version and content, so that
// sending the same document again is the same change.
std::string change_id_of(const messages::route_document& document)
{
    const auto bytes = document.SerializeAsString();
    return "routes-" + std::to_string(document.version()) + "-" +
           std::to_string(stable_hash(bytes)) + "-" +
           std::to_string(stable_hash(bytes, document.version()));
}

class routed_extension final : public node::extension
{
public:
    explicit routed_extension(std::unique_ptr<interface_adapter> adapter)
        : adapter_(std::move(adapter))
    {
    }

    void attach(const node::extension_context& context) override
    {
        service_ = std::make_unique<routed_service>(context);
        state_ = std::make_unique<routed_state>(
            context.shared,
            adapter_->dialect(),
            [this, announce = context.announce]
            {
                announce_local(announce);
            });
        service_->state = state_.get();
        if (!context.shared.configured.control_hosts.empty())
        {
            state_->local.await_withdrawals();
        }
    }

    void restore_withdrawals(
        std::span<const messages::upstream_withdrawal> withdrawals) override
    {
        std::vector<local_upstream::withdrawn_upstream> withdrawn;
        for (const auto& each : withdrawals)
        {
            withdrawn.push_back({each.upstream(), each.started()});
        }
        state_->local.restore_withdrawals(withdrawn);
        state_->upstream_changed();
    }

    asio::awaitable<bool>
    serve_caller(node::worker& worker, node::caller_exchange& exchange) override
    {
        co_await serve_routed_request(worker, *state_, exchange);
        co_return true;
    }

    asio::awaitable<bool>
    serve_upstream(node::worker&, node::caller_exchange& exchange) override
    {
        return adapter_->serve_upstream(*service_, exchange);
    }

    asio::awaitable<bool>
    serve_operator(node::worker&, node::caller_exchange& exchange) override
    {
        return adapter_->serve_operator(*service_, exchange);
    }

    asio::awaitable<bool> serve_peer(
        node::worker& worker,
        std::shared_ptr<wire::server_stream> stream) override
    {
        if (!is_routed_call(stream->head()))
        {
            co_return false;
        }
        co_await serve_routed_call(worker, *state_, std::move(stream));
        co_return true;
    }

    void leave() override
    {
        state_->slots.set_leaving(true);
    }

    [[nodiscard]] std::size_t calls_in_flight() const override
    {
        return state_->slots.state().running;
    }

    [[nodiscard]] boost::json::value dump() const override
    {
        return boost::json::object{
            {"pace", state_->reported.pace()},
            {"load_fields_malformed", state_->reported.malformed()},
            {"knows_withdrawals", state_->local.knows_withdrawals()},
            {"repeats", state_->repeats.dump()}};
    }

private:
    // Announces to callers whether the upstream takes calls, and updates the
    // number of slots.
    void
    announce_local(const std::function<void(const node::announcement&)>& send)
    {
        const auto current = state_->local.current();
        if (!current)
        {
            return;
        }
        const bool takes = state_->local.takes_calls();
        state_->slots.set_slots(current->slots);
        node::announcement message;
        message.service = current->service;
        message.address = current->address;
        message.start = stable_hash(current->id, current->order.started);
        message.state = takes              ? messages::upstream_serving
                        : current->leaving ? messages::upstream_leaving
                                           : messages::upstream_starting;
        send(message);
    }

    std::unique_ptr<interface_adapter> adapter_;
    std::unique_ptr<routed_service> service_;
    std::unique_ptr<routed_state> state_;
};

} // namespace

routed_service::routed_service(const node::extension_context& context)
    : context_(context)
{
}

asio::awaitable<bool> routed_service::report(upstream_report message)
{
    if (state->local.report(message) == report_effect::started)
    {
        state->slots.restart();
        state->errors.reset();
        state->reported.reset();
        state->repeats.reset_upstream();
    }
    // Also without a change: an announcement expires unless it is repeated.
    state->upstream_changed();
    if (message.leaving)
    {
        co_return co_await store_withdrawal(message.id, message.order.started);
    }
    co_return true;
}

void routed_service::reject_report(
    std::string_view reason, std::string_view field)
{
    context_.shared.decisions.add(
        node::decision_counter::upstream_reports_rejected, reason);
    log_event(event::report_rejected, {{"reason", reason}, {"field", field}});
}

bool routed_service::serves(const service_name& service) const
{
    const auto& configured = context_.shared.configured.upstream.service;
    return configured.str().empty() || configured == service;
}

asio::awaitable<bool>
routed_service::withdraw(std::string id, std::uint64_t started)
{
    if (state->local.withdraw(id, started))
    {
        state->upstream_changed();
    }
    co_return co_await store_withdrawal(id, started);
}

asio::awaitable<bool>
routed_service::store_withdrawal(const std::string& id, std::uint64_t started)
{
    const auto withdrawn = state->local.withdrawn_start(id, started);
    if (!withdrawn)
    {
        // Of an earlier start, which gets no calls anyway.
        co_return true;
    }
    messages::upstream_withdrawal withdrawal;
    withdrawal.set_host(context_.shared.configured.host.id.str());
    withdrawal.set_upstream(id);
    withdrawal.set_started(*withdrawn);
    const bool stored =
        co_await context_.store_withdrawal(std::move(withdrawal));
    if (!stored)
    {
        log_event(event::withdrawal_not_stored, {{"upstream", id}});
    }
    co_return stored;
}

bool routed_service::is_ready() const
{
    const auto& shared = context_.shared;
    return !shared.stopping &&
           shared.configuration.current()->routes().version() > 0;
}

bool routed_service::is_control_host() const
{
    return static_cast<bool>(context_.control.propose);
}

asio::awaitable<messages::change_result>
routed_service::install(messages::route_document document)
{
    messages::change change;
    change.set_change_id(change_id_of(document));
    *change.mutable_install_routes() = std::move(document);
    return context_.control.propose(std::move(change));
}

asio::awaitable<std::optional<messages::route_document>> routed_service::read()
{
    const auto confirmed = co_await context_.control.read();
    if (!confirmed)
    {
        co_return std::nullopt;
    }
    co_return confirmed->routes();
}

std::unique_ptr<node::extension>
make_routed_extension(std::unique_ptr<interface_adapter> adapter)
{
    return std::make_unique<routed_extension>(std::move(adapter));
}

} // namespace nutmegusher::routed
