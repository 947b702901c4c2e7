#include "nutmegusher/node/connection_table.hpp"

#include <utility>

namespace nutmegusher::node
{

connection_table::connection_table(std::size_t most)
    : most_(most)
{
}

bool connection_table::make_room(time_point now)
{
    return !is_full() || end_longest_waiting(now);
}

bool connection_table::end_longest_waiting(time_point now)
{
    entry* longest = nullptr;
    for (auto* const each : entries_)
    {
        const bool is_stalled = !each->ending_ && each->waiting_ &&
                                now - *each->waiting_since_ >= stall_time;
        if (is_stalled && (longest == nullptr ||
                           each->waiting_since_ < longest->waiting_since_))
        {
            longest = each;
        }
    }
    if (longest == nullptr)
    {
        return false;
    }
    longest->ending_ = true;
    ++ending_;
    longest->end_();
    return true;
}

connection_table::entry::entry(
    std::shared_ptr<connection_table> table, std::function<void()> end)
    : table_(std::move(table))
    , end_(std::move(end))
{
    table_->entries_.insert(this);
}

connection_table::entry::~entry()
{
    table_->entries_.erase(this);
    table_->ending_ -= ending_ ? 1 : 0;
}

void connection_table::entry::wait_for_caller(time_point now)
{
    if (!waiting_since_)
    {
        waiting_since_ = now;
    }
    waiting_ = true;
}

void connection_table::entry::pause()
{
    waiting_ = false;
}

void connection_table::entry::stop_waiting()
{
    waiting_since_.reset();
    waiting_ = false;
}

} // namespace nutmegusher::node
