#include "nutmegusher/routed/entry_forwarding.hpp"

#include "nutmegusher/routed/entry_admission.hpp"
#include "nutmegusher/routed/entry_answer.hpp"
#include "nutmegusher/routed/upstream_run.hpp"

#include <algorithm>
#include <utility>

namespace nutmegusher::routed::internal
{

namespace
{

using node::call_reason;
using node::refusal;

// No upstream of the service is known; one may report at any moment.
constexpr duration retry_after_no_upstream = std::chrono::milliseconds(500);
// Daemons that may refuse one call before it is sent to an upstream, until the
// caller is refused too: one long queue is no reason to refuse, three are.
constexpr std::size_t max_refusals = 3;

// With half of all calls rejected, one in 250 is rejected this often.
constexpr std::uint32_t max_resent_tries = 8;

constexpr unsigned status_server_error = 500;
// Twenty times the error rate of the users' classes in normal operation, and
// low enough to be reached where an upstream fails a tenth of its calls.
constexpr double min_error_rate_to_retry = 0.08;

// One try at an upstream, as the router counts it. A try that is interrupted
// says nothing about the upstream.
class upstream_try
{
public:
    upstream_try(
        node::route_controller& routes,
        const service_name& service,
        upstream_handle upstream,
        bool bulk)
        : routes_(routes)
        , service_(service)
        , upstream_(upstream)
        , bulk_(bulk)
        , started_(host_clock().now())
    {
    }

    ~upstream_try()
    {
        end(node::try_end::neutral);
    }

    upstream_try(const upstream_try&) = delete;
    upstream_try& operator=(const upstream_try&) = delete;

    // Only the first call has an effect.
    void end(node::try_end how)
    {
        if (!std::exchange(ended_, true))
        {
            const auto elapsed = host_clock().now() - started_;
            routes_.end(service_, upstream_, bulk_, how, elapsed);
        }
    }

private:
    node::route_controller& routes_;
    const service_name& service_;
    upstream_handle upstream_;
    bool bulk_;
    time_point started_;
    bool ended_ = false;
};

refusal no_upstream_known()
{
    return {
        call_reason::no_upstream,
        call_outcome::not_run,
        retry_after_no_upstream};
}

refusal deadline_exceeded(const entry_request& request)
{
    return {
        call_reason::deadline,
        request.may_have_run ? call_outcome::unknown : call_outcome::not_run};
}

refusal quarantined(const entry_request& request)
{
    return {
        call_reason::quarantined,
        request.may_have_run ? call_outcome::unknown : call_outcome::not_run,
        retry_after_quarantine};
}

refusal final_refusal(const entry_request& request)
{
    auto details = *request.last_failure;
    if (request.may_have_run)
    {
        details.result = call_outcome::unknown;
    }
    return details;
}

bool is_quarantined(const entry_request& request)
{
    const auto judgement =
        request.state.process.crashes.assess(request.call.metadata.digest);
    return judgement.suspicion == crash_suspicion::quarantined;
}

// A request under which upstreams have crashed may crash another one.
bool may_crash_another(const entry_request& request)
{
    return request.state.process.crashes.assess(request.call.metadata.digest)
               .ends >= crashes_to_isolate;
}

// Applies what the upstream's answer says of itself.
void apply_notices(
    entry_request& request,
    const node::route& from,
    const wire::headers& fields)
{
    const auto limit = read_rate_limit(request.state.names, fields);
    const bool leaves =
        wire::find_header(fields, request.state.names.leaving).has_value();
    if (limit != from.rate_limit || leaves)
    {
        request.state.process.routes.on_answer_notice(
            request.service, from.handle, limit, leaves);
    }
}

asio::awaitable<routed_result>
send_to(entry_request& request, const node::route& to, peer_feedback& feedback)
{
    const bool is_local = to.host == request.state.process.configured.host.id;
    if (!is_local)
    {
        co_return co_await call_peer(
            request.worker, to.address, request.call, feedback);
    }
    auto result = co_await run_on_upstream(
        request.worker, request.state, request.call, feedback.progress);
    feedback.load_report =
        own_load_report(request.state, request.call.metadata);
    co_return result;
}

void apply_load_report(
    entry_request& request,
    upstream_handle from,
    const upstream_load_report& load_report)
{
    request.state.process.routes.on_load(
        request.service, from, load_report.load);
    request.state.repeats.on_load(load_report.load);
    request.state.path_levels.record(request.route->hash, load_report.shed);
    if (load_report.is_sub_call)
    {
        request.state.path_levels.record_sub_call(
            request.service, load_report.shed);
        request.state.slots.note_sub_call();
    }
    request.state.sub_calls.on_report(
        request.route->hash, load_report.is_sub_call);
}

node::try_end
to_try_end(const routed_result& result, const peer_feedback& feedback)
{
    if (result)
    {
        return node::try_end::answer;
    }
    if (feedback.silent)
    {
        return node::try_end::silence;
    }
    if (feedback.broken)
    {
        return node::try_end::failure;
    }
    switch (result.error().details.reason)
    {
    case call_reason::leaving:
        return node::try_end::leaving;
    case call_reason::other_upstream:
        return node::try_end::address_reused;
    case call_reason::no_upstream:
    case call_reason::connection_lost:
    case call_reason::answer_broken:
        return node::try_end::failure;
    case call_reason::deadline:
        return result.error().sent ? node::try_end::silence
                                   : node::try_end::neutral;
    default:
        return node::try_end::neutral;
    }
}

// An upstream refused the call, since calls of its class take too long there
// lately. Another upstream may be faster.
bool is_too_slow(const failed_call& failed)
{
    return failed.details.reason == call_reason::deadline && !failed.sent &&
           failed.details.result == call_outcome::not_run;
}

void record_failure(entry_request& request, const failed_call& failed)
{
    request.sent_tries += failed.sent ? 1 : 0;
    if (failed.crashed)
    {
        request.state.process.crashes.record_crash(
            request.call.metadata.digest,
            failed.crashed->upstream,
            failed.crashed->ran_for,
            request.service);
    }
    const bool ran = failed.details.result != call_outcome::not_run;
    request.may_have_run = request.may_have_run || ran;
    const bool was_overloaded = failed.details.reason == call_reason::overload;
    request.refusals += was_overloaded || is_too_slow(failed) ? 1 : 0;
    // A later refusal doesn't replace the failure of a try that may have
    // run.
    if (!request.last_failure || ran || !request.may_have_run)
    {
        request.last_failure = failed.details;
    }
}

bool is_rejected(const failed_call& failed)
{
    return failed.sent &&
           failed.details.reason == call_reason::upstream_refused &&
           failed.details.result == call_outcome::not_run;
}

bool has_untried_upstream(const entry_request& request)
{
    const auto upstreams = request.sent_tries - request.resent_tries;
    return upstreams < request.route->max_tries &&
           request.state.process.routes.has_alternative(
               request.service, request.facts(), request.tried);
}

bool may_repeat_rejected(entry_request& request)
{
    const bool is_allowed = request.state.repeats.on_rejection(
        request.service, request.call.metadata.sub_call);
    request.state.process.decisions.add(
        is_allowed ? node::decision_counter::repeats_allowed
                   : node::decision_counter::repeats_denied,
        request.service.str());
    return is_allowed;
}

// A call that an upstream has rejected goes to an untried upstream, or again to
// the same one, so that it reaches no more upstreams than its route allows.
bool may_resend(
    entry_request& request, upstream_handle from, const failed_call& failed)
{
    if (!is_rejected(failed) || !request.state.repeats.enabled() ||
        request.resent_tries >= max_resent_tries ||
        request.call.metadata.time_left() <= duration::zero() ||
        !may_repeat_rejected(request))
    {
        return false;
    }
    if (!has_untried_upstream(request))
    {
        ++request.resent_tries;
        request.resend_to = from;
    }
    return true;
}

bool may_retry(entry_request& request, const failed_call& failed)
{
    const bool ran = failed.details.result != call_outcome::not_run;
    if (ran &&
        (!request.call.metadata.repeatable || may_crash_another(request)))
    {
        return false;
    }
    const auto upstreams = request.sent_tries - request.resent_tries;
    if (upstreams >= request.route->max_tries ||
        request.refusals >= max_refusals ||
        (failed.details.reason == call_reason::deadline &&
         !is_too_slow(failed)))
    {
        return false;
    }
    return !failed.sent || request.state.retries.take(
                               request.service, request.call.metadata.sub_call);
}

// Whether to retry an error answer at another upstream: only if this
// upstream's error rate is far above that of normal calls. An error of an
// upstream that fails seldom is attributed to the call itself, which would
// fail elsewhere too.
bool should_retry_error(
    entry_request& request,
    const routed_answer& answer,
    const peer_feedback& feedback)
{
    const bool is_failing =
        feedback.load_report &&
        feedback.load_report->load.errors >= min_error_rate_to_retry;
    if (answer.head.status != status_server_error || !is_failing ||
        answer.rest || !request.call.metadata.repeatable ||
        request.sent_tries - request.resent_tries + 1 >=
            request.route->max_tries)
    {
        return false;
    }
    return request.state.process.routes.has_alternative(
               request.service, request.facts(), request.tried) &&
           request.state.retries.take(
               request.service, request.call.metadata.sub_call);
}

std::optional<node::route> next_upstream(entry_request& request)
{
    auto& routes = request.state.process.routes;
    const auto again = std::exchange(request.resend_to, std::nullopt);
    if (again)
    {
        return routes.start_again(
            request.service, *again, request.call.metadata.bulk);
    }
    return routes.start(
        request.service, request.facts(), request.tried, request.worker.random);
}

// Returns true if the request has its final answer.
asio::awaitable<bool> try_upstream(entry_request& request, node::route to)
{
    if (std::find(request.tried.begin(), request.tried.end(), to.handle) ==
        request.tried.end())
    {
        request.tried.push_back(to.handle);
    }
    request.last_host = to.host;
    upstream_try current(
        request.state.process.routes,
        request.service,
        to.handle,
        request.call.metadata.bulk);
    request.phase = node::request_phase::running;
    request.call.metadata.rate_limit = to.rate_limit;
    request.call.metadata.repeat =
        request.sent_tries > 0 || request.inherits_repeat;
    request.current_try.emplace();
    auto result = co_await send_to(request, to, *request.current_try);
    co_await wire::interruption_point();
    const auto feedback = *std::exchange(request.current_try, std::nullopt);
    const auto try_result = to_try_end(result, feedback);
    current.end(try_result);
    if (result)
    {
        apply_notices(request, to, result->head.fields);
    }
    if (feedback.load_report && try_result != node::try_end::address_reused)
    {
        apply_load_report(request, to.handle, *feedback.load_report);
    }
    if (result)
    {
        request.state.repeats.on_pass(
            request.service, request.call.metadata.sub_call);
    }
    if (result && !should_retry_error(request, *result, feedback))
    {
        co_await forward_answer(request, *std::move(result));
        co_return true;
    }
    if (result)
    {
        ++request.sent_tries;
        request.may_have_run = true;
        request.error_answer = *std::move(result);
        co_return false;
    }
    record_failure(request, result.error());
    if (may_resend(request, to.handle, result.error()) ||
        may_retry(request, result.error()))
    {
        co_return false;
    }
    co_await give_up(request, final_refusal(request));
    co_return true;
}

} // namespace

asio::awaitable<void> send_until_answered(entry_request& request)
{
    const bool is_sub_call = request.call.metadata.sub_call;
    request.state.retries.on_call(request.service, is_sub_call);
    request.state.repeats.on_call(request.service, is_sub_call);
    request.inherits_repeat =
        is_sub_call && uniform_unit(request.worker.random) <
                           request.state.repeats.inherited_share();
    while (true)
    {
        if (request.call.metadata.time_left() <= duration::zero())
        {
            co_await give_up(request, deadline_exceeded(request));
            co_return;
        }
        if (is_quarantined(request))
        {
            co_await give_up(request, quarantined(request));
            co_return;
        }
        if (!ends_before_stop(request))
        {
            co_await give_up(
                request,
                request.may_have_run && request.last_failure
                    ? final_refusal(request)
                    : outlasting_stop(request));
            co_return;
        }
        auto to = next_upstream(request);
        if (!to)
        {
            co_await give_up(
                request, request.last_failure.value_or(no_upstream_known()));
            co_return;
        }
        if (co_await try_upstream(request, *std::move(to)))
        {
            co_return;
        }
    }
}

} // namespace nutmegusher::routed::internal
