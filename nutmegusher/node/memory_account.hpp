// The memory that this process spends on requests and answers.
//
//     held_memory memory(account);
//     if (!memory.take(bytes)) refuse();
//
// Small requests and answers are never counted: each holder has `free_bytes`
// that cost no lock. Everything beyond comes from one `memory_budget`.
#ifndef NUTMEGUSHER_NODE_MEMORY_ACCOUNT_HPP
#define NUTMEGUSHER_NODE_MEMORY_ACCOUNT_HPP

#include "nutmegusher/base/base.hpp"
#include "nutmegusher/node/evictable.hpp"
#include "nutmegusher/node/settings.hpp"
#include "nutmegusher/policy/policy.hpp"
#include "nutmegusher/wire/wire.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegusher::node
{

// Counts the memory of all holders and ends those that must give way.
// Thread-safe.
class memory_account
{
public:
    // `name`: of this account in metrics and logs. `capacity`: bytes; called
    // before each decision.
    memory_account(
        std::string_view name, std::function<std::uint64_t()> capacity);

    // In the Prometheus text exposition format.
    [[nodiscard]] std::string exposition() const;

    [[nodiscard]] boost::json::value dump() const;

    // The most that one holder can have, bytes.
    [[nodiscard]] std::uint64_t largest_share() const;

private:
    friend class held_memory;

    using ender = std::function<void()>;

    [[nodiscard]] memory_holder open(memory_use use, ender end);
    void set_use(memory_holder id, memory_use use, ender end);
    void note_progress(memory_holder id);
    [[nodiscard]] bool take(memory_holder id, std::uint64_t bytes);
    void give_back(memory_holder id, std::uint64_t bytes);
    void close(memory_holder id);
    std::vector<ender> collect_enders(std::span<const memory_holder> evicted);

    const std::string name_;
    const std::function<std::uint64_t()> capacity_;
    mutable std::mutex mutex_;
    memory_budget budget_;
    std::unordered_map<memory_holder, ender> enders_;
    std::uint64_t refused_ = 0;
    std::uint64_t evicted_ = 0;
    std::uint64_t most_held_ = 0;
};

// The memory of one request or answer. Given back on destruction.
class held_memory
{
public:
    // For work that no caller delays.
    explicit held_memory(memory_account& account);

    // For a request that its caller sends. Requires: `owner` outlives this
    // object, unless `finish_arriving` or `await_reader` is called before.
    held_memory(memory_account& account, evictable& owner);

    held_memory(held_memory&& other) noexcept;
    held_memory& operator=(held_memory&& other) noexcept;
    ~held_memory();

    // Counts `bytes` more. Returns false, without counting them, if there is
    // no room for them or if this holder was evicted: the work must end.
    [[nodiscard]] bool take(std::uint64_t bytes);

    // Requires: as many bytes were taken.
    void give_back(std::uint64_t bytes);

    // Gives back all.
    void release();

    // The request has arrived: it isn't evicted any more.
    void finish_arriving();

    // The caller of `owner` reads the answer from now on.
    void await_reader(evictable& owner);

    // The reader has taken more of the answer.
    void note_progress();

    // Room that isn't counted: what a request with a usual head and a short
    // body needs.
    static constexpr std::uint64_t free_bytes = 8192;

private:
    [[nodiscard]] std::function<void()> make_ender() const;

    memory_account* account_;
    evictable* owner_ = nullptr;
    std::uint64_t bytes_ = 0;
    // Once more than `free_bytes` were taken.
    std::optional<memory_holder> holder_;
};

// Memory that a request's head takes while the request is read and sent on: as
// it was read, and as fields in a few copies.
[[nodiscard]] std::uint64_t memory_of_head(const wire::request_head& head);

// Bytes that requests and answers may use: two bodies of the largest size, or
// what the machine has beside the process's own needs and its callers'
// connections, if that is less. `max_body_bytes`: the configured limit; 0:
// none.
[[nodiscard]] std::uint64_t
request_memory_for(const limit_settings& limits, std::uint64_t max_body_bytes);

// Bytes that reports of upstreams and calls of operators may use: four of the
// largest documents.
inline constexpr std::uint64_t control_memory_bytes = 16ULL * 1024 * 1024;

} // namespace nutmegusher::node

#endif
