#include "nutmegusher/ctl/text_table.hpp"

#include <algorithm>
#include <ostream>
#include <utility>

namespace nutmegusher::ctl
{

text_table::text_table(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> row)
{
    row.resize(rows_.front().size());
    rows_.push_back(std::move(row));
}

void text_table::print(std::ostream& out, std::size_t indent) const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : rows_)
    {
        std::string line(indent, ' ');
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            line += row[column];
            line.append(widths[column] - row[column].size() + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace nutmegusher::ctl
