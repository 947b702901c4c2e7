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

// One report of an upstream.
struct upstream_report
{
    // Another one for each start of the upstream's process.
    std::string id;
    service_name service;
    boost::asio::ip::tcp::endpoint address;
    // Calls that it works on at once.
    std::size_t slots = 0;
    // Rises with each report of one id.
    std::uint64_t sequence = 0;
    bool leaving = false;
    // How much longer it is slow after its start.
    duration cold_for{0};
};

// Which upstream is meant now. Safe from every thread.
//
// Reports may come late, also after their sender has ended and another one has
// started at the same address: a report that isn't newer than the last of its
// id changes nothing, and an id that was replaced comes back only by a newer
// report of its own.
class local_upstream
{
public:
    // True where the report changed what `current` gives.
    bool report(const upstream_report& said);

    // It says that it is gone; it may still work on what it has.
    bool withdraw(const std::string& id);

    // It didn't take a connection: nothing is sent there until it reports.
    bool unreachable(const std::string& id);

    // The upstream of the last valid report; nothing before the first one.
    [[nodiscard]] std::optional<upstream_report> current() const;

    // Whether new calls may be sent to it.
    [[nodiscard]] bool takes_calls() const;

private:
    struct known_id
    {
        std::string id;
        std::uint64_t sequence = 0;
        bool withdrawn = false;
    };

    known_id& remember(const std::string& id);

    mutable std::mutex mutex_;
    std::optional<upstream_report> current_;
    bool reachable_ = true;
    // The newest last; bounded.
    std::deque<known_id> known_;
};

} // namespace nutmegusher::routed

#endif
