// The open connections of a listener, and which of them gives way when there
// are too many.
//
//     auto table = std::make_shared<connection_table>(3000);
//     if (!table->make_room(now)) close(socket);
//     connection_table::entry entry(table, [] { end_connection(); });
//     entry.wait_for_caller(now);   // nothing happens until the caller acts
//     entry.pause();                // it has begun to
//     entry.stop_waiting();         // it has
//
// Pattern of load: callers that open connections and send nothing, or stop
// within a request, until no connection is left for others.
//
// The connection whose caller has been waited for longest is ended, if that has
// taken `stall_time`. One whose request is being handled never is.
#ifndef NUTMEGUSHER_NODE_CONNECTION_TABLE_HPP
#define NUTMEGUSHER_NODE_CONNECTION_TABLE_HPP

#include "nutmegusher/base/clock.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace nutmegusher::node
{

class connection_table
{
public:
    // A connection, from its acceptance to its end.
    class entry
    {
    public:
        // `end` ends the connection soon.
        entry(
            std::shared_ptr<connection_table> table, std::function<void()> end);
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;
        ~entry();

        // The caller has to send, or to read. Counts from `now`, or from the
        // first such call since `stop_waiting`.
        void wait_for_caller(time_point now);
        // The process is at work on what the caller has sent up to now.
        void pause();
        void stop_waiting();

        // Whether the connection was told to end.
        [[nodiscard]] bool is_ending() const
        {
            return ending_;
        }

    private:
        friend class connection_table;

        const std::shared_ptr<connection_table> table_;
        std::function<void()> end_;
        std::optional<time_point> waiting_since_;
        bool waiting_ = false;
        bool ending_ = false;
    };

    // `most`: connections at a time.
    explicit connection_table(std::size_t most);

    // Whether another connection may be opened. Ends one for it, if there are
    // as many as there may be.
    [[nodiscard]] bool make_room(time_point now);

    // Ends the connection whose caller has been waited for longest. Returns
    // false if no caller has been waited for so long.
    bool end_longest_waiting(time_point now);

    [[nodiscard]] std::size_t size() const
    {
        return entries_.size();
    }

    // Whether a further connection needs another one's place.
    [[nodiscard]] bool is_full() const
    {
        return entries_.size() - ending_ >= most_;
    }

    // Longer than a lost packet takes to be sent again, twice.
    static constexpr duration stall_time = std::chrono::seconds(1);

private:
    const std::size_t most_;
    std::set<entry*> entries_;
    std::size_t ending_ = 0;
};

} // namespace nutmegusher::node

#endif
