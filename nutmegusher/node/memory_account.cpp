#include "nutmegusher/node/memory_account.hpp"

#include <boost/json/object.hpp>

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace nutmegusher::node
{

namespace
{

// What the process needs beside requests: its state, and
// `control_memory_bytes`.
constexpr std::uint64_t own_bytes = 48ULL * 1024 * 1024;
// On a machine that has no more, requests still get this part of it.
constexpr std::uint64_t least_part = 8;
// A head as the parser has it, as the handler reads it, as it is forwarded, and
// in the message to the next process.
constexpr std::uint64_t head_copies = 4;
// Of one field, beside its text.
constexpr std::uint64_t field_bytes = head_copies * sizeof(wire::header);
constexpr std::uint64_t bytes_per_mb = 1000 * 1000;
constexpr std::uint64_t default_max_body_bytes = 64ULL * 1024 * 1024;

std::uint64_t machine_bytes(const limit_settings& limits)
{
    if (limits.memory_mb > 0)
    {
        return limits.memory_mb * bytes_per_mb;
    }
    static const auto physical =
        static_cast<std::uint64_t>(::sysconf(_SC_PHYS_PAGES)) *
        static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
    return physical;
}

} // namespace

std::uint64_t memory_of_head(const wire::request_head& head)
{
    std::uint64_t bytes = head.path.size() * head_copies;
    for (const auto& field : head.fields)
    {
        bytes += (field.name.size() + field.value.size()) * head_copies +
                 field_bytes;
    }
    return bytes;
}

std::uint64_t
request_memory_for(const limit_settings& limits, std::uint64_t max_body_bytes)
{
    const auto machine = machine_bytes(limits);
    const auto reserved =
        own_bytes +
        static_cast<std::uint64_t>(limits.connections) * limits.header_bytes;
    const auto least = machine / least_part;
    const auto room = machine > reserved + least ? machine - reserved : least;
    const auto largest =
        max_body_bytes == 0 ? default_max_body_bytes : max_body_bytes;
    return std::min(room, 2 * largest);
}

memory_account::memory_account(
    std::string_view name, std::function<std::uint64_t()> capacity)
    : name_(name)
    , capacity_(std::move(capacity))
    , budget_(0)
{
}

std::string memory_account::exposition() const
{
    const std::scoped_lock lock(mutex_);
    const auto line = [this](std::string_view metric, std::uint64_t value)
    {
        return "nutmegusher_" + std::string(metric) + "{account=\"" + name_ +
               "\"} " + std::to_string(value) + "\n";
    };
    return line("memory_held_bytes", budget_.held()) +
           line("memory_capacity_bytes", capacity_()) +
           line("memory_refused_total", refused_) +
           line("memory_evicted_total", evicted_);
}

boost::json::value memory_account::dump() const
{
    const std::scoped_lock lock(mutex_);
    return boost::json::object{
        {"held", budget_.held()},
        {"most_held", most_held_},
        {"capacity", capacity_()},
        {"refused", refused_},
        {"evicted", evicted_}};
}

std::uint64_t memory_account::largest_share() const
{
    return memory_budget(capacity_()).largest_share();
}

memory_holder memory_account::open(memory_use use, ender end)
{
    const std::scoped_lock lock(mutex_);
    const auto now = host_clock().now();
    const auto id = budget_.open(now);
    budget_.set_use(id, use, now);
    enders_[id] = std::move(end);
    return id;
}

void memory_account::set_use(memory_holder id, memory_use use, ender end)
{
    const std::scoped_lock lock(mutex_);
    budget_.set_use(id, use, host_clock().now());
    enders_[id] = std::move(end);
}

void memory_account::note_progress(memory_holder id)
{
    const std::scoped_lock lock(mutex_);
    budget_.set_use(id, memory_use::unread, host_clock().now());
}

bool memory_account::take(memory_holder id, std::uint64_t bytes)
{
    std::vector<ender> enders;
    std::uint64_t held = 0;
    bool granted = false;
    {
        const std::scoped_lock lock(mutex_);
        budget_.set_capacity(capacity_());
        const auto decision = budget_.take(id, bytes, host_clock().now());
        granted = decision.granted;
        held = budget_.held();
        most_held_ = std::max(most_held_, held);
        refused_ += granted ? 0 : 1;
        evicted_ += decision.evicted.size();
        enders = collect_enders(decision.evicted);
    }
    if (!granted || !enders.empty())
    {
        log_event(
            event::memory_short,
            {{"account", name_},
             {"held", held},
             {"asked", bytes},
             {"refused", !granted},
             {"evicted", static_cast<std::uint64_t>(enders.size())}});
    }
    for (const auto& end : enders)
    {
        end();
    }
    return granted;
}

void memory_account::give_back(memory_holder id, std::uint64_t bytes)
{
    const std::scoped_lock lock(mutex_);
    budget_.give_back(id, bytes);
}

void memory_account::close(memory_holder id)
{
    const std::scoped_lock lock(mutex_);
    budget_.close(id);
    enders_.erase(id);
}

std::vector<memory_account::ender>
memory_account::collect_enders(std::span<const memory_holder> evicted)
{
    std::vector<ender> enders;
    for (const auto each : evicted)
    {
        if (auto& end = enders_[each])
        {
            enders.push_back(std::move(end));
        }
    }
    return enders;
}

held_memory::held_memory(memory_account& account)
    : account_(&account)
{
}

held_memory::held_memory(memory_account& account, evictable& owner)
    : account_(&account)
    , owner_(&owner)
{
}

held_memory::held_memory(held_memory&& other) noexcept
    : account_(other.account_)
    , owner_(other.owner_)
    , bytes_(std::exchange(other.bytes_, 0))
    , holder_(std::exchange(other.holder_, std::nullopt))
{
}

held_memory& held_memory::operator=(held_memory&& other) noexcept
{
    if (this != &other)
    {
        release();
        account_ = other.account_;
        owner_ = other.owner_;
        bytes_ = std::exchange(other.bytes_, 0);
        holder_ = std::exchange(other.holder_, std::nullopt);
    }
    return *this;
}

held_memory::~held_memory()
{
    release();
}

bool held_memory::take(std::uint64_t bytes)
{
    if (!holder_ && bytes_ + bytes <= free_bytes)
    {
        bytes_ += bytes;
        return true;
    }
    auto asked = bytes;
    if (!holder_)
    {
        const auto use =
            owner_ == nullptr ? memory_use::in_use : memory_use::arriving;
        holder_ = account_->open(use, make_ender());
        asked += bytes_;
    }
    if (!account_->take(*holder_, asked))
    {
        return false;
    }
    bytes_ += bytes;
    return true;
}

void held_memory::give_back(std::uint64_t bytes)
{
    bytes_ -= bytes;
    if (holder_)
    {
        account_->give_back(*holder_, bytes);
    }
}

void held_memory::finish_arriving()
{
    owner_ = nullptr;
    if (holder_)
    {
        account_->set_use(*holder_, memory_use::in_use, nullptr);
    }
}

void held_memory::await_reader(evictable& owner)
{
    owner_ = &owner;
    if (holder_)
    {
        account_->set_use(*holder_, memory_use::unread, make_ender());
    }
}

void held_memory::note_progress()
{
    if (holder_)
    {
        account_->note_progress(*holder_);
    }
}

std::function<void()> held_memory::make_ender() const
{
    return owner_ == nullptr ? nullptr : owner_->make_ender();
}

void held_memory::release()
{
    if (holder_)
    {
        account_->close(*std::exchange(holder_, std::nullopt));
    }
    bytes_ = 0;
}

} // namespace nutmegusher::node
