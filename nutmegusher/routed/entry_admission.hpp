// Decides whether a request at its entry is let in.
#ifndef NUTMEGUSHER_ROUTED_ENTRY_ADMISSION_HPP
#define NUTMEGUSHER_ROUTED_ENTRY_ADMISSION_HPP

#include "nutmegusher/routed/entry_request.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace nutmegusher::routed::internal
{

// The admission of one request, which counts until this object is destroyed.
class entry_admission
{
public:
    explicit entry_admission(entry_request& request);
    entry_admission(const entry_admission&) = delete;
    entry_admission& operator=(const entry_admission&) = delete;
    ~entry_admission();

    // Decides, which may include a wait for the upstreams of the service to
    // become known and for the slow start window. Returns the refusal, or
    // nothing if the request is admitted. Requires: route and service are
    // selected.
    asio::awaitable<std::optional<node::refusal>> admit();

private:
    struct state;

    std::unique_ptr<state> state_;
};

// Requests with the digest of one under which this many upstreams crashed run
// one at a time here, and aren't retried once they may have run.
inline constexpr std::size_t crashes_to_isolate = 2;

} // namespace nutmegusher::routed::internal

#endif
