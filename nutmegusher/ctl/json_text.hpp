// JSON as a person reads it.
#ifndef NUTMEGUSHER_CTL_JSON_TEXT_HPP
#define NUTMEGUSHER_CTL_JSON_TEXT_HPP

#include <boost/json/value.hpp>

#include <iosfwd>

namespace nutmegusher::ctl
{

// Objects become lines of `name: value`, lists of objects become tables, and
// what lies deeper is indented.
void print_text(std::ostream& out, const boost::json::value& value);

// On one line; for `--json`.
void print_json(std::ostream& out, const boost::json::value& value);

} // namespace nutmegusher::ctl

#endif
