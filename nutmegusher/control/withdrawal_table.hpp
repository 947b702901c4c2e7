// The upstreams that have left their hosts, as far as control hosts were told.
#ifndef NUTMEGUSHER_CONTROL_WITHDRAWAL_TABLE_HPP
#define NUTMEGUSHER_CONTROL_WITHDRAWAL_TABLE_HPP

#include "nutmegusher/messages/configuration.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegusher
{

// A withdrawal names one lifetime of one upstream and is never undone; later
// lifetimes have another id or a later start.
//
//     withdrawal_table table;
//     table.add(withdrawal);
//     table.of_host("h7"); // what a daemon that starts there must know
//
// Not thread-safe.
class withdrawal_table
{
public:
    // Bounds the table at several withdrawals for each host of the largest
    // deployment: the oldest ones are removed, whose reports have long ended.
    static constexpr std::size_t default_limit = 65'536;

    explicit withdrawal_table(std::size_t limit = default_limit);

    // Returns false if the table already contains it.
    bool add(const messages::upstream_withdrawal& withdrawal);

    [[nodiscard]] bool
    contains(const messages::upstream_withdrawal& withdrawal) const;

    // Oldest first.
    [[nodiscard]] std::vector<messages::upstream_withdrawal>
    of_host(std::string_view host) const;

    // Oldest first.
    [[nodiscard]] std::vector<messages::upstream_withdrawal> all() const;

private:
    struct lifetime
    {
        std::string upstream;
        std::uint64_t started = 0;
    };

    void remove_oldest();

    std::size_t limit_;
    // Oldest first.
    std::map<std::string, std::deque<lifetime>, std::less<>> by_host_;
    // The host of each withdrawal, oldest first.
    std::deque<std::string> order_;
};

} // namespace nutmegusher

#endif
