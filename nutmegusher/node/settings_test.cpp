#include "nutmegusher/node/settings.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace nutmegusher::node
{
namespace
{

constexpr std::string_view valid_settings = R"([host]
id = a1
data_center = karachi-1
region = pakistan

[listen]
# a comment
callers = 127.0.0.1:8080
peers = 127.0.0.1:8082
operators = 127.0.0.1:8083

[control_hosts]
addresses = 127.0.0.1:7002, 127.0.0.2:7002
)";

// Parses `text`, which must be rejected, and returns the error.
settings_error error_of(const std::string& text)
{
    settings_error seen;
    const bool refused = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(parse_settings("n.ini", text));
            return false;
        },
        [&](const settings_error& error)
        {
            seen = error;
            return true;
        },
        []
        {
            return false;
        });
    EXPECT_TRUE(refused) << text;
    return seen;
}

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text(valid_settings);
    text.replace(text.find(from), from.size(), to);
    return text;
}

TEST(settings, reads_all_sections)
{
    const auto read = parse_settings("n.ini", valid_settings);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->host.id, host_id("a1"));
    EXPECT_EQ(read->listen.callers->port(), 8080);
    EXPECT_FALSE(read->listen.upstream);
    EXPECT_EQ(read->control_hosts.size(), 2U);
    EXPECT_FALSE(read->control);
}

TEST(settings, names_line_and_key_of_a_bad_address)
{
    const auto error = error_of(replaced("127.0.0.1:8082", "localhost:8082"));
    EXPECT_EQ(error.problem, settings_problem::bad_address);
    EXPECT_EQ(error.line, 9U);
    EXPECT_EQ(
        to_string(error),
        "n.ini:9: [listen] peers: 'localhost:8082' isn't ip:port");
}

TEST(settings, refuses_what_it_does_not_know)
{
    EXPECT_EQ(
        error_of(replaced("[listen]", "[listeners]")).problem,
        settings_problem::unknown_section);
    const auto error = error_of(replaced("peers =", "pears ="));
    EXPECT_EQ(error.problem, settings_problem::unknown_key);
    EXPECT_EQ(error.line, 9U);
}

TEST(settings, refuses_missing_repeated_and_malformed_keys)
{
    EXPECT_EQ(
        error_of(replaced("id = a1\n", "")).problem,
        settings_problem::missing_key);
    EXPECT_EQ(
        error_of(replaced("id = a1\n", "id = a1\nid = a2\n")).problem,
        settings_problem::repeated_key);
    EXPECT_EQ(
        error_of(replaced("id = a1\n", "id\n")).problem,
        settings_problem::not_ini);
    EXPECT_EQ(
        error_of(replaced("a1", "a 1")).problem, settings_problem::bad_name);
    EXPECT_EQ(
        error_of(replaced("127.0.0.1:7002, 127.0.0.2:7002", ",")).problem,
        settings_problem::empty_list);
}

TEST(settings, refuses_numbers_out_of_range)
{
    const auto with = [](std::string_view line)
    {
        return std::string(valid_settings) + "[limits]\n" + std::string(line) +
               "\n";
    };
    EXPECT_EQ(
        error_of(with("connections = many")).problem,
        settings_problem::bad_number);
    EXPECT_EQ(
        error_of(with("connections = 0")).problem,
        settings_problem::out_of_range);
    EXPECT_EQ(
        error_of(with("connections = 99999999999")).problem,
        settings_problem::out_of_range);
}

TEST(settings, reads_a_control_host)
{
    const auto read = parse_settings(
        "n.ini",
        std::string(valid_settings) +
            "[control]\ndata_folder = /var/lib/nutmegusher\n"
            "initial = c1=127.0.0.1:7002, c2=127.0.0.2:7002\nrole = relay\n");
    ASSERT_TRUE(read);
    ASSERT_TRUE(read->control);
    EXPECT_EQ(read->control->initial[1].host, host_id("c2"));
    EXPECT_FALSE(read->control->voter);
}

TEST(settings, unreadable_file_is_named)
{
    const bool named = leaf::try_handle_all(
        []() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(read_settings("no-such-folder/n.ini"));
            return false;
        },
        [](const settings_error& error)
        {
            return error.problem == settings_problem::unreadable_file &&
                   error.file == "no-such-folder/n.ini";
        },
        []
        {
            return false;
        });
    EXPECT_TRUE(named);
}

std::string read_doc(std::string_view name)
{
    std::ifstream in(std::string(NUTMEGUSHER_DOCS) + "/" + std::string(name));
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

TEST(settings, the_reference_names_every_key_with_its_default)
{
    const auto page = read_doc("SETTINGS.md");
    for (const auto& known : known_settings())
    {
        const auto row = "| `" + std::string(known.key) + "` | " +
                         (known.default_value.empty()
                              ? std::string("—")
                              : "`" + std::string(known.default_value) + "`") +
                         " | " + std::string(known.meaning);
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}

TEST(events, the_catalogue_names_every_event)
{
    const auto page = read_doc("EVENTS.md");
    for (const auto& known : all_events())
    {
        const auto row = "| " + std::to_string(static_cast<int>(known.id)) +
                         " | `" + std::string(known.name) + "` |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}

} // namespace
} // namespace nutmegusher::node
