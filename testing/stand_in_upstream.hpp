// An upstream for tests and demonstrations.
//
// It speaks HTTP/1.1, announces itself to its daemon, runs calls in a limited
// number of slots and counts every execution. Besides the calls it answers:
//
//     POST /stand-in/control      members of upstream_behavior, as JSON
//     GET  /stand-in/executions   execution_log::to_json()
//     GET  /stand-in/status       running, waiting, cancelled, sub-calls
//     GET  /nutmegusher/load      slots, busy, state; may lag or be false
//
// A call's answer is the body generated from its header `x-token`
// (patterned_body.hpp), of `x-answer-bytes` bytes; `x-service-ms` overrides
// the service time.
#ifndef NUTMEGUSHER_TESTING_STAND_IN_UPSTREAM_HPP
#define NUTMEGUSHER_TESTING_STAND_IN_UPSTREAM_HPP

#include "testing/execution_log.hpp"
#include "testing/upstream_behavior.hpp"

#include <memory>
#include <string>

namespace nutmegusher::test_support
{

struct stand_in_options
{
    std::string service;
    // "ip:port" to listen on.
    std::string address;
    // Address to announce, for a relay in between; empty: `address`.
    std::string announce_as;
    // "ip:port" of its daemon's `upstream` listener; empty: no daemon.
    std::string daemon;
    // File that records executions; empty: in memory only.
    std::string journal;
    std::uint64_t seed = 1;
    upstream_behavior behavior;
};

// Runs on a thread of its own from `start` to its destruction.
class stand_in_upstream
{
public:
    // Fails if it can't listen on the address or open the journal.
    [[nodiscard]] static outcome<
        std::unique_ptr<stand_in_upstream>,
        boost::system::error_code>
    start(const stand_in_options& options);

    ~stand_in_upstream();
    stand_in_upstream(const stand_in_upstream&) = delete;
    stand_in_upstream& operator=(const stand_in_upstream&) = delete;

    // Same as POST /stand-in/control.
    outcome<void, behavior_problem> control(std::string_view json);

    [[nodiscard]] const execution_log& executions() const;
    [[nodiscard]] const std::string& address() const;

private:
    class server;

    explicit stand_in_upstream(std::unique_ptr<server> running);

    std::unique_ptr<server> server_;
};

} // namespace nutmegusher::test_support

#endif
