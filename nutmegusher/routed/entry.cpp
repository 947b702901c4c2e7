#include "nutmegusher/routed/entry.hpp"

#include "nutmegusher/routed/peer_exchange.hpp"
#include "nutmegusher/routed/upstream_run.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace nutmegusher::routed
{

namespace
{

using node::call_reason;
using node::refusal;

constexpr std::size_t chunk_bytes = 16384;
// Nothing can be routed without a document of routes; fetching one takes a
// round trip to a control host.
constexpr duration retry_after_no_routes = std::chrono::milliseconds(500);
// No upstream of the service is known; one may report at any moment.
constexpr duration retry_after_no_upstream = std::chrono::milliseconds(500);
// Longest wait for the first document of routes after the daemon's start. A
// control host sends it within tens of milliseconds once it has a leader, and a
// refused caller retries once at most. The wait is also limited to a fraction
// of the caller's timeout, so that a caller that is refused in the end can
// still be served elsewhere.
constexpr duration max_routes_wait = std::chrono::seconds(1);
constexpr int routes_wait_divisor = 4;
constexpr duration routes_poll_interval = std::chrono::milliseconds(10);
// How often a request that waits for the slow start window asks again.
constexpr duration slow_start_poll_interval = std::chrono::milliseconds(10);
// Largest body accepted before the configured limit is known.
constexpr std::uint64_t max_body_bytes_without_routes = 65536;
// Longest wait of a service's first call for its upstreams to become known; a
// sync with a control host takes a round trip.
constexpr duration max_upstreams_wait = std::chrono::milliseconds(500);
constexpr duration upstreams_poll_interval = std::chrono::milliseconds(2);
// For a request that was refused because of a service further down its call
// path. Long enough for the shed level to fall, and short enough for the retry
// to meet its target (the users' shortest target of a class that is refused
// first is 1.5 s).
constexpr duration retry_after_shedding = std::chrono::milliseconds(700);
// After this process has stopped, the caller's next connection reaches another
// one.
constexpr duration retry_after_stopping = std::chrono::milliseconds(100);
// Daemons that may refuse one call before it is sent to an upstream, until the
// caller is refused too: one long queue is no reason to refuse, three are.
constexpr std::size_t max_refusals = 3;

constexpr unsigned status_server_error = 500;
// Twenty times the error rate of the users' classes in normal operation, and
// low enough to be reached where an upstream fails a tenth of its calls.
constexpr double min_error_rate_to_retry = 0.08;

bool is_forwarded(std::string_view name, const request_dialect& names)
{
    return name != "host" && name != "connection" &&
           name != "transfer-encoding" && name != "keep-alive" &&
           name != "expect" && name != "upgrade" && name != "te" &&
           name != "trailer" && name != "content-length" &&
           name != "proxy-connection" && name != names.request_id &&
           name != names.time_left && name != names.expected_upstream &&
           name != names.caller_service && !name.starts_with("nutmeg-");
}

// Requests with the digest of one under which this many upstreams crashed run
// one at a time here, and aren't retried once they may have run.
constexpr std::size_t crashes_to_isolate = 2;

// Limits a request that is suspected of crashing upstreams to one at a time, or
// refuses it.
class suspect_guard
{
public:
    suspect_guard(node::crash_tracker& crashes, std::uint64_t digest)
        : crashes_(crashes)
        , digest_(digest)
    {
        const auto judgement = crashes.assess(digest);
        if (judgement.suspicion == crash_suspicion::quarantined)
        {
            retry_after_ = retry_after_quarantine;
        }
        else if (judgement.ends >= crashes_to_isolate)
        {
            is_registered_ = crashes.begin_suspect(digest);
            retry_after_ =
                is_registered_ ? duration::zero() : retry_after_suspected;
        }
    }

    ~suspect_guard()
    {
        if (is_registered_)
        {
            crashes_.end_suspect(digest_);
        }
    }

    suspect_guard(const suspect_guard&) = delete;
    suspect_guard& operator=(const suspect_guard&) = delete;

    [[nodiscard]] std::optional<refusal> refused() const
    {
        if (retry_after_ == duration::zero())
        {
            return std::nullopt;
        }
        return refusal{
            call_reason::quarantined, call_outcome::not_run, retry_after_};
    }

private:
    node::crash_tracker& crashes_;
    std::uint64_t digest_;
    bool is_registered_ = false;
    duration retry_after_{0};
};

// A request that waits for the slow start window.
class slow_start_waiter
{
public:
    slow_start_waiter(entry_slow_start& window, std::uint8_t rank)
        : window_(window)
        , rank_(rank)
    {
        window_.wait(rank_);
    }

    ~slow_start_waiter()
    {
        window_.leave(rank_);
    }

    slow_start_waiter(const slow_start_waiter&) = delete;
    slow_start_waiter& operator=(const slow_start_waiter&) = delete;

private:
    entry_slow_start& window_;
    std::uint8_t rank_;
};

// The place of a request in the slow start window, once it is admitted.
class slow_start_admission
{
public:
    slow_start_admission(routed_state& state, const request_route& route)
        : state_(state)
        , route_(route)
    {
    }

    ~slow_start_admission()
    {
        if (admitted_)
        {
            state_.slow_start.on_answer(state_.path_levels.level(route_.hash));
        }
    }

    slow_start_admission(const slow_start_admission&) = delete;
    slow_start_admission& operator=(const slow_start_admission&) = delete;

    // Requires: the request waits and isn't admitted yet.
    bool try_enter()
    {
        admitted_ = state_.slow_start.enter(route_.rank);
        return admitted_;
    }

private:
    routed_state& state_;
    const request_route& route_;
    bool admitted_ = false;
};

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

// One request, from reading its head to writing its answer.
class routed_entry
{
public:
    routed_entry(
        node::worker& worker,
        routed_state& state,
        node::caller_exchange& exchange)
        : worker_(worker)
        , state_(state)
        , exchange_(exchange)
        , arrived_(host_clock().now())
    {
    }

    asio::awaitable<void> run()
    {
        view_ = state_.process.configuration.current();
        if (!co_await read_request())
        {
            co_return; // the caller has gone or was refused
        }
        const auto ended = co_await exchange_.run(serve());
        if (ended == node::handling_end::given_up)
        {
            may_have_run_ =
                may_have_run_ ||
                (current_try_ && current_try_->progress.may_have_run());
            co_await give_up(stopping());
        }
        if (ended == node::handling_end::caller_left)
        {
            note_cancelled();
        }
    }

private:
    // Reads the request's body. Returns false if the request has ended.
    asio::awaitable<bool> read_request()
    {
        if (!has_routes())
        {
            co_return co_await read_body(max_body_bytes_without_routes);
        }
        if (const auto rejection = route_request())
        {
            co_await refuse(*rejection);
            co_return false;
        }
        co_return co_await read_body(view_->routes().limits().body_bytes());
    }

    // Ends the request with an answer. Interrupted if the caller leaves or the
    // process gives up.
    asio::awaitable<void> serve()
    {
        if (route_ == nullptr)
        {
            co_await wait_for_routes();
            if (const auto rejection = route_request())
            {
                co_await refuse(*rejection);
                co_return;
            }
        }
        service_ = route_->choose(worker_.random).service;
        call_.metadata.service = service_;
        call_.metadata.sub_call =
            state_.sub_calls.is_reported_sub_call(route_->hash);
        if (state_.process.refuses_callers &&
            state_.sub_calls.is_reported_external(route_->hash))
        {
            co_await give_up(stopping());
            co_return;
        }
        if (const auto rejection = check_shedding())
        {
            co_await give_up(*rejection);
            co_return;
        }
        call_.metadata.digest = digest_of_content();
        const suspect_guard guard(
            state_.process.crashes, call_.metadata.digest);
        if (const auto rejection = guard.refused())
        {
            co_await give_up(*rejection);
            co_return;
        }
        co_await wait_for_upstreams();
        slow_start_admission admission(state_, *route_);
        if (needs_slow_start() && !co_await wait_for_slow_start(admission))
        {
            co_await give_up(not_admitted());
            co_return;
        }
        co_await send_until_answered();
    }

    [[nodiscard]] bool has_routes() const
    {
        return view_->routes().version() != 0;
    }

    asio::awaitable<void> wait_for_routes()
    {
        const auto timeout =
            node::parse_milliseconds(field(state_.names.time_left));
        const duration max_wait =
            timeout.value_or(max_routes_wait) / routes_wait_divisor;
        const auto until = arrived_ + std::min(max_routes_wait, max_wait);
        asio::steady_timer timer(worker_.context);
        while (!has_routes() && host_clock().now() < until)
        {
            timer.expires_after(routes_poll_interval);
            co_await timer.async_wait(asio::use_awaitable);
            view_ = state_.process.configuration.current();
        }
    }

    [[nodiscard]] std::string_view field(std::string_view name) const
    {
        return wire::find_header(exchange_.head().fields, name).value_or("");
    }

    std::optional<refusal> route_request()
    {
        if (!has_routes())
        {
            return no_routes();
        }
        const auto& head = exchange_.head();
        route_ = view_->routes().find(field("host"), head.path);
        if (route_ == nullptr)
        {
            return refusal{call_reason::no_such_route};
        }
        return read_metadata();
    }

    std::optional<refusal> read_metadata()
    {
        const auto& names = state_.names;
        auto& metadata = call_.metadata;
        metadata.id = field(names.request_id);
        if (!node::is_token(metadata.id))
        {
            return refusal{call_reason::bad_header};
        }
        const auto timeout = field(names.time_left);
        const auto remaining = node::parse_milliseconds(timeout);
        if (!timeout.empty() && !remaining)
        {
            return refusal{call_reason::bad_header};
        }
        metadata.host = field("host");
        const auto& configured = state_.process.configured;
        metadata.caller_service = configured.upstream.service;
        metadata.caller_data_center = configured.host.data_center;
        metadata.rank = route_->rank;
        metadata.repeatable = route_->repeatable;
        metadata.bulk = route_->bulk;
        metadata.target = route_->target;
        metadata.work_class = route_->hash;
        metadata.deadline =
            arrived_ +
            std::min(remaining.value_or(route_->deadline), route_->deadline);
        copy_forwarded_fields();
        return std::nullopt;
    }

    void copy_forwarded_fields()
    {
        const auto& head = exchange_.head();
        call_.head.method = head.method;
        call_.head.path = head.path;
        for (const auto& item : head.fields)
        {
            if (is_forwarded(item.name, state_.names))
            {
                call_.head.fields.push_back(item);
            }
        }
    }

    asio::awaitable<bool> read_body(std::uint64_t limit)
    {
        std::array<std::byte, chunk_bytes> chunk;
        while (true)
        {
            const auto got = co_await exchange_.read_some(chunk);
            if (!got)
            {
                if (got.error() == node::caller_failure::malformed)
                {
                    const refusal refused{call_reason::bad_request};
                    co_await refuse(refused);
                }
                if (got.error() == node::caller_failure::given_up)
                {
                    co_await refuse(stopping());
                }
                co_return false;
            }
            if (*got == 0)
            {
                co_return true;
            }
            if (limit > 0 && call_.body.size() + *got > limit)
            {
                co_await refuse(has_routes() ? too_large() : no_routes());
                co_return false;
            }
            call_.body.append(
                reinterpret_cast<const char*>(chunk.data()), *got);
        }
    }

    [[nodiscard]] std::uint64_t digest_of_content() const
    {
        request_digest digest(call_.head.method, call_.head.path);
        digest.update(call_.metadata.host);
        digest.update("\n");
        digest.update(service_.str());
        digest.update("\n");
        digest.update(call_.body);
        return digest.value();
    }

    // The caller has left, and all work on its request has ended.
    void note_cancelled()
    {
        using milliseconds = std::chrono::duration<double, std::milli>;
        const auto now = host_clock().now();
        const auto since = exchange_.left_at();
        state_.process.request_metrics.cancelled(
            node::call_side::entry, metrics_class(), phase_, now - since);
        log_event(
            event::request_cancelled,
            {{"request", call_.metadata.id},
             {"route", metrics_class().str()},
             {"phase", node::to_string(phase_)},
             {"age_ms", milliseconds(now - arrived_).count()},
             {"ended_ms", milliseconds(now - since).count()}});
    }

    // Refuses a request if a service further down its call path is overloaded,
    // before any work is done for it.
    std::optional<refusal> check_shedding()
    {
        if (call_.metadata.sub_call)
        {
            return std::nullopt;
        }
        const auto level = state_.path_levels.level(route_->hash);
        const auto lower_ranks = view_->routes().ranks_below(route_->rank);
        const double shed_share = level - static_cast<double>(lower_ranks);
        const double fraction = request_fraction(facts());
        if (!state_.shed.decide(
                route_->rank, route_->hash, shed_share, fraction))
        {
            return std::nullopt;
        }
        return refusal{
            call_reason::overload,
            call_outcome::not_run,
            jittered(retry_after_shedding, worker_.random)};
    }

    // Sub-calls belong to requests that were admitted already; bulk transfers
    // load other services than those that slow start protects.
    [[nodiscard]] bool needs_slow_start() const
    {
        return !call_.metadata.sub_call && !call_.metadata.bulk;
    }

    // Returns false if the request isn't admitted. Waits for at most half of
    // the request's target or of its remaining time, whichever is shorter: the
    // rest is for its work, or for a retry by the caller.
    asio::awaitable<bool> wait_for_slow_start(slow_start_admission& admission)
    {
        const slow_start_waiter waiter(state_.slow_start, call_.metadata.rank);
        bool admitted = admission.try_enter();
        const auto now = host_clock().now();
        const auto remaining = call_.metadata.deadline - now;
        const auto target = call_.metadata.target > duration::zero()
                                ? call_.metadata.target
                                : remaining;
        const auto until = now + std::min(target, remaining) / 2;
        asio::steady_timer timer(worker_.context);
        while (!admitted && host_clock().now() < until)
        {
            timer.expires_after(slow_start_poll_interval);
            co_await timer.async_wait(asio::use_awaitable);
            admitted = admission.try_enter();
        }
        co_return admitted;
    }

    [[nodiscard]] refusal not_admitted()
    {
        return {
            call_reason::overload,
            call_outcome::not_run,
            jittered(retry_after_shedding, worker_.random)};
    }

    asio::awaitable<void> wait_for_upstreams()
    {
        auto& routes = state_.process.routes;
        if (routes.is_known(service_))
        {
            co_return;
        }
        if (routes.request_routes(service_))
        {
            state_.process.request_sync();
        }
        const auto until =
            std::min(arrived_ + max_upstreams_wait, call_.metadata.deadline);
        asio::steady_timer timer(worker_.context);
        while (!routes.is_known(service_) && host_clock().now() < until)
        {
            timer.expires_after(upstreams_poll_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<void> send_until_answered()
    {
        state_.retries.on_call(service_, call_.metadata.sub_call);
        while (true)
        {
            if (call_.metadata.time_left() <= duration::zero())
            {
                co_await give_up(deadline_exceeded());
                co_return;
            }
            if (is_quarantined())
            {
                co_await give_up(quarantined());
                co_return;
            }
            auto to = state_.process.routes.start(
                service_, facts(), tried_, worker_.random);
            if (!to)
            {
                co_await give_up(last_failure_.value_or(no_upstream_known()));
                co_return;
            }
            if (co_await try_upstream(*std::move(to)))
            {
                co_return;
            }
        }
    }

    // Returns true if the request has its final answer.
    asio::awaitable<bool> try_upstream(node::route to)
    {
        tried_.push_back(to.handle);
        upstream_try current(
            state_.process.routes, service_, to.handle, call_.metadata.bulk);
        phase_ = node::request_phase::running;
        call_.metadata.rate_limit = to.rate_limit;
        current_try_.emplace();
        auto result = co_await send_to(to, *current_try_);
        co_await wire::interruption_point();
        const auto feedback = *std::exchange(current_try_, std::nullopt);
        const auto try_result = to_try_end(result, feedback);
        current.end(try_result);
        if (result)
        {
            apply_notices(to, result->head.fields);
        }
        if (feedback.load_report && try_result != node::try_end::address_reused)
        {
            apply_load_report(to.handle, *feedback.load_report);
        }
        if (result && !should_retry_error(*result, feedback))
        {
            co_await forward_answer(*std::move(result));
            co_return true;
        }
        if (result)
        {
            ++sent_tries_;
            may_have_run_ = true;
            error_answer_ = *std::move(result);
            co_return false;
        }
        record_failure(result.error());
        if (may_retry(result.error()))
        {
            co_return false;
        }
        co_await give_up(final_refusal());
        co_return true;
    }

    // Applies what the upstream's answer says of itself.
    void apply_notices(const node::route& from, const wire::headers& fields)
    {
        const auto limit = read_rate_limit(state_.names, fields);
        const bool leaves =
            wire::find_header(fields, state_.names.leaving).has_value();
        if (limit != from.rate_limit || leaves)
        {
            state_.process.routes.on_answer_notice(
                service_, from.handle, limit, leaves);
        }
    }

    asio::awaitable<routed_result>
    send_to(const node::route& to, peer_feedback& feedback)
    {
        const bool is_local = to.host == state_.process.configured.host.id;
        if (!is_local)
        {
            co_return co_await call_peer(worker_, to.address, call_, feedback);
        }
        auto result =
            co_await run_on_upstream(worker_, state_, call_, feedback.progress);
        feedback.load_report = own_load_report(state_, call_.metadata);
        co_return result;
    }

    void apply_load_report(
        upstream_handle from, const upstream_load_report& load_report)
    {
        state_.process.routes.on_load(service_, from, load_report.load);
        state_.path_levels.record(route_->hash, load_report.shed);
        if (load_report.is_sub_call)
        {
            state_.path_levels.record_sub_call(service_, load_report.shed);
            state_.slots.note_sub_call();
        }
        state_.sub_calls.on_report(route_->hash, load_report.is_sub_call);
    }

    static node::try_end
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

    void record_failure(const failed_call& failed)
    {
        sent_tries_ += failed.sent ? 1 : 0;
        if (failed.crashed)
        {
            state_.process.crashes.record_crash(
                call_.metadata.digest,
                failed.crashed->upstream,
                failed.crashed->ran_for,
                service_);
        }
        const bool ran = failed.details.result != call_outcome::not_run;
        may_have_run_ = may_have_run_ || ran;
        const bool was_overloaded =
            failed.details.reason == call_reason::overload;
        refusals_ += was_overloaded ? 1 : 0;
        // A later refusal doesn't replace the failure of a try that may have
        // run.
        if (!last_failure_ || ran || !may_have_run_)
        {
            last_failure_ = failed.details;
        }
    }

    [[nodiscard]] bool is_quarantined() const
    {
        const auto judgement =
            state_.process.crashes.assess(call_.metadata.digest);
        return judgement.suspicion == crash_suspicion::quarantined;
    }

    [[nodiscard]] refusal quarantined() const
    {
        return {
            call_reason::quarantined,
            may_have_run_ ? call_outcome::unknown : call_outcome::not_run,
            retry_after_quarantine};
    }

    // A request under which upstreams have crashed may crash another one.
    [[nodiscard]] bool may_crash_another() const
    {
        return state_.process.crashes.assess(call_.metadata.digest).ends >=
               crashes_to_isolate;
    }

    [[nodiscard]] bool may_retry(const failed_call& failed)
    {
        const bool ran = failed.details.result != call_outcome::not_run;
        if (ran && (!call_.metadata.repeatable || may_crash_another()))
        {
            return false;
        }
        if (sent_tries_ >= route_->max_tries || refusals_ >= max_refusals ||
            failed.details.reason == call_reason::deadline)
        {
            return false;
        }
        return !failed.sent ||
               state_.retries.take(service_, call_.metadata.sub_call);
    }

    [[nodiscard]] refusal deadline_exceeded() const
    {
        return {
            call_reason::deadline,
            may_have_run_ ? call_outcome::unknown : call_outcome::not_run};
    }

    // This process is stopping; daemons on other hosts can serve the caller.
    [[nodiscard]] refusal stopping() const
    {
        return {
            call_reason::leaving,
            may_have_run_ ? call_outcome::unknown : call_outcome::not_run,
            retry_after_stopping};
    }

    [[nodiscard]] static refusal no_routes()
    {
        return {
            call_reason::starting,
            call_outcome::not_run,
            retry_after_no_routes};
    }

    [[nodiscard]] static refusal too_large()
    {
        return {call_reason::too_large};
    }

    [[nodiscard]] static refusal no_upstream_known()
    {
        return {
            call_reason::no_upstream,
            call_outcome::not_run,
            retry_after_no_upstream};
    }

    [[nodiscard]] refusal final_refusal() const
    {
        auto details = *last_failure_;
        if (may_have_run_)
        {
            details.result = call_outcome::unknown;
        }
        return details;
    }

    [[nodiscard]] call_info facts() const
    {
        call_info facts;
        facts.rank = call_.metadata.rank;
        facts.work_class = call_.metadata.work_class;
        facts.request = stable_hash(call_.metadata.id);
        facts.deadline = call_.metadata.deadline;
        facts.target = call_.metadata.target;
        facts.bulk = call_.metadata.bulk;
        facts.sub_call = call_.metadata.sub_call;
        facts.repeatable = call_.metadata.repeatable;
        return facts;
    }

    asio::awaitable<void> give_up(refusal details)
    {
        if (error_answer_)
        {
            co_await forward_answer(*std::move(error_answer_));
            co_return;
        }
        log_event(
            event::request_refused,
            {{"request", call_.metadata.id},
             {"route", metrics_class().str()},
             {"service", service_.str()},
             {"reason", node::to_string(details.reason)},
             {"outcome", node::to_string(details.result)},
             {"tries", static_cast<std::uint64_t>(tried_.size())},
             {"version", view_->routes().version()}});
        co_await refuse(details);
    }

    // Whether to retry an error answer at another upstream: only if this
    // upstream's error rate is far above that of normal calls. An error of an
    // upstream that fails seldom is attributed to the call itself, which would
    // fail elsewhere too.
    [[nodiscard]] bool should_retry_error(
        const routed_answer& answer, const peer_feedback& feedback)
    {
        const bool is_failing =
            feedback.load_report &&
            feedback.load_report->load.errors >= min_error_rate_to_retry;
        if (answer.head.status != status_server_error || !is_failing ||
            answer.rest || !call_.metadata.repeatable ||
            sent_tries_ + 1 >= route_->max_tries)
        {
            return false;
        }
        return state_.process.routes.has_alternative(
                   service_, facts(), tried_) &&
               state_.retries.take(service_, call_.metadata.sub_call);
    }

    void note_end(bool failed)
    {
        if (failed && call_.metadata.sub_call)
        {
            state_.errors.on_failed_call();
        }
    }

    // The class in metrics and logs; "(none)" if no route was found, as for
    // calls without a class.
    [[nodiscard]] class_name metrics_class() const
    {
        return class_name(route_ == nullptr ? "(none)" : route_->name);
    }

    asio::awaitable<void> refuse(refusal details)
    {
        note_end(true);
        state_.process.request_metrics.refused(
            node::call_side::entry,
            metrics_class(),
            details.reason,
            details.result,
            sent_tries_);
        auto head = state_.names.refuse(details);
        if (!call_.metadata.id.empty())
        {
            head.fields.push_back({state_.names.request_id, call_.metadata.id});
        }
        co_await exchange_.answer(std::move(head), "");
    }

    asio::awaitable<void> forward_answer(routed_answer answer)
    {
        note_end(answer.head.status >= status_server_error);
        if (!call_.metadata.sub_call)
        {
            const auto elapsed = host_clock().now() - arrived_;
            state_.shed.on_answer(route_->rank, route_->hash, elapsed);
        }
        state_.process.request_metrics.completed(
            node::call_side::entry,
            metrics_class(),
            host_clock().now() - arrived_,
            sent_tries_ + 1);
        if (!answer.rest)
        {
            co_await exchange_.answer(std::move(answer.head), answer.body);
            co_return;
        }
        phase_ = node::request_phase::answering;
        bool open = co_await exchange_.begin_answer(
            std::move(answer.head), answer.length);
        const auto first_bytes = std::as_bytes(std::span(answer.body));
        open = open && co_await exchange_.write_some(first_bytes);
        std::array<std::byte, chunk_bytes> chunk;
        while (open)
        {
            const auto got = co_await answer.rest->read_some(chunk);
            if (!got)
            {
                co_await wire::interruption_point();
                log_event(
                    event::answer_broken,
                    {{"request", call_.metadata.id}, {"route", route_->name}});
                co_return;
            }
            if (*got == 0)
            {
                co_await exchange_.end_answer();
                co_return;
            }
            open = co_await exchange_.write_some(std::span(chunk).first(*got));
        }
    }

    node::worker& worker_;
    routed_state& state_;
    node::caller_exchange& exchange_;
    const time_point arrived_;
    // Keeps `route_` alive.
    std::shared_ptr<const node::configuration_view> view_;
    const request_route* route_ = nullptr;
    service_name service_;
    routed_call call_;
    std::vector<upstream_handle> tried_;
    node::request_phase phase_ = node::request_phase::admission;
    std::uint32_t sent_tries_ = 0;
    std::size_t refusals_ = 0;
    bool may_have_run_ = false;
    // The try that is in flight.
    std::optional<peer_feedback> current_try_;
    std::optional<refusal> last_failure_;
    // An error answer of an upstream after which the call was retried
    // elsewhere; forwarded if no retry gives a better one.
    std::optional<routed_answer> error_answer_;
};

} // namespace

asio::awaitable<void> serve_routed_request(
    node::worker& worker, routed_state& state, node::caller_exchange& exchange)
{
    routed_entry entry(worker, state, exchange);
    co_await entry.run();
}

} // namespace nutmegusher::routed
