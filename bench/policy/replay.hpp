// Replays a trace through the same policy code that the daemons run, on a
// manual clock.
//
//     const report ours = run_replay<shipped_decisions>(trace, seed);
//
// Each class calls a chain of services. Nothing uses the network or other
// processes. An upstream works on as many calls as it has slots, queues further
// calls up to its number of connections, and refuses the rest. A call keeps its
// slot during its sub-call.
#ifndef NUTMEGUSHER_BENCH_POLICY_REPLAY_HPP
#define NUTMEGUSHER_BENCH_POLICY_REPLAY_HPP

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "bench/policy/decisions.hpp"
#include "bench/policy/event_queue.hpp"
#include "bench/policy/replay_types.hpp"
#include "bench/policy/report.hpp"
#include "bench/policy/trace.hpp"

namespace nutmegusher::bench
{

template <class Decisions>
class replay
{
public:
    replay(const trace& load, std::uint64_t seed);

    [[nodiscard]] report run();

private:
    using host = simulated_host<Decisions>;

    // Clients.
    void schedule_arrival(std::size_t work_class, duration from);
    void offer(std::size_t work_class);
    void send_try(serial request);
    void enter(serial client);
    void answer_client(serial client, const try_answer& answer);
    void receive_client_answer(serial client, const try_answer& answer);
    void client_gives_up(serial client);
    void client_tries_again(serial request, duration min_pause);

    // Hops.
    void start_call(
        serial client,
        std::size_t depth,
        std::size_t caller,
        serial parent,
        std::uint32_t tokens);
    void start_try(serial call);
    void give_up_try(serial call, serial ticket);
    void arrive(serial call, serial ticket);
    void apply(std::size_t at, std::span<const queue_outcome> outcomes);
    void apply_outcome(std::size_t at, const queue_outcome& one);
    void reply(hop_call& call, const try_answer& answer);
    void receive_reply(serial call, serial ticket, const try_answer& answer);
    void record_outcome(const hop_call& call, const try_answer& answer);
    void end_call(serial call, const try_answer& answer);
    void abort_calls(client_try& client);
    void abort(hop_call& call);

    // Upstreams.
    void dispatch(std::size_t at, hop_call& call);
    void begin_work(hop_call& call);
    void first_half_done(serial call, serial ticket);
    void sub_call_done(hop_call& call, const try_answer& answer);
    void work_done(serial call, serial ticket);
    void release_slot(std::size_t at);
    void finish_call(std::size_t at, serial ticket, call_result result);
    void schedule_wake(std::size_t at);
    void wake(std::size_t at);

    [[nodiscard]] duration work_time(const hop_call& call);
    [[nodiscard]] duration
    network_delay(std::size_t from, std::size_t to) const;
    [[nodiscard]] call_info call_info_of(const hop_call& call) const;
    [[nodiscard]] hop_call* find(serial call, serial ticket);
    [[nodiscard]] const trace_class& class_of(const client_try& client) const;
    [[nodiscard]] const trace_class& class_of(const hop_call& call) const;
    time_slice& slice_of(const client_request& request);
    void build_hosts();
    void build_routers(host& one);

    const trace& load_;
    random_engine engine_;
    event_queue events_;
    report report_;
    std::vector<host> hosts_;
    // Indices into `hosts_`, by service.
    std::vector<std::vector<std::size_t>> hosts_by_service_;
    std::unordered_map<serial, client_request> requests_;
    std::unordered_map<serial, client_try> clients_;
    std::unordered_map<serial, hop_call> calls_;
    std::unordered_map<serial, serial> call_of_ticket_;
    serial last_serial_ = 0;
};

template <class Decisions>
[[nodiscard]] report run_replay(const trace& load, std::uint64_t seed)
{
    return replay<Decisions>(load, seed).run();
}

} // namespace nutmegusher::bench

#include "bench/policy/replay_clients.hpp"
#include "bench/policy/replay_hops.hpp"
#include "bench/policy/replay_upstreams.hpp"

#endif
