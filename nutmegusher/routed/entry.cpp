#include "nutmegusher/routed/entry.hpp"

#include "nutmegusher/routed/peer_exchange.hpp"
#include "nutmegusher/routed/upstream_side.hpp"

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

constexpr std::size_t piece_bytes = 16384;
// Without a document nothing can be routed; one comes within a round trip to a
// control host.
constexpr duration come_back_with_routes = std::chrono::milliseconds(500);
// A service that no upstream is known of: one may report at any moment.
constexpr duration come_back_without_upstream = std::chrono::milliseconds(500);
// A daemon that has just started holds requests for the document of routes: a
// control host gives it in tens of milliseconds once it has a leader, and a
// caller that is sent away comes back once at most. Of the time that the caller
// gives, so that one who is refused in the end can still be served elsewhere.
constexpr duration routes_limit = std::chrono::seconds(1);
constexpr int routes_share_of_time = 4;
constexpr duration routes_step = std::chrono::milliseconds(10);
// A request that waits for the window after a start looks again so often.
constexpr duration opening_step = std::chrono::milliseconds(10);
// What a caller may send before its limit is known.
constexpr std::uint64_t body_bytes_without_routes = 65536;
// A first call waits this long for the upstreams of its service to become
// known; a sync with a control host takes a round trip.
constexpr duration first_upstreams_limit = std::chrono::milliseconds(500);
constexpr duration first_upstreams_step = std::chrono::milliseconds(2);
// A request that was turned away for the whole way: it comes back when the
// level has had the time to fall, and early enough to be on time still (the
// users' shortest aim of a class that is turned away first is 1.5 s).
constexpr duration come_back_after_shedding = std::chrono::milliseconds(700);
// After the end of this process a caller's next connection reaches another one.
constexpr duration come_back_elsewhere = std::chrono::milliseconds(100);
// Daemons that may turn one call away, unsent, before its caller hears of it:
// a queue behind one of them is no reason to refuse, behind three it is.
constexpr std::size_t most_refusals = 3;

constexpr unsigned status_server_error = 500;
// Twenty times what the users' classes fail by themselves, and low enough to
// hold where an upstream fails a tenth of its calls.
constexpr double least_errors_to_ask_elsewhere = 0.08;

bool is_passed_on(std::string_view name, const request_dialect& names)
{
    return name != "host" && name != "connection" &&
           name != "transfer-encoding" && name != "keep-alive" &&
           name != "expect" && name != "upgrade" && name != "te" &&
           name != "trailer" && name != "content-length" &&
           name != "proxy-connection" && name != names.request_id &&
           name != names.time_left && name != names.expected_upstream &&
           name != names.caller_service && !name.starts_with("nutmeg-");
}

// Of requests that are known from so many ends of upstreams or more, one at a
// time is in work here, and none is sent a second time.
constexpr std::size_t ends_to_isolate = 2;

// Keeps a request apart that is suspected to end upstreams.
class suspect_mark
{
public:
    suspect_mark(node::crash_watch& crashes, std::uint64_t digest)
        : crashes_(crashes)
        , digest_(digest)
    {
        const auto judged = crashes.assess(digest);
        if (judged.suspicion == crash_suspicion::quarantined)
        {
            come_back_ = come_back_from_quarantine;
        }
        else if (judged.ends >= ends_to_isolate)
        {
            is_marked_ = crashes.begin_suspect(digest);
            come_back_ = is_marked_ ? duration::zero() : come_back_as_suspect;
        }
    }

    ~suspect_mark()
    {
        if (is_marked_)
        {
            crashes_.end_suspect(digest_);
        }
    }

    suspect_mark(const suspect_mark&) = delete;
    suspect_mark& operator=(const suspect_mark&) = delete;

    [[nodiscard]] std::optional<refusal> refused() const
    {
        if (come_back_ == duration::zero())
        {
            return std::nullopt;
        }
        return refusal{
            call_reason::quarantined, call_outcome::not_run, come_back_};
    }

private:
    node::crash_watch& crashes_;
    std::uint64_t digest_;
    bool is_marked_ = false;
    duration come_back_{0};
};

// One request, from its head to its answer.
class routed_entry
{
public:
    routed_entry(
        node::worker& here,
        routed_state& state,
        node::caller_exchange& exchange)
        : here_(here)
        , state_(state)
        , exchange_(exchange)
        , arrived_(host_clock().now())
        , cancelled_(std::make_shared<node::cancellation>())
    {
    }

    asio::awaitable<void> run()
    {
        view_ = state_.process.configuration.current();
        if (!has_routes() && !co_await wait_for_routes())
        {
            co_return;
        }
        if (const auto wrong = route_request())
        {
            co_await refuse(*wrong);
            co_return;
        }
        if (!co_await read_body(view_->routes().limits().body_bytes()))
        {
            co_return; // the caller has gone, or was told what is wrong
        }
        service_ = route_->choose(here_.random).service;
        call_.terms.service = service_;
        call_.terms.sub_call = state_.sub_calls.is_known(route_->hash);
        if (state_.process.refuses_callers &&
            state_.sub_calls.is_ruled_out(route_->hash))
        {
            co_await give_up(stopping());
            co_return;
        }
        if (const auto no = turn_away())
        {
            co_await give_up(*no);
            co_return;
        }
        call_.terms.digest = digest_of_content();
        const suspect_mark mark(state_.process.crashes, call_.terms.digest);
        if (const auto no = mark.refused())
        {
            co_await give_up(*no);
            co_return;
        }
        watch_caller();
        co_await wait_for_upstreams();
        if (!is_opened() || co_await wait_for_opening())
        {
            co_await send_until_answered();
        }
        if (entered_)
        {
            state_.opening_window.on_answer(state_.ahead.level(route_->hash));
        }
    }

private:
    [[nodiscard]] bool has_routes() const
    {
        return view_->routes().version() != 0;
    }

    // False: the request has ended. The body is read first, so that a caller
    // who leaves meanwhile is noticed.
    asio::awaitable<bool> wait_for_routes()
    {
        if (!co_await read_body(body_bytes_without_routes))
        {
            co_return false;
        }
        watch_caller();
        const auto given =
            node::parse_milliseconds(field(state_.names.time_left));
        const duration share =
            given.value_or(routes_limit) / routes_share_of_time;
        const auto until = arrived_ + std::min(routes_limit, share);
        asio::steady_timer pause(here_.context);
        while (!has_routes() && !cancelled_->requested &&
               host_clock().now() < until)
        {
            pause.expires_after(routes_step);
            co_await pause.async_wait(asio::use_awaitable);
            view_ = state_.process.configuration.current();
        }
        if (cancelled_->requested)
        {
            co_await end_cancelled();
            co_return false;
        }
        co_return true;
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
        return read_terms();
    }

    std::optional<refusal> read_terms()
    {
        const auto& names = state_.names;
        auto& terms = call_.terms;
        terms.id = field(names.request_id);
        if (!node::is_token(terms.id))
        {
            return refusal{call_reason::bad_header};
        }
        const auto given = field(names.time_left);
        const auto left = node::parse_milliseconds(given);
        if (!given.empty() && !left)
        {
            return refusal{call_reason::bad_header};
        }
        terms.host = field("host");
        const auto& configured = state_.process.configured;
        terms.caller_service = configured.upstream.service;
        terms.caller_data_center = configured.host.data_center;
        terms.rank = route_->rank;
        terms.repeatable = route_->repeatable;
        terms.bulk = route_->bulk;
        terms.target = route_->target;
        terms.work_class = route_->hash;
        terms.deadline =
            arrived_ +
            std::min(left.value_or(route_->deadline), route_->deadline);
        fill_head();
        return std::nullopt;
    }

    void fill_head()
    {
        const auto& head = exchange_.head();
        call_.head.method = head.method;
        call_.head.path = head.path;
        for (const auto& item : head.fields)
        {
            if (is_passed_on(item.name, state_.names))
            {
                call_.head.fields.push_back(item);
            }
        }
    }

    asio::awaitable<bool> read_body(std::uint64_t limit)
    {
        std::array<std::byte, piece_bytes> piece;
        while (true)
        {
            const auto got = co_await exchange_.read_some(piece);
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
                reinterpret_cast<const char*>(piece.data()), *got);
        }
    }

    [[nodiscard]] std::uint64_t digest_of_content() const
    {
        request_digest digest(call_.head.method, call_.head.path);
        digest.update(call_.terms.host);
        digest.update("\n");
        digest.update(service_.str());
        digest.update("\n");
        digest.update(call_.body);
        return digest.value();
    }

    void watch_caller()
    {
        std::weak_ptr<node::cancellation> weak = cancelled_;
        exchange_.on_disconnect(
            [weak]
            {
                cancel(weak, false);
            });
        exchange_.on_give_up(
            [weak]
            {
                cancel(weak, true);
            });
    }

    static void
    cancel(const std::weak_ptr<node::cancellation>& weak, bool is_answer_owed)
    {
        const auto flag = weak.lock();
        if (!flag || flag->requested)
        {
            return;
        }
        flag->requested = true;
        flag->is_answer_owed = is_answer_owed;
        if (flag->stop)
        {
            flag->stop();
        }
    }

    // The end of a request that was cancelled before it had its answer.
    asio::awaitable<void> end_cancelled()
    {
        if (cancelled_->is_answer_owed)
        {
            co_await give_up(stopping());
        }
    }

    // Refuses here what a service further down has no room for, before any
    // work is done for it.
    std::optional<refusal> turn_away()
    {
        if (call_.terms.sub_call)
        {
            return std::nullopt;
        }
        const auto level = state_.ahead.level(route_->hash);
        const auto below = view_->routes().ranks_below(route_->rank);
        const double part = level - static_cast<double>(below);
        const double fraction = request_fraction(facts());
        if (!state_.shed.decide(route_->rank, route_->hash, part, fraction))
        {
            return std::nullopt;
        }
        return refusal{
            call_reason::overload,
            call_outcome::not_run,
            jittered(come_back_after_shedding, here_.random)};
    }

    // Sub-calls are part of what was let in; long transfers load other
    // services than the window is there for.
    [[nodiscard]] bool is_opened() const
    {
        return !call_.terms.sub_call && !call_.terms.bulk;
    }

    // False: the request has ended. Waits for half of its target at most, and
    // of its time: the rest is for its work, or for another try of the caller.
    asio::awaitable<bool> wait_for_opening()
    {
        auto& window = state_.opening_window;
        const auto rank = call_.terms.rank;
        window.wait(rank);
        entered_ = window.enter(rank);
        const auto now = host_clock().now();
        const auto left = call_.terms.deadline - now;
        const auto target =
            call_.terms.target > duration::zero() ? call_.terms.target : left;
        const auto until = now + std::min(target, left) / 2;
        asio::steady_timer pause(here_.context);
        while (!entered_ && !cancelled_->requested &&
               host_clock().now() < until)
        {
            pause.expires_after(opening_step);
            co_await pause.async_wait(asio::use_awaitable);
            entered_ = window.enter(rank);
        }
        window.leave(rank);
        if (cancelled_->requested)
        {
            co_await end_cancelled();
            co_return false;
        }
        if (!entered_)
        {
            const refusal told{
                call_reason::overload,
                call_outcome::not_run,
                jittered(come_back_after_shedding, here_.random)};
            co_await give_up(told);
        }
        co_return entered_;
    }

    asio::awaitable<void> wait_for_upstreams()
    {
        auto& routes = state_.process.routes;
        if (routes.known(service_))
        {
            co_return;
        }
        if (routes.want(service_))
        {
            state_.process.sync_soon();
        }
        const auto until =
            std::min(arrived_ + first_upstreams_limit, call_.terms.deadline);
        asio::steady_timer pause(here_.context);
        while (!routes.known(service_) && !cancelled_->requested &&
               host_clock().now() < until)
        {
            pause.expires_after(first_upstreams_step);
            co_await pause.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<void> send_until_answered()
    {
        state_.repeats.on_call(service_, call_.terms.sub_call);
        while (!cancelled_->requested)
        {
            if (call_.terms.time_left() <= duration::zero())
            {
                co_await give_up(too_late());
                co_return;
            }
            if (is_quarantined())
            {
                co_await give_up(quarantined());
                co_return;
            }
            auto to = state_.process.routes.start(
                service_, facts(), tried_, here_.random);
            if (!to)
            {
                co_await give_up(last_.value_or(nowhere()));
                co_return;
            }
            if (co_await is_settled_by(*std::move(to)))
            {
                co_return;
            }
        }
        co_await end_cancelled();
    }

    // True: the request has its final answer, or nobody waits for one.
    asio::awaitable<bool> is_settled_by(node::route to)
    {
        tried_.push_back(to.handle);
        const auto started = host_clock().now();
        peer_feedback feedback;
        auto result = co_await send_to(to, feedback);
        const auto how = to_end(result, feedback);
        state_.process.routes.end(
            service_,
            to.handle,
            call_.terms.bulk,
            how,
            host_clock().now() - started);
        if (feedback.word && how != node::try_end::gone)
        {
            take_word(to.handle, *feedback.word);
        }
        if (cancelled_->requested && !cancelled_->is_answer_owed)
        {
            co_return true;
        }
        if (result && (cancelled_->requested ||
                       !is_better_asked_elsewhere(*result, feedback)))
        {
            co_await pass_on(*std::move(result));
            co_return true;
        }
        if (result)
        {
            ++sent_;
            may_have_run_ = true;
            error_answer_ = *std::move(result);
            co_return false;
        }
        note(result.error());
        if (cancelled_->requested)
        {
            co_await end_cancelled();
            co_return true;
        }
        if (may_send_again(result.error()))
        {
            co_return false;
        }
        co_await give_up(final_refusal());
        co_return true;
    }

    asio::awaitable<routed_result>
    send_to(const node::route& to, peer_feedback& feedback)
    {
        const bool is_here = to.host == state_.process.configured.host.id;
        if (!is_here)
        {
            co_return co_await call_peer(
                here_, to.address, call_, cancelled_, feedback);
        }
        auto result =
            co_await run_on_upstream(here_, state_, call_, cancelled_);
        feedback.word = own_word(state_, call_.terms);
        co_return result;
    }

    void take_word(upstream_handle from, const upstream_word& word)
    {
        state_.process.routes.on_load(service_, from, word.load);
        state_.ahead.hear(route_->hash, word.shed);
        if (word.is_sub_call)
        {
            state_.ahead.hear_below(service_, word.shed);
            state_.slots.note_sub_call();
        }
        state_.sub_calls.learn(route_->hash, word.is_sub_call);
    }

    static node::try_end
    to_end(const routed_result& result, const peer_feedback& feedback)
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
        switch (result.error().told.reason)
        {
        case call_reason::leaving:
            return node::try_end::leaving;
        case call_reason::other_upstream:
            return node::try_end::gone;
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

    void note(const failed_call& failed)
    {
        sent_ += failed.sent ? 1 : 0;
        if (failed.ended)
        {
            state_.process.crashes.note_end(
                call_.terms.digest,
                failed.ended->upstream,
                failed.ended->ran_for,
                service_);
        }
        const bool ran = failed.told.result != call_outcome::not_run;
        may_have_run_ = may_have_run_ || ran;
        const bool turned_away = failed.told.reason == call_reason::overload;
        refusals_ += turned_away ? 1 : 0;
        // What has run isn't forgotten for a later refusal.
        if (!last_ || ran || !may_have_run_)
        {
            last_ = failed.told;
        }
    }

    [[nodiscard]] bool is_quarantined() const
    {
        const auto judged = state_.process.crashes.assess(call_.terms.digest);
        return judged.suspicion == crash_suspicion::quarantined;
    }

    [[nodiscard]] refusal quarantined() const
    {
        return {
            call_reason::quarantined,
            may_have_run_ ? call_outcome::unknown : call_outcome::not_run,
            come_back_from_quarantine};
    }

    // One that upstreams have ended under may end another one.
    [[nodiscard]] bool may_end_another() const
    {
        return state_.process.crashes.assess(call_.terms.digest).ends >=
               ends_to_isolate;
    }

    [[nodiscard]] bool may_send_again(const failed_call& failed)
    {
        const bool ran = failed.told.result != call_outcome::not_run;
        if (ran && (!call_.terms.repeatable || may_end_another()))
        {
            return false;
        }
        if (sent_ >= route_->max_tries || refusals_ >= most_refusals ||
            failed.told.reason == call_reason::deadline)
        {
            return false;
        }
        return !failed.sent ||
               state_.repeats.take(service_, call_.terms.sub_call);
    }

    [[nodiscard]] refusal too_late() const
    {
        return {
            call_reason::deadline,
            may_have_run_ ? call_outcome::unknown : call_outcome::not_run};
    }

    // This process ends; the daemons of other hosts serve.
    [[nodiscard]] refusal stopping() const
    {
        return {
            call_reason::leaving,
            may_have_run_ ? call_outcome::unknown : call_outcome::not_run,
            come_back_elsewhere};
    }

    [[nodiscard]] static refusal no_routes()
    {
        return {
            call_reason::starting,
            call_outcome::not_run,
            come_back_with_routes};
    }

    [[nodiscard]] static refusal too_large()
    {
        return {call_reason::too_large};
    }

    [[nodiscard]] static refusal nowhere()
    {
        return {
            call_reason::no_upstream,
            call_outcome::not_run,
            come_back_without_upstream};
    }

    [[nodiscard]] refusal final_refusal() const
    {
        auto told = *last_;
        if (may_have_run_)
        {
            told.result = call_outcome::unknown;
        }
        return told;
    }

    [[nodiscard]] call_info facts() const
    {
        call_info facts;
        facts.rank = call_.terms.rank;
        facts.work_class = call_.terms.work_class;
        facts.request = stable_hash(call_.terms.id);
        facts.deadline = call_.terms.deadline;
        facts.target = call_.terms.target;
        facts.bulk = call_.terms.bulk;
        facts.sub_call = call_.terms.sub_call;
        facts.repeatable = call_.terms.repeatable;
        return facts;
    }

    asio::awaitable<void> give_up(refusal told)
    {
        if (error_answer_)
        {
            co_await pass_on(*std::move(error_answer_));
            co_return;
        }
        log_event(
            event::request_refused,
            {{"request", call_.terms.id},
             {"route", counted_as().str()},
             {"service", service_.str()},
             {"reason", node::to_string(told.reason)},
             {"outcome", node::to_string(told.result)},
             {"tries", static_cast<std::uint64_t>(tried_.size())},
             {"version", view_->routes().version()}});
        co_await refuse(told);
    }

    // An error of an upstream that fails much more than calls do by themselves.
    // Of one that fails seldom the error is taken to be the call's own: asked
    // elsewhere it would fail there too.
    [[nodiscard]] bool is_better_asked_elsewhere(
        const routed_answer& answer, const peer_feedback& feedback)
    {
        const bool is_failing =
            feedback.word &&
            feedback.word->load.errors >= least_errors_to_ask_elsewhere;
        if (answer.head.status != status_server_error || !is_failing ||
            answer.rest || !call_.terms.repeatable ||
            sent_ + 1 >= route_->max_tries)
        {
            return false;
        }
        return state_.process.routes.has_alternative(
                   service_, facts(), tried_) &&
               state_.repeats.take(service_, call_.terms.sub_call);
    }

    void note_end(bool failed)
    {
        if (failed && call_.terms.sub_call)
        {
            state_.errors.on_failed_call();
        }
    }

    // Where no route was found, as where no class was.
    [[nodiscard]] class_name counted_as() const
    {
        return class_name(route_ == nullptr ? "(none)" : route_->name);
    }

    asio::awaitable<void> refuse(refusal told)
    {
        note_end(true);
        state_.process.measured.refused(
            node::call_side::entry,
            counted_as(),
            told.reason,
            told.result,
            sent_);
        auto head = state_.names.refuse(told);
        if (!call_.terms.id.empty())
        {
            head.fields.push_back({state_.names.request_id, call_.terms.id});
        }
        co_await exchange_.answer(std::move(head), "");
    }

    asio::awaitable<void> pass_on(routed_answer answer)
    {
        note_end(answer.head.status >= status_server_error);
        if (!call_.terms.sub_call)
        {
            const auto elapsed = host_clock().now() - arrived_;
            state_.shed.on_answer(route_->rank, route_->hash, elapsed);
        }
        state_.process.measured.completed(
            node::call_side::entry,
            counted_as(),
            host_clock().now() - arrived_,
            sent_ + 1);
        if (!answer.rest)
        {
            co_await exchange_.answer(std::move(answer.head), answer.body);
            co_return;
        }
        bool open = co_await exchange_.begin_answer(
            std::move(answer.head), answer.length);
        const auto begin = std::as_bytes(std::span(answer.body));
        open = open && co_await exchange_.write_some(begin);
        std::array<std::byte, piece_bytes> piece;
        while (open)
        {
            const auto got = co_await answer.rest->read_some(piece);
            if (!got)
            {
                log_event(
                    event::answer_broken,
                    {{"request", call_.terms.id}, {"route", route_->name}});
                co_return;
            }
            if (*got == 0)
            {
                co_await exchange_.end_answer();
                co_return;
            }
            open = co_await exchange_.write_some(std::span(piece).first(*got));
        }
    }

    node::worker& here_;
    routed_state& state_;
    node::caller_exchange& exchange_;
    const time_point arrived_;
    cancel_flag cancelled_;
    // Keeps `route_` alive.
    std::shared_ptr<const node::configuration_view> view_;
    const request_route* route_ = nullptr;
    service_name service_;
    routed_call call_;
    std::vector<upstream_handle> tried_;
    std::uint32_t sent_ = 0;
    std::size_t refusals_ = 0;
    bool may_have_run_ = false;
    // Let in by `opening_window`.
    bool entered_ = false;
    std::optional<refusal> last_;
    // An upstream's error after which the call was made elsewhere; the answer
    // where nothing better comes.
    std::optional<routed_answer> error_answer_;
};

} // namespace

asio::awaitable<void> serve_routed_request(
    node::worker& here, routed_state& state, node::caller_exchange& exchange)
{
    routed_entry entry(here, state, exchange);
    co_await entry.run();
}

} // namespace nutmegusher::routed
