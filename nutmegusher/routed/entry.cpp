#include "nutmegusher/routed/entry.hpp"

#include "nutmegusher/routed/entry_admission.hpp"
#include "nutmegusher/routed/entry_answer.hpp"
#include "nutmegusher/routed/entry_forwarding.hpp"
#include "nutmegusher/routed/entry_reading.hpp"
#include "nutmegusher/routed/entry_request.hpp"

namespace nutmegusher::routed
{

namespace
{

using internal::entry_request;

// Ends the request with an answer. Interrupted if the caller leaves or the
// process gives up.
asio::awaitable<void> serve(entry_request& request)
{
    if (request.route == nullptr)
    {
        const auto rejection = co_await internal::wait_for_route(request);
        if (rejection)
        {
            co_await internal::refuse(request, *rejection);
            co_return;
        }
    }
    request.service = request.route->choose(request.worker.random).service;
    request.call.metadata.service = request.service;
    request.call.metadata.sub_call =
        request.state.sub_calls.is_reported_sub_call(request.route->hash);
    internal::entry_admission admission(request);
    if (const auto rejection = co_await admission.admit())
    {
        co_await internal::give_up(request, *rejection);
        co_return;
    }
    co_await internal::send_until_answered(request);
}

// Records the request if it ends without having returned, as all work of the
// process is cancelled at its end.
class end_record
{
public:
    explicit end_record(const entry_request& request)
        : request_(request)
    {
    }

    ~end_record()
    {
        if (!returned_)
        {
            internal::record_given_up(request_);
        }
    }

    end_record(const end_record&) = delete;
    end_record& operator=(const end_record&) = delete;

    void set_returned()
    {
        returned_ = true;
    }

private:
    const entry_request& request_;
    bool returned_ = false;
};

} // namespace

asio::awaitable<void> serve_routed_request(
    node::worker& worker, routed_state& state, node::caller_exchange& exchange)
{
    entry_request request(worker, state, exchange);
    request.take_view();
    if (!co_await internal::read_request(request))
    {
        co_return; // the caller has gone or was refused
    }
    end_record record(request);
    const auto ended = co_await exchange.run(serve(request));
    record.set_returned();
    if (ended == node::handling_end::given_up)
    {
        request.may_have_run = request.may_have_run ||
                               (request.current_try &&
                                request.current_try->progress.may_have_run());
        internal::record_given_up(request);
        co_await internal::give_up(request, internal::stopping(request));
    }
    if (ended == node::handling_end::caller_left)
    {
        internal::note_cancelled(request);
    }
}

} // namespace nutmegusher::routed
