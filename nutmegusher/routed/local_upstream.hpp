// State of the upstream on this host, from its own reports.
#ifndef NUTMEGUSHER_ROUTED_LOCAL_UPSTREAM_HPP
#define NUTMEGUSHER_ROUTED_LOCAL_UPSTREAM_HPP

#include "nutmegusher/base/base.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <span>
#include <string>

namespace nutmegusher::routed
{

// Order of the reports that an upstream sends under its id. A later start
// outranks a higher count, as the count restarts with each start.
struct report_order
{
    // When the upstream's process started, by its own clock: milliseconds since
    // the Unix epoch, 0 if not reported. Compared only with other starts of the
    // same id.
    std::uint64_t started = 0;
    // Increases with each report of one start.
    std::uint64_t count = 0;

    friend auto operator<=>(const report_order&, const report_order&) = default;
};

// One report of an upstream.
struct upstream_report
{
    // Stays the same when the upstream restarts under it.
    std::string id;
    service_name service;
    boost::asio::ip::tcp::endpoint address;
    // Calls that the upstream works on at once.
    std::size_t slots = 0;
    report_order order;
    bool leaving = false;
    // How much longer the upstream is slow after its start.
    duration warm_up_remaining{0};
};

// What a report changed.
enum class report_effect : std::uint8_t
{
    // The report is late or repeats what is known.
    none,
    changed,
    // Another process of the upstream reports: it has none of the calls that
    // the earlier process was given.
    started
};

// Tracks which upstream currently receives this host's calls. Thread-safe.
//
// Reports may arrive late, even after their sender has ended and another
// upstream has started at the same address. A report that isn't newer than the
// last one of its id is ignored, and an id that was replaced becomes current
// again only by a newer report of its own. A later start under the same id
// cancels everything that the earlier start reported, including leaving and
// withdrawal.
//
// An upstream that has reported that it leaves, or was withdrawn, gets no calls
// until a later start, whatever it reports. What earlier processes of this host
// were told is restored by `restore_withdrawals`.
class local_upstream
{
public:
    // An upstream that has left this host.
    struct withdrawn_upstream
    {
        std::string id;
        // 0: all starts.
        std::uint64_t started = 0;
    };

    // From now on, no upstream takes calls until `restore_withdrawals`: an
    // earlier process may have acknowledged that it leaves.
    void await_withdrawals();
    // Oldest first; restores the newest ones.
    void restore_withdrawals(std::span<const withdrawn_upstream> withdrawn);
    [[nodiscard]] bool knows_withdrawals() const;

    // The start of the upstream that `id` and `started` withdraw: the last one
    // that reported, if `started` is 0; 0 if none has. Returns nullopt if the
    // upstream isn't withdrawn at that start.
    [[nodiscard]] std::optional<std::uint64_t>
    withdrawn_start(const std::string& id, std::uint64_t started) const;

    report_effect report(const upstream_report& new_report);

    // The upstream with this id leaves; it may still work on calls that it has.
    // `started` is the start that withdraws, 0 if not reported; the withdrawal
    // of an earlier start is ignored. Returns whether `current` changed.
    bool withdraw(const std::string& id, std::uint64_t started = 0);

    // The upstream refused a connection: it gets no calls until its next
    // report. Returns whether that is new.
    bool mark_unreachable(const std::string& id);

    // The upstream of the last valid report; nullopt before the first one.
    [[nodiscard]] std::optional<upstream_report> current() const;

    // Whether new calls may be sent to the upstream.
    [[nodiscard]] bool takes_calls() const;

private:
    struct known_id
    {
        std::string id;
        // Empty before the first report.
        std::optional<report_order> last_order;
        bool withdrawn = false;
    };

    known_id& find_or_add(const std::string& id);
    // Return whether `current` changed.
    bool withdraw_start(const std::string& id, std::uint64_t started);
    bool set_current_leaving(const std::string& id);

    mutable std::mutex mutex_;
    std::optional<upstream_report> current_;
    bool reachable_ = true;
    bool knows_withdrawals_ = true;
    // Newest last; bounded by `max_known_ids`.
    std::deque<known_id> known_;
};

} // namespace nutmegusher::routed

#endif
