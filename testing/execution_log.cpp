#include "testing/execution_log.hpp"

#include <boost/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>

namespace nutmegusher::test_support
{

namespace json = boost::json;

namespace
{

constexpr char start_mark = 'S';
constexpr char finish_mark = 'F';
constexpr mode_t journal_mode = 0644;

void add(execution_counts& counts, const std::string& name, char mark)
{
    if (name.empty())
    {
        return;
    }
    auto& entry = counts[name];
    ++(mark == start_mark ? entry.started : entry.finished);
}

json::object to_object(const execution_count& count)
{
    return {{"started", count.started}, {"finished", count.finished}};
}

json::object to_object(const execution_counts& counts)
{
    json::object object;
    for (const auto& [name, entry] : counts)
    {
        object[name] = to_object(entry);
    }
    return object;
}

struct journal_line
{
    char mark = 0;
    execution_identity identity;
};

// Lines are "mark\tkey\ttoken\trequest"; an incomplete last line is skipped.
template <class Visit>
void for_each_line(const std::string& journal, Visit visit)
{
    std::ifstream file(journal);
    std::string text;
    while (std::getline(file, text) && !file.eof())
    {
        const auto first = text.find('\t');
        const auto second = text.find('\t', first + 1);
        const auto third = text.find('\t', second + 1);
        if (third == std::string::npos)
        {
            continue;
        }
        visit(journal_line{
            text.front(),
            {text.substr(first + 1, second - first - 1),
             text.substr(second + 1, third - second - 1),
             text.substr(third + 1)}});
    }
}

} // namespace

outcome<std::unique_ptr<execution_log>, boost::system::error_code>
execution_log::open(const std::string& journal)
{
    if (journal.empty())
    {
        return std::unique_ptr<execution_log>(new execution_log(-1));
    }
    const int file = ::open(
        journal.c_str(),
        O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
        journal_mode);
    if (file < 0)
    {
        return boost::system::error_code(
            errno, boost::system::system_category());
    }
    std::unique_ptr<execution_log> log(new execution_log(file));
    for_each_line(
        journal,
        [&log](const journal_line& line)
        {
            log->count(line.mark, line.identity);
        });
    return log;
}

execution_log::execution_log(int journal)
    : journal_(journal)
{
}

execution_log::~execution_log()
{
    if (journal_ >= 0)
    {
        ::close(journal_);
    }
}

void execution_log::started(const execution_identity& identity)
{
    const std::scoped_lock lock(mutex_);
    write_line(start_mark, identity);
    count(start_mark, identity);
}

void execution_log::finished(const execution_identity& identity)
{
    const std::scoped_lock lock(mutex_);
    write_line(finish_mark, identity);
    count(finish_mark, identity);
}

void execution_log::count(char mark, const execution_identity& identity)
{
    ++(mark == start_mark ? total_.started : total_.finished);
    add(by_key_, identity.key, mark);
    add(by_token_, identity.token, mark);
    add(by_request_, identity.request, mark);
}

void execution_log::write_line(
    char mark, const execution_identity& identity) const
{
    if (journal_ < 0)
    {
        return;
    }
    const std::string line = std::string(1, mark) + '\t' + identity.key + '\t' +
                             identity.token + '\t' + identity.request + '\n';
    [[maybe_unused]] const auto written =
        ::write(journal_, line.data(), line.size());
}

execution_counts execution_log::by_key() const
{
    const std::scoped_lock lock(mutex_);
    return by_key_;
}

execution_counts execution_log::by_token() const
{
    const std::scoped_lock lock(mutex_);
    return by_token_;
}

execution_counts execution_log::by_request() const
{
    const std::scoped_lock lock(mutex_);
    return by_request_;
}

execution_count execution_log::total() const
{
    const std::scoped_lock lock(mutex_);
    return total_;
}

std::string execution_log::to_json() const
{
    const std::scoped_lock lock(mutex_);
    const json::object object{
        {"total", to_object(total_)},
        {"by_key", to_object(by_key_)},
        {"by_token", to_object(by_token_)},
        {"by_request", to_object(by_request_)}};
    return json::serialize(object);
}

execution_counts read_journal_by_key(const std::string& journal)
{
    execution_counts counts;
    for_each_line(
        journal,
        [&counts](const journal_line& line)
        {
            add(counts, line.identity.key, line.mark);
        });
    return counts;
}

execution_counts read_journal_by_token(const std::string& journal)
{
    execution_counts counts;
    for_each_line(
        journal,
        [&counts](const journal_line& line)
        {
            add(counts, line.identity.token, line.mark);
        });
    return counts;
}

} // namespace nutmegusher::test_support
