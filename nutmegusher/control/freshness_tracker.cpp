#include "nutmegusher/control/freshness_tracker.hpp"

#include <algorithm>

namespace nutmegusher
{

void freshness_tracker::add_proof(log_index commit, time_point as_of)
{
    if (commit <= applied_index_)
    {
        as_of_ = std::max(as_of_, as_of);
        return;
    }
    const bool is_newer = waiting_.empty() || as_of > waiting_.back().as_of;
    if (!is_newer)
    {
        return;
    }
    if (!waiting_.empty() && waiting_.back().commit >= commit)
    {
        waiting_.back().as_of = as_of;
        return;
    }
    // When full, drops the new proof: the earlier ones are reached first.
    if (waiting_.size() < max_waiting)
    {
        waiting_.push_back({commit, as_of});
    }
}

void freshness_tracker::applied(log_index index)
{
    applied_index_ = index;
    while (!waiting_.empty() && waiting_.front().commit <= index)
    {
        as_of_ = std::max(as_of_, waiting_.front().as_of);
        waiting_.pop_front();
    }
}

} // namespace nutmegusher
