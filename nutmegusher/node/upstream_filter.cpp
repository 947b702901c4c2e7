#include "nutmegusher/node/upstream_filter.hpp"

#include "nutmegusher/node/upstream_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>

namespace nutmegusher::node
{

namespace
{

constexpr std::size_t chunk_bytes = 16384;
constexpr unsigned status_unavailable = 503;
// How long the answer of a call that isn't repeatable is awaited beyond the
// call's deadline.
constexpr duration late_answer_timeout = std::chrono::seconds(60);
// The largest answer of a call that isn't repeatable.
constexpr std::size_t max_claimed_answer_bytes = 1048576;
// Retry after a refused connection: the upstream has left or is restarting.
constexpr duration retry_elsewhere_after = std::chrono::milliseconds(50);

upstream_request to_request(const peer_call& call)
{
    upstream_request request;
    request.head = call.stream->head();
    request.head.fields = without_own_fields(call.stream->head().fields);
    const auto add = [&request](std::string_view name, std::string value)
    {
        request.head.fields.push_back({std::string(name), std::move(value)});
    };
    add(field::request_id, call.metadata.request.str());
    add(field::timeout, to_milliseconds(call.time_left()));
    add(field::class_name, call.metadata.work_class.str());
    add(field::rank, std::to_string(call.metadata.rank));
    if (!call.metadata.customer.empty())
    {
        add(field::customer, call.metadata.customer.str());
    }
    request.body = call.body;
    request.streamed = !call.body_complete;
    request.needs_fresh_connection = !call.metadata.repeatable;
    request.time_left =
        call.time_left() +
        (call.metadata.repeatable ? duration::zero() : late_answer_timeout);
    return request;
}

call_result result_of(upstream_failure failure)
{
    switch (failure)
    {
    case upstream_failure::not_connected:
        return call_result::never_started;
    case upstream_failure::timed_out:
        return call_result::timed_out;
    case upstream_failure::cancelled:
        return call_result::cancelled;
    case upstream_failure::broken:
    case upstream_failure::malformed:
        break;
    }
    return call_result::failed;
}

call_result result_of(unsigned status)
{
    if (status == status_unavailable)
    {
        return call_result::shed_by_upstream;
    }
    return status >= 500 ? call_result::failed : call_result::ok;
}

refusal refusal_of(upstream_failure failure)
{
    switch (failure)
    {
    case upstream_failure::not_connected:
        return {
            call_reason::no_upstream,
            call_outcome::not_run,
            retry_elsewhere_after};
    case upstream_failure::timed_out:
        return {call_reason::deadline, call_outcome::unknown};
    case upstream_failure::cancelled:
        return {call_reason::cancelled, call_outcome::unknown};
    case upstream_failure::broken:
    case upstream_failure::malformed:
        break;
    }
    return {call_reason::upstream_failed, call_outcome::unknown};
}

// Drops fields of an upstream that would be taken for this daemon's, except for
// `not_run`, which is the upstream's.
void drop_own_fields(wire::response_head& head)
{
    const auto not_run = wire::find_header(head.fields, field::not_run);
    auto kept = without_own_fields(head.fields);
    if (not_run)
    {
        kept.push_back({std::string(field::not_run), std::string(*not_run)});
    }
    head.fields = std::move(kept);
}

// One call to the upstream: sends the request and handles the answer.
class upstream_exchange
{
public:
    explicit upstream_exchange(peer_call& call)
        : call_(call)
    {
    }

    asio::awaitable<void> run()
    {
        const auto announced = call_.owner.shared.upstream.current();
        if (!announced)
        {
            co_await fail(upstream_failure::not_connected);
            co_return;
        }
        const auto request = to_request(call_);
        auto sent =
            co_await call_.owner.upstreams.send(announced->address, request);
        if (!sent)
        {
            co_await fail(sent.error());
            co_return;
        }
        upstream_ = *std::move(sent);
        stop_when_cancelled();
        co_await exchange();
        call_.cancelled->stop = nullptr;
    }

private:
    void stop_when_cancelled()
    {
        if (!call_.metadata.repeatable)
        {
            return; // it continues, so that its outcome becomes known
        }
        auto* const upstream = upstream_.get();
        call_.cancelled->stop = [upstream]
        {
            upstream->cancel();
        };
        if (call_.cancelled->requested)
        {
            upstream->cancel();
        }
    }

    asio::awaitable<void> exchange()
    {
        if (!call_.body_complete && !co_await stream_request())
        {
            co_return;
        }
        auto head = co_await upstream_->read_head();
        if (!head)
        {
            co_await fail(head.error());
            co_return;
        }
        drop_own_fields(*head);
        call_.result = result_of(head->status);
        if (call_.result == call_result::shed_by_upstream && sub_call_refused())
        {
            call_.result = call_result::failed; // a sub-call is overloaded
        }
        if (!call_.metadata.repeatable)
        {
            co_await buffer_answer(*std::move(head));
        }
        else if (head->status == status_unavailable)
        {
            co_await refuse_shed(*head);
        }
        else
        {
            co_await stream_answer(*std::move(head));
        }
    }

    // Streams the rest of a long request body to the upstream.
    asio::awaitable<bool> stream_request()
    {
        std::array<std::byte, chunk_bytes> chunk;
        while (true)
        {
            const auto received = co_await call_.stream->read_some(chunk);
            if (!received)
            {
                call_.result = call_result::cancelled;
                co_return false;
            }
            const auto bytes = std::span(chunk).first(*received);
            const auto wrote =
                co_await upstream_->write_some(bytes, *received == 0);
            if (!wrote)
            {
                co_await fail(wrote.error());
                co_return false;
            }
            if (*received == 0)
            {
                co_return true;
            }
        }
    }

    [[nodiscard]] bool sub_call_refused() const
    {
        return call_.owner.shared.admission.sub_call_refused(
            stable_hash(call_.metadata.request.str()));
    }

    asio::awaitable<void> refuse_shed(const wire::response_head& head)
    {
        const bool certainly_not_run =
            wire::find_header(head.fields, field::not_run) == "true";
        const refusal refused{
            sub_call_refused() ? call_reason::overload_deeper
                               : call_reason::overload,
            certainly_not_run ? call_outcome::not_run : call_outcome::unknown,
            std::chrono::milliseconds(
                call_.owner.shared.admission.level().retry_after)};
        co_await call_.refuse(refused);
        co_await discard_rest();
    }

    // Reads the rest of the answer, so that the connection can be reused.
    asio::awaitable<void> discard_rest()
    {
        std::array<std::byte, chunk_bytes> chunk;
        while (true)
        {
            const auto received = co_await upstream_->read_some(chunk);
            if (!received || *received == 0)
            {
                co_return;
            }
        }
    }

    asio::awaitable<void> buffer_answer(wire::response_head head)
    {
        buffered_answer buffered;
        buffered.head = std::move(head);
        std::array<std::byte, chunk_bytes> chunk;
        while (buffered.body.size() <= max_claimed_answer_bytes)
        {
            const auto received = co_await upstream_->read_some(chunk);
            if (!received)
            {
                co_await fail(received.error());
                co_return;
            }
            if (*received == 0)
            {
                call_.answer = std::move(buffered);
                co_return;
            }
            buffered.body.append(
                reinterpret_cast<const char*>(chunk.data()), *received);
        }
        co_await fail(upstream_failure::malformed);
    }

    asio::awaitable<void> stream_answer(wire::response_head head)
    {
        head.fields.push_back(
            {std::string(field::outcome),
             std::string(to_string(call_outcome::completed))});
        if (const auto length = upstream_->content_length())
        {
            head.fields.push_back({"content-length", std::to_string(*length)});
        }
        call_.add_feedback(head);
        call_.answered = true;
        auto wrote = co_await call_.stream->write_head(std::move(head), false);
        std::array<std::byte, chunk_bytes> chunk;
        while (wrote)
        {
            const auto received = co_await upstream_->read_some(chunk);
            if (!received)
            {
                abort_answer(received.error());
                co_return;
            }
            const auto bytes = std::span(chunk).first(*received);
            wrote = co_await call_.stream->write(bytes, *received == 0);
            if (*received == 0)
            {
                call_.owner.shared.request_metrics.completed(
                    call_side::upstream,
                    call_.metadata.work_class,
                    host_clock().now() - call_.arrived,
                    1);
                co_return;
            }
        }
        call_.result = call_result::cancelled;
        upstream_->cancel();
    }

    // The answer has begun, so only a reset stream can tell the peer that it is
    // incomplete.
    void abort_answer(upstream_failure failure)
    {
        call_.result = result_of(failure);
        log_event(
            event::answer_broken,
            {{"class", call_.metadata.work_class.str()},
             {"request", call_.metadata.request.str()}});
        call_.stream->reset();
    }

    asio::awaitable<void> fail(upstream_failure failure)
    {
        call_.result = result_of(failure);
        call_.failure = failure;
        if (call_.metadata.repeatable)
        {
            const auto refused = refusal_of(failure);
            co_await call_.refuse(refused);
        }
    }

    peer_call& call_;
    std::unique_ptr<upstream_call> upstream_;
};

} // namespace

asio::awaitable<void> upstream_filter::run(peer_call& call)
{
    upstream_exchange exchange(call);
    co_await exchange.run();
}

} // namespace nutmegusher::node
