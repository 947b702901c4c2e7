// A chain of filters for calls. Each filter sees the call and decides whether
// and when the rest of the chain runs.
//
//     struct count_calls
//     {
//         template <class Next>
//         asio::awaitable<void> operator()(my_call& call, Next next)
//         {
//             ++call.seen;
//             co_await next();
//         }
//     };
//
//     co_await run_filters(call, count_calls(), last_filter());
//
// The last filter's `next` does nothing. A filter that ends the call answers it
// and doesn't run `next`.
#ifndef NUTMEGUSHER_NODE_FILTER_CHAIN_HPP
#define NUTMEGUSHER_NODE_FILTER_CHAIN_HPP

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <utility>

namespace nutmegusher::node
{

namespace asio = boost::asio;

namespace internal
{
struct end_of_chain
{
    asio::awaitable<void> operator()() const
    {
        co_return;
    }
};
} // namespace internal

template <class Filter, class Call>
concept call_filter =
    requires(Filter& filter, Call& call, internal::end_of_chain next)
{
    {
        filter(call, next)
        } -> std::same_as<asio::awaitable<void>>;
};

template <class Call>
asio::awaitable<void> run_filters(Call&)
{
    co_return;
}

// Requires: the filters and the call outlive the returned awaitable.
template <class Call, class First, class... Rest>
asio::awaitable<void> run_filters(Call& call, First& first, Rest&... rest)
{
    const auto next = [&call, &rest...]() -> asio::awaitable<void>
    {
        return run_filters(call, rest...);
    };
    co_await first(call, next);
}

} // namespace nutmegusher::node

#endif
