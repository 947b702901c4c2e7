// Repeats of calls that upstreams reject, for all worker threads.
#ifndef NUTMEGUSHER_ROUTED_REJECTED_CALL_REPEATS_HPP
#define NUTMEGUSHER_ROUTED_REJECTED_CALL_REPEATS_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/policy/policy.hpp"

#include <boost/json/value.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace nutmegusher::routed
{

// Repeats that this daemon may still make of calls that upstreams rejected, by
// service, and the shares of requests for which they don't suffice.
//
// Enabled by the first load report of an upstream that contains a pace. Until
// then, and where no upstream reports one, all functions return at once.
class rejected_call_repeats
{
public:
    // An upstream reported its load.
    void on_load(const upstream_load& load);
    [[nodiscard]] bool enabled() const;

    // A call was sent to the service for the first time.
    void on_call(const service_name& service, bool is_sub_call);

    // An upstream of the service has rejected a call: whether it may be
    // repeated. Deducts the repeat.
    bool on_rejection(const service_name& service, bool is_sub_call);
    // An upstream of the service has run a call.
    void on_pass(const service_name& service, bool is_sub_call);

    // A call runs at the upstream on this host.
    void on_run(bool is_repeat);
    // The share of the upstream's sub-calls that count as repeats.
    [[nodiscard]] double inherited_share() const;

    // A sub-call of the upstream on this host has ended.
    void on_sub_call(bool failed);
    // The upstream on this host has answered.
    void on_answer(std::uint64_t work_class, bool is_error);
    // Another process of the upstream has started.
    void reset_upstream();

    // Whether calls of the class need the services that the upstream calls.
    [[nodiscard]] bool depends(std::uint64_t work_class) const;

    // Levels of cause `repeats` of the services that the upstream calls.
    [[nodiscard]] std::vector<shed_level> levels() const;

    [[nodiscard]] boost::json::value dump();

private:
    struct called_service
    {
        explicit called_service(double ratio)
            : window(ratio)
        {
        }

        repeat_window window;
        rejection_control control;
        std::uint64_t allowed = 0;
        std::uint64_t denied = 0;
        time_point denied_at;
        time_point next_log;
    };

    using called_services = std::unordered_map<service_name, called_service>;

    [[nodiscard]] called_service&
    find(const service_name& service, bool is_sub_call);
    [[nodiscard]] double
    refused_share(const called_service& of, time_point now) const;
    void
    log_denied(const service_name& service, called_service& of, time_point now);

    std::atomic<bool> enabled_ = false;
    mutable std::mutex mutex_;
    repeat_share inherited_;
    sub_call_dependence dependence_;
    called_services by_requests_;
    called_services by_sub_calls_;
};

} // namespace nutmegusher::routed

#endif
