#include "nutmegusher/control/current_knowledge.hpp"

#include <algorithm>

namespace nutmegusher
{

void current_knowledge::proved(log_index commit, time_point as_of)
{
    if (commit <= applied_)
    {
        as_of_ = std::max(as_of_, as_of);
        return;
    }
    const bool is_news = waiting_.empty() || as_of > waiting_.back().as_of;
    if (!is_news)
    {
        return;
    }
    if (!waiting_.empty() && waiting_.back().commit >= commit)
    {
        waiting_.back().as_of = as_of;
        return;
    }
    // The earlier ones are reached first.
    if (waiting_.size() < most_waiting)
    {
        waiting_.push_back({commit, as_of});
    }
}

void current_knowledge::applied(log_index index)
{
    applied_ = index;
    while (!waiting_.empty() && waiting_.front().commit <= index)
    {
        as_of_ = std::max(as_of_, waiting_.front().as_of);
        waiting_.pop_front();
    }
}

} // namespace nutmegusher
