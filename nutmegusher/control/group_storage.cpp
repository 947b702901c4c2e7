#include "nutmegusher/control/group_storage.hpp"

namespace nutmegusher::internal
{

void merge_frame(recovered_log& log, messages::log_frame frame)
{
    if (frame.has_state())
    {
        log.state = std::move(*frame.mutable_state());
    }
    auto& entries = log.entries;
    for (auto& entry : *frame.mutable_entries())
    {
        while (!entries.empty() && entries.back().index() >= entry.index())
        {
            entries.pop_back();
        }
        entries.push_back(std::move(entry));
    }
}

bool drop_replaced_entries(recovered_log& log)
{
    auto& entries = log.entries;
    const auto index = log.base.last_index();
    if (entries.empty() || entries.front().index() > index)
    {
        return false;
    }
    const auto position = index - entries.front().index();
    if (position < entries.size() &&
        entries[position].term() == log.base.last_term())
    {
        return false;
    }
    entries.clear();
    return true;
}

void log_tail_cut(
    std::string_view file, std::uint64_t offset, std::uint64_t bytes)
{
    log_event(
        event::control_log_tail_cut,
        {{"file", file}, {"offset", offset}, {"bytes", bytes}});
}

} // namespace nutmegusher::internal
