#include "nutmegusher/routed/upstream_run.hpp"

#include "nutmegusher/node/upstream_client.hpp"
#include "nutmegusher/routed/peer_fields.hpp"

#include <array>
#include <utility>

namespace nutmegusher::routed
{

namespace
{

using node::call_reason;

// Most answers fit; a larger array would be allocated with the frame of each
// call.
constexpr std::size_t chunk_bytes = 4096;
constexpr unsigned status_misdirected_request = 421;
constexpr unsigned status_error = 400;
constexpr unsigned status_server_error = 500;
constexpr unsigned status_gateway_timeout = 504;
// An upstream that refuses connections has ended or is starting; another
// upstream of the service can take the call.
constexpr duration retry_elsewhere_after = std::chrono::milliseconds(50);
// There is no upstream on this host, or it is leaving.
constexpr duration retry_after_leaving = std::chrono::milliseconds(250);

failed_call not_run(call_reason reason, duration retry_after)
{
    return {{reason, call_outcome::not_run, retry_after}, false};
}

failed_call refused_by_upstream(duration retry_after)
{
    return {
        {call_reason::upstream_refused, call_outcome::not_run, retry_after},
        true};
}

failed_call unknown(call_reason reason)
{
    return {{reason, call_outcome::unknown, duration::zero()}, true};
}

failed_call to_failed_call(node::upstream_failure failure)
{
    switch (failure)
    {
    case node::upstream_failure::not_connected:
        return not_run(call_reason::no_upstream, retry_elsewhere_after);
    case node::upstream_failure::timed_out:
        return unknown(call_reason::deadline);
    case node::upstream_failure::cancelled:
        return unknown(call_reason::cancelled);
    case node::upstream_failure::broken:
        return unknown(call_reason::connection_lost);
    case node::upstream_failure::malformed:
        break;
    }
    return unknown(call_reason::answer_broken);
}

// Holds a slot, and releases it when the upstream no longer works on the call.
class held_slot
{
public:
    held_slot(slot_gate& gate, ticket_id ticket)
        : gate_(gate)
        , ticket_(ticket)
    {
    }

    held_slot(const held_slot&) = delete;
    held_slot& operator=(const held_slot&) = delete;

    ~held_slot()
    {
        release();
    }

    void set_result(call_result result)
    {
        result_ = result;
    }

    void release()
    {
        if (!std::exchange(released_, true))
        {
            gate_.finish(ticket_, result_);
        }
    }

private:
    slot_gate& gate_;
    ticket_id ticket_;
    call_result result_ = call_result::failed;
    bool released_ = false;
};

// A call that runs on the upstream, recorded as evidence for the case that the
// upstream crashes.
class tracked_run
{
public:
    tracked_run(node::crash_tracker& crashes, std::uint64_t digest)
        : crashes_(crashes)
        , digest_(digest)
        , started_at_(host_clock().now())
        , ticket_(crashes.begin_run(digest))
    {
    }

    tracked_run(const tracked_run&) = delete;
    tracked_run& operator=(const tracked_run&) = delete;

    ~tracked_run()
    {
        if (!finished_)
        {
            crashes_.discard_run(ticket_);
        }
    }

    void complete()
    {
        if (!std::exchange(finished_, true))
        {
            crashes_.complete_run(ticket_, digest_);
        }
    }

    // The connection broke. The run is kept as evidence, as the upstream may
    // have crashed.
    void mark_lost()
    {
        if (!std::exchange(finished_, true))
        {
            crashes_.mark_run_lost(ticket_);
        }
    }

    [[nodiscard]] time_point started_at() const
    {
        return started_at_;
    }

    [[nodiscard]] duration elapsed() const
    {
        return host_clock().now() - started_at_;
    }

private:
    node::crash_tracker& crashes_;
    std::uint64_t digest_;
    time_point started_at_;
    in_flight_requests::ticket ticket_;
    bool finished_ = false;
};

// The rest of a long answer; holds the connection and the slot.
class upstream_rest final : public answer_rest
{
public:
    upstream_rest(
        std::unique_ptr<node::upstream_call> call,
        std::unique_ptr<held_slot> slot,
        std::unique_ptr<tracked_run> run)
        : call_(std::move(call))
        , slot_(std::move(slot))
        , run_(std::move(run))
    {
    }

    asio::awaitable<std::optional<std::size_t>>
    read_some(std::span<std::byte> into) override
    {
        const auto got = co_await call_->read_some(into);
        if (!got)
        {
            slot_->set_result(
                got.error() == node::upstream_failure::cancelled
                    ? call_result::cancelled
                    : call_result::failed);
            if (got.error() == node::upstream_failure::broken)
            {
                run_->mark_lost();
            }
            co_return std::nullopt;
        }
        if (*got == 0)
        {
            run_->complete();
            slot_->set_result(call_result::ok);
            slot_->release();
        }
        co_return *got;
    }

private:
    std::unique_ptr<node::upstream_call> call_;
    std::unique_ptr<held_slot> slot_;
    std::unique_ptr<tracked_run> run_;
};

call_info facts_of(const call_metadata& metadata, ticket_id ticket)
{
    call_info facts;
    facts.ticket = ticket;
    facts.rank = metadata.rank;
    facts.team = metadata.team.empty() ? 0 : stable_hash(metadata.team);
    facts.work_class = metadata.work_class;
    facts.request = stable_hash(metadata.id);
    facts.deadline = metadata.deadline;
    facts.target = metadata.target;
    facts.bulk = metadata.bulk;
    facts.sub_call = metadata.sub_call;
    facts.repeatable = metadata.repeatable;
    return facts;
}

call_reason to_reason(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::overload:
    case refusal_reason::fair_share:
        return call_reason::overload;
    case refusal_reason::deadline:
        return call_reason::deadline;
    case refusal_reason::leaving:
        break;
    }
    return call_reason::leaving;
}

// One call, from the wait for a slot to the end of the answer.
class upstream_run
{
public:
    upstream_run(
        node::worker& worker,
        routed_state& state,
        const routed_call& call,
        run_progress& progress)
        : worker_(worker)
        , state_(state)
        , call_(call)
        , progress_(progress)
    {
    }

    asio::awaitable<routed_result> run()
    {
        if (const auto refused_call = check_upstream(state_.local.current()))
        {
            co_return *refused_call;
        }
        state_.sub_calls.count(
            call_.metadata.work_class, call_.metadata.caller_service);
        if (call_.metadata.rate_limit)
        {
            state_.slots.suggest_rate_limit(*call_.metadata.rate_limit);
        }
        const auto ticket = state_.slots.next_ticket();
        const auto refused_call = co_await wait_for_slot(ticket);
        if (refused_call)
        {
            co_return *refused_call;
        }
        slot_ = std::make_unique<held_slot>(state_.slots, ticket);
        slot_->set_result(call_result::never_started);
        co_return co_await exchange();
    }

private:
    // Checks that the upstream now on this host is the one that the call is
    // for.
    //
    // Pattern of failure: a host goes away, and its address is given to a host
    // of another service while entries still use the old record. Without this
    // check the new upstream ran requests that no operator routed to it: 4 to
    // 21 on a day on which addresses were reused.
    [[nodiscard]] std::optional<failed_call>
    check_upstream(const std::optional<upstream_report>& to) const
    {
        if (to && to->service != call_.metadata.service)
        {
            return not_run(call_reason::other_upstream, retry_elsewhere_after);
        }
        if (!to || !state_.local.takes_calls())
        {
            return not_run(call_reason::leaving, retry_after_leaving);
        }
        return std::nullopt;
    }

    asio::awaitable<std::optional<failed_call>> wait_for_slot(ticket_id ticket)
    {
        const auto facts = facts_of(call_.metadata, ticket);
        const auto verdict = co_await state_.slots.enter(facts);
        if (const auto* rejection = std::get_if<refused>(&verdict))
        {
            co_return not_run(
                to_reason(rejection->reason), rejection->retry_after);
        }
        co_return std::nullopt;
    }

    // Whether the call ends before this process gives up what is in flight.
    [[nodiscard]] bool ends_before_stop() const
    {
        const bool ends = state_.process.drain.admits(
            host_clock().now(), call_.metadata.deadline);
        if (!ends)
        {
            state_.process.decisions.add(
                node::decision_counter::requests_outlasting_stop,
                to_string(node::call_side::upstream));
        }
        return ends;
    }

    // The upstream may have begun to leave or been replaced while the call
    // waited.
    asio::awaitable<routed_result> exchange()
    {
        const auto to = state_.local.current();
        if (const auto refused_call = check_upstream(to))
        {
            co_return *refused_call;
        }
        if (call_.metadata.time_left() <= duration::zero())
        {
            co_return not_run(call_reason::deadline, duration::zero());
        }
        if (!ends_before_stop())
        {
            co_return not_run(call_reason::leaving, retry_after_leaving);
        }
        const auto judgement =
            state_.process.crashes.assess(call_.metadata.digest);
        if (judgement.suspicion == crash_suspicion::quarantined)
        {
            co_return not_run(call_reason::quarantined, retry_after_quarantine);
        }
        const auto request = make_request(*to);
        run_ = std::make_unique<tracked_run>(
            state_.process.crashes, call_.metadata.digest);
        auto sent = co_await worker_.upstreams.send(to->address, request);
        if (!sent)
        {
            if (sent.error() == node::upstream_failure::not_connected)
            {
                state_.mark_unreachable(to->id);
            }
            co_return to_failed_call(sent.error());
        }
        // Until the run ends in another way.
        slot_->set_result(call_result::cancelled);
        upstream_ = *std::move(sent);
        progress_.phase = node::request_phase::running;
        state_.repeats.on_run(call_.metadata.repeat);
        auto result = co_await read_answer(*to);
        if (!result && connection_lost_)
        {
            auto failed = result.error();
            failed.crashed = co_await detect_crash(*to);
            co_return failed;
        }
        co_return result;
    }

    // Returns the upstream if it has crashed and the call is suspected of it.
    asio::awaitable<std::optional<crashed_upstream>>
    detect_crash(const upstream_report& to)
    {
        const auto ran_for = run_->elapsed();
        run_->mark_lost();
        if (co_await worker_.upstreams.is_listening(to.address))
        {
            co_return std::nullopt;
        }
        auto& crashes = state_.process.crashes;
        const crashed_upstream crashed{
            stable_hash(to.id, to.order.started), ran_for};
        crashes.on_upstream_crashed(crashed.upstream, to.id, to.service);
        state_.mark_unreachable(to.id);
        const bool is_suspected =
            crashes.assess(call_.metadata.digest).ends > 0;
        co_return is_suspected ? std::optional(crashed) : std::nullopt;
    }

    [[nodiscard]] node::upstream_request
    make_request(const upstream_report& to) const
    {
        const auto& names = state_.names;
        node::upstream_request request;
        request.head = call_.head;
        const auto add = [&request](const std::string& name, std::string value)
        {
            request.head.fields.push_back({name, std::move(value)});
        };
        add("host", call_.metadata.host);
        add(names.request_id, call_.metadata.id);
        add(names.time_left, node::to_milliseconds(call_.metadata.time_left()));
        add(names.expected_upstream, to.id);
        add(names.caller_service, call_.metadata.caller_service.str());
        if (!call_.metadata.team.empty())
        {
            add(names.team, call_.metadata.team);
        }
        request.blocks = &call_.body;
        request.needs_fresh_connection = !call_.metadata.repeatable;
        request.echoed_field = names.request_id;
        request.time_left = call_.metadata.time_left();
        return request;
    }

    void apply_load(std::string_view field)
    {
        if (state_.reported.record(field))
        {
            state_.slots.set_pace(state_.reported.pace());
            return;
        }
        state_.process.decisions.add(
            node::decision_counter::load_fields_malformed,
            call_.metadata.service.str());
    }

    // Applies what the upstream says of itself. A 421 is another upstream's.
    void
    apply_notices(const wire::response_head& head, const upstream_report& to)
    {
        if (head.status == status_misdirected_request)
        {
            return;
        }
        state_.slots.set_rate_limit(
            read_rate_limit(state_.names, head.fields), run_->started_at());
        if (const auto load = wire::find_header(head.fields, state_.names.load))
        {
            apply_load(*load);
        }
        const bool leaves =
            wire::find_header(head.fields, state_.names.leaving).has_value();
        if (leaves && state_.local.withdraw(to.id, to.order.started))
        {
            state_.upstream_changed();
        }
    }

    asio::awaitable<routed_result> read_answer(const upstream_report& to)
    {
        auto head = co_await upstream_->read_head();
        if (!head)
        {
            note_failure(head.error());
            co_return to_failed_call(head.error());
        }
        slot_->set_result(call_result::failed);
        apply_notices(*head, to);
        const bool says_not_run =
            wire::find_header(head->fields, state_.names.not_run).has_value();
        if (says_not_run || head->status == status_misdirected_request)
        {
            // The upstream gets no more calls than it has slots, so a refusal
            // counts as an error; a call for another upstream (421) doesn't.
            note_answer(head->status != status_misdirected_request);
            slot_->set_result(call_result::shed_by_upstream);
            // The call's outcome is known, whatever the rest is.
            co_await upstream_->discard_rest();
            co_return refused_by_upstream(retry_elsewhere_after);
        }
        if (!is_acceptable(*head))
        {
            note_answer(true);
            co_return unknown(call_reason::answer_broken);
        }
        note_answer(is_error(head->status));
        co_return co_await read_body(*std::move(head));
    }

    // A 504 says more about the call than about the upstream.
    static bool is_error(unsigned status)
    {
        return status >= status_server_error &&
               status != status_gateway_timeout;
    }

    // A success must carry the upstream's signature, if the dialect has one,
    // and must not be content-encoded.
    [[nodiscard]] bool is_acceptable(const wire::response_head& head) const
    {
        if (head.status >= status_error)
        {
            return true;
        }
        const auto& signature = state_.names.signature;
        const bool is_signed =
            signature.empty() || wire::find_header(head.fields, signature);
        return is_signed && !wire::find_header(head.fields, "content-encoding");
    }

    void note_answer(bool error)
    {
        state_.errors.on_answer(call_.metadata.caller_data_center, error);
        state_.repeats.on_answer(call_.metadata.work_class, error);
    }

    void note_failure(node::upstream_failure failure)
    {
        switch (failure)
        {
        case node::upstream_failure::timed_out:
            slot_->set_result(call_result::timed_out);
            break;
        case node::upstream_failure::cancelled:
            slot_->set_result(call_result::cancelled);
            break;
        case node::upstream_failure::broken:
            connection_lost_ = true;
            slot_->set_result(call_result::failed);
            note_answer(true);
            break;
        default:
            slot_->set_result(call_result::failed);
            // The answer broke off or was malformed, or the call wasn't
            // answered. Otherwise an upstream that loses two answers in five
            // got its full share of unrepeatable calls.
            note_answer(true);
        }
    }

    asio::awaitable<routed_result> read_body(wire::response_head head)
    {
        routed_answer answer(state_.process.request_memory);
        // A field of the upstream mustn't be taken for one of a daemon.
        answer.head = {head.status, without_own_fields(std::move(head.fields))};
        answer.length = upstream_->content_length();
        std::array<std::byte, chunk_bytes> chunk;
        bool has_room = true;
        while (has_room && answer.body.size() <= max_buffered_answer_bytes)
        {
            const auto got = co_await upstream_->read_some(chunk);
            if (!got)
            {
                note_failure(got.error());
                auto failed = to_failed_call(got.error());
                if (failed.details.reason == call_reason::connection_lost)
                {
                    failed.details.reason = call_reason::answer_broken;
                }
                co_return failed;
            }
            if (*got == 0)
            {
                run_->complete();
                slot_->set_result(call_result::ok);
                co_return answer;
            }
            has_room = answer.memory.take(*got);
            answer.body.append(
                reinterpret_cast<const char*>(chunk.data()), *got);
        }
        answer.rest = std::make_unique<upstream_rest>(
            std::move(upstream_), std::move(slot_), std::move(run_));
        co_return answer;
    }

    node::worker& worker_;
    routed_state& state_;
    const routed_call& call_;
    run_progress& progress_;
    // Declared before `upstream_`, so that the connection is released before
    // the slot.
    std::unique_ptr<held_slot> slot_;
    std::unique_ptr<node::upstream_call> upstream_;
    // Set while the upstream may be working on the call.
    std::unique_ptr<tracked_run> run_;
    // The connection to the upstream broke before the answer was complete.
    bool connection_lost_ = false;
};

} // namespace

asio::awaitable<routed_result> run_on_upstream(
    node::worker& worker,
    routed_state& state,
    const routed_call& call,
    run_progress& progress)
{
    upstream_run run(worker, state, call, progress);
    co_return co_await run.run();
}

} // namespace nutmegusher::routed
