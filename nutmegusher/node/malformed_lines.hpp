// For tests: lines that no head of an answer may have (RFC 9112, section 5.1).
#ifndef NUTMEGUSHER_NODE_MALFORMED_LINES_HPP
#define NUTMEGUSHER_NODE_MALFORMED_LINES_HPP

#include <string>
#include <vector>

namespace nutmegusher::node::test
{

struct malformed_line_case
{
    const char* name;
    // To follow the status line.
    std::string line;
};

inline std::vector<malformed_line_case> all_malformed_lines()
{
    return {
        {"blank_at_the_start", " x: b"},
        {"tab_at_the_start", "\tx: b"},
        {"blank_in_name", "x a: b"},
        {"blank_before_colon", "content-length : 2"},
        {"tab_before_colon", "content-length\t: 2"},
        {"tab_in_name", "x\ta: b"},
        {"control_byte_in_name", "x\x01: b"},
        {"nul_in_name", std::string("x\0: b", 5)},
        {"del_in_name", "x\x7f: b"},
        {"carriage_return_in_name", "x\ra: b"},
        {"no_name", ": b"},
        {"no_colon", "x"}};
}

} // namespace nutmegusher::node::test

#endif
