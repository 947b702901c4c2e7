// The state of routed requests that all worker threads share.
#ifndef NUTMEGUSHER_ROUTED_ROUTED_STATE_HPP
#define NUTMEGUSHER_ROUTED_ROUTED_STATE_HPP

#include "nutmegusher/node/worker.hpp"
#include "nutmegusher/policy/policy.hpp"
#include "nutmegusher/routed/local_upstream.hpp"
#include "nutmegusher/routed/rejected_call_repeats.hpp"
#include "nutmegusher/routed/request_dialect.hpp"
#include "nutmegusher/routed/slot_gate.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegusher::routed
{

// Retries that this daemon may still make, by service.
class retry_allowances
{
public:
    void on_call(const service_name& service, bool is_sub_call);
    // A call that may have run.
    bool take(const service_name& service, bool is_sub_call);

private:
    using allowances = std::unordered_map<service_name, retry_allowance>;

    [[nodiscard]] retry_allowance&
    find(const service_name& service, bool is_sub_call);

    std::mutex mutex_;
    allowances request_allowances_;
    allowances sub_call_allowances_;
};

// Shed levels of the services on the call paths, as answers report them, and
// those that this host's own upstream reports to its callers.
class call_path_levels
{
public:
    // An answer to a request of the route reported these levels.
    void record(std::uint64_t route, std::span<const shed_level> levels);

    // An answer to a call that this host's upstream made to the service
    // reported these levels.
    void record_sub_call(
        const service_name& called, std::span<const shed_level> levels);

    // The highest level of the cause on the call path of the route.
    [[nodiscard]] double
    level(std::uint64_t route, shed_cause cause = shed_cause::slots) const;

    // The levels on the call path of calls that this host's upstream makes to
    // the service.
    [[nodiscard]] std::vector<shed_level>
    sub_call_levels(const service_name& called) const;

    // The services that this host's upstream calls.
    [[nodiscard]] std::vector<service_name> called() const;

private:
    mutable std::mutex mutex_;
    shed_table by_route_;
    shed_table by_called_service_;
    std::set<service_name> called_services_;
};

// Decides which requests that enter here are shed: one `shed_shares` for each
// rank.
class entry_shedding
{
public:
    // The share of the route's requests to shed, of which one has arrived.
    // `shed_share`: the share of the rank's requests to shed.
    double share_of(std::uint8_t rank, std::uint64_t route, double shed_share);
    // An admitted request was answered.
    void on_answer(std::uint8_t rank, std::uint64_t route, duration elapsed);
    // See `shed_shares::usual_elapsed`.
    [[nodiscard]] duration
    usual_elapsed(std::uint8_t rank, std::uint64_t route) const;

private:
    mutable std::mutex mutex_;
    std::array<shed_shares, rank_count> orders_;
};

// Decides for which requests the repeats of rejected calls don't suffice: a
// `path_shares` for all worker threads.
class entry_paths
{
public:
    // The share of the requests of the rank to refuse. Counts the request if
    // `refused_of_all`, the level of cause `repeats` on its call path, isn't 0.
    double refused_share(std::uint8_t rank, double refused_of_all);

private:
    std::mutex mutex_;
    path_shares shares_;
};

// A `return_schedule` for all worker threads.
class entry_return_times
{
public:
    // Whether any promise may still be kept.
    [[nodiscard]] bool has_promises() const;
    bool arrive(std::uint64_t key, std::uint8_t rank);
    [[nodiscard]] double
    share_for_new(std::uint8_t rank, double shed_share) const;
    return_offer refuse(
        std::uint64_t key,
        const refused_request& request,
        random_engine& engine);

private:
    mutable std::mutex mutex_;
    return_schedule schedule_;
};

// A `slow_start` for all worker threads; starts with the first request.
class entry_slow_start
{
public:
    void wait(std::uint8_t rank);
    void leave(std::uint8_t rank);
    [[nodiscard]] bool enter(std::uint8_t rank);
    void on_answer(double level);

private:
    slow_start& window();

    std::mutex mutex_;
    std::optional<slow_start> window_;
};

// Which routes only upstreams call: counted on this host, or reported by
// answers.
class sub_call_routes
{
public:
    // A call of the route reached the upstream on this host.
    void count(std::uint64_t route, const service_name& caller);
    // Whether only upstreams call the route, by the calls counted here.
    [[nodiscard]] bool is_counted_sub_call(std::uint64_t route) const;

    // An answer reported whether only upstreams call the route.
    void on_report(std::uint64_t route, bool is_sub_call);
    // Whether answers report the route as one that only upstreams call.
    [[nodiscard]] bool is_reported_sub_call(std::uint64_t route) const;
    // Whether answers report the route as not only called by upstreams; false
    // before the first report.
    [[nodiscard]] bool is_reported_external(std::uint64_t route) const;

private:
    mutable std::mutex mutex_;
    sub_call_classifier classifier_;
    std::unordered_map<std::uint64_t, bool> reported_;
};

// The error rate of the upstream on this host: see `error_meter`.
class upstream_errors
{
public:
    // The upstream answered a call that came from the data centre.
    void on_answer(const data_center_name& from, bool error);
    // A call that the upstream made failed.
    void on_failed_call();
    // Another process of the upstream has started.
    void reset();

    [[nodiscard]] double share(const data_center_name& from) const;

private:
    mutable std::mutex mutex_;
    error_meter meter_;
};

// The load that the upstream on this host reports in its answers.
class upstream_reports
{
public:
    // An answer of the upstream has this load field. Returns false if it
    // couldn't be read and is ignored.
    bool record(std::string_view field);
    // Another process of the upstream has started.
    void reset();

    // See `last_reported_load::pace`.
    [[nodiscard]] std::uint32_t pace() const;
    // See `last_reported_load::load`.
    [[nodiscard]] std::optional<reported_load> load() const;
    // Load fields that couldn't be read and were ignored.
    [[nodiscard]] std::uint64_t malformed() const;

private:
    mutable std::mutex mutex_;
    last_reported_load last_;
    std::uint64_t malformed_ = 0;
};

struct routed_state
{
    routed_state(
        node::controllers& process,
        request_dialect names,
        std::function<void()> upstream_changed);

    node::controllers& process;
    const request_dialect names;
    local_upstream local;
    slot_gate slots;
    retry_allowances retries;
    rejected_call_repeats repeats;
    call_path_levels path_levels;
    entry_shedding shed;
    entry_paths paths;
    entry_return_times returns;
    entry_slow_start slow_start;
    sub_call_routes sub_calls;
    upstream_errors errors;
    upstream_reports reported;
    // Notifies the rest of the process that `local` has changed.
    const std::function<void()> upstream_changed;

    // The upstream refused a connection.
    void mark_unreachable(const std::string& id);
};

} // namespace nutmegusher::routed

#endif
