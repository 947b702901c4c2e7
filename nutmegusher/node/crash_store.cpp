#include "nutmegusher/node/crash_store.hpp"

namespace nutmegusher::node
{

std::string encode_crashes(
    std::span<const crash_record> records,
    time_point now,
    std::uint64_t wall_ms)
{
    messages::kept_crashes stored;
    stored.set_written_at_ms(wall_ms);
    for (const auto& each : records)
    {
        *stored.add_records() = to_message(each, now);
    }
    std::string bytes;
    append_frame(bytes, stored.SerializeAsString());
    return bytes;
}

std::vector<crash_record>
decode_crashes(std::string_view bytes, time_point now, std::uint64_t wall_ms)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::vector<crash_record>>
        {
            BOOST_LEAF_AUTO(content, single_frame(bytes, crash_file));
            messages::kept_crashes stored;
            std::vector<crash_record> records;
            const bool readable = stored.ParseFromArray(
                content.data(), static_cast<int>(content.size()));
            if (!readable)
            {
                return records;
            }
            const auto written_at = std::min(stored.written_at_ms(), wall_ms);
            const std::chrono::milliseconds elapsed(wall_ms - written_at);
            for (const auto& each : stored.records())
            {
                records.push_back(from_message(each, now - elapsed));
            }
            return records;
        },
        []
        {
            return std::vector<crash_record>();
        });
}

} // namespace nutmegusher::node
