// The upstream on this host, as it reports itself.
#ifndef NUTMEGUSHER_ROUTED_LOCAL_UPSTREAM_HPP
#define NUTMEGUSHER_ROUTED_LOCAL_UPSTREAM_HPP

#include "nutmegusher/base/base.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace nutmegusher::routed
{

// Where a report stands among all that an upstream says under its id: a later
// start goes before a higher count, as the count begins anew with each start.
struct report_order
{
    // When the upstream's process started, by its own clock; milliseconds since
    // the Unix epoch, 0 where it doesn't tell. Compared only with itself.
    std::uint64_t started = 0;
    // Rises with each report of one start.
    std::uint64_t count = 0;

    friend auto operator<=>(const report_order&, const report_order&) = default;
};

// One report of an upstream.
struct upstream_report
{
    // It may start again under the same id.
    std::string id;
    service_name service;
    boost::asio::ip::tcp::endpoint address;
    // Calls that it works on at once.
    std::size_t slots = 0;
    report_order order;
    bool leaving = false;
    // How much longer it is slow after its start.
    duration warm_up_remaining{0};
};

// What a report changed.
enum class report_effect : std::uint8_t
{
    // It is late, or says what is known.
    none,
    changed,
    // Another process than before reports: it holds nothing of what the
    // earlier one was given.
    started
};

// Which upstream is meant now. Safe from every thread.
//
// Reports may come late, also after their sender has ended and another one has
// started at the same address: a report that isn't newer than the last of its
// id changes nothing, and an id that was replaced comes back only by a newer
// report of its own. A later start under the same id makes all void that the
// earlier one said, its leaving and withdrawal too.
class local_upstream
{
public:
    report_effect report(const upstream_report& new_report);

    // It says that it is gone; it may still work on what it has. `started`:
    // the start that says so, 0 where it doesn't tell; that of an earlier
    // start changes nothing. True where `current` changed.
    bool withdraw(const std::string& id, std::uint64_t started = 0);

    // It didn't take a connection: nothing is sent there until it reports.
    bool mark_unreachable(const std::string& id);

    // The upstream of the last valid report; nothing before the first one.
    [[nodiscard]] std::optional<upstream_report> current() const;

    // Whether new calls may be sent to it.
    [[nodiscard]] bool takes_calls() const;

private:
    struct known_id
    {
        std::string id;
        // Nothing before its first report.
        std::optional<report_order> last_order;
        bool withdrawn = false;
    };

    known_id& find_or_add(const std::string& id);

    mutable std::mutex mutex_;
    std::optional<upstream_report> current_;
    bool reachable_ = true;
    // The newest last; bounded.
    std::deque<known_id> known_;
};

} // namespace nutmegusher::routed

#endif
