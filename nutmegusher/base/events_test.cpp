#include "nutmegusher/base/base.hpp"

#include <gtest/gtest.h>

#include <array>

namespace nutmegusher
{
namespace
{

TEST(events, numbers_rise_and_names_differ)
{
    const auto events = all_events();
    for (std::size_t i = 1; i < events.size(); ++i)
    {
        EXPECT_LT(events[i - 1].id, events[i].id);
        EXPECT_NE(events[i - 1].name, events[i].name);
    }
}

TEST(events, json_escapes_untrusted_values)
{
    const std::array fields{event_field{"key", std::string_view("a\"b\n")}};
    EXPECT_EQ(
        format_event(log_format::json, event::process_started, fields),
        "{\"event\":100,\"name\":\"process_started\",\"level\":\"info\","
        "\"key\":\"a\\\"b\\u000a\"}");
}

TEST(events, text_is_one_line_of_pairs)
{
    const std::array fields{event_field{"term", std::uint64_t{7}}};
    EXPECT_EQ(
        format_event(log_format::text, event::control_stepped_down, fields),
        "event=204 name=control_stepped_down level=warning term=7");
}

} // namespace
} // namespace nutmegusher
