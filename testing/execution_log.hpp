// Counts a stand-in upstream's executions by key and by token. The oracle
// checks callers' answers against them.
#ifndef NUTMEGUSHER_TESTING_EXECUTION_LOG_HPP
#define NUTMEGUSHER_TESTING_EXECUTION_LOG_HPP

#include "nutmegusher/base/base.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace nutmegusher::test_support
{

// Identifies a call; members that the call doesn't carry are empty.
struct execution_identity
{
    // "customer/class/idempotency key".
    std::string key;
    // The caller's token, header `x-token`.
    std::string token;
    // Header `nutmeg-request-id`.
    std::string request;
};

struct execution_count
{
    std::uint32_t started = 0;
    std::uint32_t finished = 0;
};

using execution_counts = std::map<std::string, execution_count, std::less<>>;

// Counts the starts and ends of executions; with a journal the counts survive
// a kill of the process. Thread-safe.
class execution_log
{
public:
    // Empty `journal`: in memory only. Otherwise loads the file's executions
    // and appends new ones.
    [[nodiscard]] static outcome<
        std::unique_ptr<execution_log>,
        boost::system::error_code>
    open(const std::string& journal);

    ~execution_log();
    execution_log(const execution_log&) = delete;
    execution_log& operator=(const execution_log&) = delete;

    void started(const execution_identity& identity);
    void finished(const execution_identity& identity);

    [[nodiscard]] execution_counts by_key() const;
    [[nodiscard]] execution_counts by_token() const;
    [[nodiscard]] execution_counts by_request() const;
    [[nodiscard]] execution_count total() const;

    // {"total": {..}, "by_key": {k: {"started", "finished"}}, ...}
    [[nodiscard]] std::string to_json() const;

private:
    explicit execution_log(int journal);

    void count(char mark, const execution_identity& identity);
    void write_line(char mark, const execution_identity& identity) const;

    int journal_;
    mutable std::mutex mutex_;
    execution_count total_;
    execution_counts by_key_;
    execution_counts by_token_;
    execution_counts by_request_;
};

// The counts of one journal file; empty if it doesn't exist.
[[nodiscard]] execution_counts read_journal_by_key(const std::string& journal);
[[nodiscard]] execution_counts
read_journal_by_token(const std::string& journal);

} // namespace nutmegusher::test_support

#endif
