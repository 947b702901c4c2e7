// Prints JSON values for a terminal.
#ifndef NUTMEGUSHER_CTL_JSON_TEXT_HPP
#define NUTMEGUSHER_CTL_JSON_TEXT_HPP

#include <boost/json/value.hpp>

#include <iosfwd>

namespace nutmegusher::ctl
{

// Prints objects as lines of `name: value` and lists of objects as tables.
// Nested values are indented.
void print_text(std::ostream& out, const boost::json::value& value);

// Prints the value as JSON on one line, for `--json`.
void print_json(std::ostream& out, const boost::json::value& value);

} // namespace nutmegusher::ctl

#endif
