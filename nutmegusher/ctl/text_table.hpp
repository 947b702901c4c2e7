// Formats tables for a terminal.
#ifndef NUTMEGUSHER_CTL_TEXT_TABLE_HPP
#define NUTMEGUSHER_CTL_TEXT_TABLE_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace nutmegusher::ctl
{

// A header and rows. Each column is as wide as its widest cell.
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    // Missing cells stay empty; cells beyond the header are dropped.
    void add(std::vector<std::string> row);

    [[nodiscard]] bool empty() const
    {
        return rows_.size() == 1;
    }

    // Each line starts with `indent` spaces.
    void print(std::ostream& out, std::size_t indent = 0) const;

private:
    // The header is the first row.
    std::vector<std::vector<std::string>> rows_;
};

} // namespace nutmegusher::ctl

#endif
