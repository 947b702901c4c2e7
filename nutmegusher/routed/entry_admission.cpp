#include "nutmegusher/routed/entry_admission.hpp"

#include "nutmegusher/routed/entry_answer.hpp"
#include "nutmegusher/routed/entry_returns.hpp"
#include "nutmegusher/routed/entry_shares.hpp"
#include "nutmegusher/routed/entry_team.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace nutmegusher::routed::internal
{

namespace
{

using node::call_reason;
using node::refusal;

// How often a request that waits for the slow start window asks again.
constexpr duration slow_start_poll_interval = std::chrono::milliseconds(10);
// Longest wait of a service's first call for its upstreams to become known; a
// sync with a control host takes a round trip.
constexpr duration max_upstreams_wait = std::chrono::milliseconds(500);
constexpr duration upstreams_poll_interval = std::chrono::milliseconds(2);
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
    explicit slow_start_admission(const entry_request& request)
        : request_(request)
    {
    }

    ~slow_start_admission()
    {
        if (admitted_)
        {
            auto& state = request_.state;
            state.slow_start.on_answer(
                state.path_levels.level(request_.route->hash));
        }
    }

    slow_start_admission(const slow_start_admission&) = delete;
    slow_start_admission& operator=(const slow_start_admission&) = delete;

    // Requires: the request waits and isn't admitted yet.
    bool try_enter()
    {
        admitted_ =
            request_.state.slow_start.enter(request_.call.metadata.rank);
        return admitted_;
    }

private:
    const entry_request& request_;
    bool admitted_ = false;
};

refusal not_admitted(entry_request& request)
{
    return {
        call_reason::overload,
        call_outcome::not_run,
        jittered(return_schedule::usual_pause, request.worker.random)};
}

// Sub-calls belong to requests that were admitted already; bulk transfers
// load other services than those that slow start protects.
bool needs_slow_start(const entry_request& request)
{
    return !request.call.metadata.sub_call && !request.call.metadata.bulk;
}

// Returns false if the request isn't admitted. Waits for at most half of
// the request's target or of its remaining time, whichever is shorter: the
// rest is for its work, or for a retry by the caller.
asio::awaitable<bool>
wait_for_slow_start(entry_request& request, slow_start_admission& admission)
{
    const slow_start_waiter waiter(
        request.state.slow_start, request.call.metadata.rank);
    bool admitted = admission.try_enter();
    const auto now = host_clock().now();
    const auto remaining = request.call.metadata.deadline - now;
    const auto target = request.call.metadata.target > duration::zero()
                            ? request.call.metadata.target
                            : remaining;
    const auto until = now + std::min(target, remaining) / 2;
    asio::steady_timer timer(request.worker.context);
    while (!admitted && host_clock().now() < until)
    {
        timer.expires_after(slow_start_poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
        admitted = admission.try_enter();
    }
    co_return admitted;
}

asio::awaitable<void> wait_for_upstreams(entry_request& request)
{
    auto& routes = request.state.process.routes;
    if (routes.is_known(request.service))
    {
        co_return;
    }
    if (routes.request_routes(request.service))
    {
        request.state.process.request_sync();
    }
    const auto until = std::min(
        request.arrived + max_upstreams_wait, request.call.metadata.deadline);
    asio::steady_timer timer(request.worker.context);
    while (!routes.is_known(request.service) && host_clock().now() < until)
    {
        timer.expires_after(upstreams_poll_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace

struct entry_admission::state
{
    explicit state(entry_request& request)
        : request(request)
        , token(request)
        , slow_start(request)
    {
    }

    entry_request& request;
    quota_token token;
    std::optional<suspect_guard> suspect;
    slow_start_admission slow_start;
};

entry_admission::entry_admission(entry_request& request)
    : state_(std::make_unique<state>(request))
{
}

entry_admission::~entry_admission() = default;

asio::awaitable<std::optional<refusal>> entry_admission::admit()
{
    auto& request = state_->request;
    const auto& process = request.state.process;
    if (process.refuses_callers &&
        request.state.sub_calls.is_reported_external(request.route->hash))
    {
        co_return stopping(request);
    }
    if (!ends_before_stop(request))
    {
        co_return outlasting_stop(request);
    }
    // Before anything that a team's excess could take from others.
    if (const auto rejection = co_await state_->token.take())
    {
        co_return rejection;
    }
    if (const auto rejection = check_shares(request))
    {
        co_return rejection;
    }
    const auto digest = digest_of_content(request);
    request.call.metadata.digest = digest;
    state_->suspect.emplace(request.state.process.crashes, digest);
    if (const auto rejection = state_->suspect->refused())
    {
        co_return rejection;
    }
    co_await wait_for_upstreams(request);
    if (needs_slow_start(request) &&
        !co_await wait_for_slow_start(request, state_->slow_start))
    {
        co_return not_admitted(request);
    }
    co_return std::nullopt;
}

} // namespace nutmegusher::routed::internal
