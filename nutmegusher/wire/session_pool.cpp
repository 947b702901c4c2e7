#include "nutmegusher/wire/session_pool.hpp"

#include "nutmegusher/wire/signal.hpp"
#include "nutmegusher/wire/task_group.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <utility>

namespace nutmegusher::wire
{
namespace internal
{

using session_ptr = std::shared_ptr<client_session>;
using session_result = outcome<session_ptr, stream_failure>;

// An endpoint and a traffic kind; identifies a pool entry.
struct pool_key
{
    tcp::endpoint peer;
    traffic kind;

    friend bool operator<(const pool_key& left, const pool_key& right)
    {
        return std::tie(left.peer, left.kind) <
               std::tie(right.peer, right.kind);
    }
};

struct pool_entry
{
    std::vector<session_ptr> sessions;
    // Callers that wait for the connect in progress.
    std::list<signal*> waiters;
    bool connecting = false;
    // The number of connects that have ended, and the failure of the last one,
    // if it failed.
    std::uint64_t finished_connects = 0;
    std::optional<stream_failure> last_failure;
    time_point failed_at;
};

// Keeps a waiter in the entry's list while it waits.
class registered_waiter
{
public:
    registered_waiter(
        asio::io_context& context, std::shared_ptr<pool_entry> entry)
        : entry_(std::move(entry))
        , signal_(context)
        , position_(entry_->waiters.insert(entry_->waiters.end(), &signal_))
    {
    }

    registered_waiter(const registered_waiter&) = delete;
    registered_waiter& operator=(const registered_waiter&) = delete;

    ~registered_waiter()
    {
        entry_->waiters.erase(position_);
    }

    [[nodiscard]] signal& wait_on()
    {
        return signal_;
    }

private:
    std::shared_ptr<pool_entry> entry_;
    signal signal_;
    std::list<signal*>::iterator position_;
};

class pool_state : public std::enable_shared_from_this<pool_state>
{
public:
    pool_state(asio::io_context& context, const session_options& options)
        : context_(context)
        , options_(options)
        , connects_(context)
    {
    }

    asio::awaitable<session_result> get(pool_key key, time_point deadline)
    {
        const auto self = shared_from_this();
        auto found = find(key);
        if (found)
        {
            co_return found;
        }
        const auto entry = find_or_create_entry(key);
        const auto connects_before = entry->finished_connects;
        while (!closed_)
        {
            found = first_available(*entry);
            if (found)
            {
                co_return found;
            }
            const bool tried = entry->finished_connects != connects_before;
            if (entry->last_failure && (tried || failed_recently(*entry)))
            {
                co_return *entry->last_failure;
            }
            if (usable_sessions(*entry) >= options_.max_sessions_per_endpoint)
            {
                co_return stream_failure::refused;
            }
            start_connect(key, entry);
            registered_waiter waiter(context_, entry);
            const auto woken = co_await waiter.wait_on().wait_until(deadline);
            if (woken == wait_result::timed_out)
            {
                co_return stream_failure::timed_out;
            }
            if (woken == wait_result::cancelled)
            {
                co_return stream_failure::cancelled;
            }
        }
        co_return stream_failure::cancelled;
    }

    [[nodiscard]] session_ptr find(const pool_key& key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? nullptr
                                       : first_available(*found->second);
    }

    void close()
    {
        closed_ = true;
        const auto entries = std::exchange(entries_, {});
        for (const auto& [key, entry] : entries)
        {
            wake_all(*entry);
        }
    }

    asio::awaitable<void> end()
    {
        const auto self = shared_from_this();
        const auto entries = entries_;
        close();
        for (const auto& [key, entry] : entries)
        {
            // A copy, as each closed session leaves its entry.
            const auto sessions = entry->sessions;
            for (const auto& session : sessions)
            {
                session->close();
            }
        }
        co_await connects_.end();
    }

    void remove_endpoint(const tcp::endpoint& peer)
    {
        std::erase_if(
            entries_,
            [&peer](const auto& item)
            {
                const auto& [key, entry] = item;
                const bool drop = key.peer == peer && !entry->connecting;
                return drop;
            });
    }

    void note_loss()
    {
        last_loss_at_ = std::chrono::steady_clock::now();
    }

    [[nodiscard]] bool had_recent_loss() const
    {
        const auto now = std::chrono::steady_clock::now();
        return last_loss_at_ && now - *last_loss_at_ < options_.loss_retention;
    }

    [[nodiscard]] std::size_t sessions() const
    {
        std::size_t sum = 0;
        for (const auto& [key, entry] : entries_)
        {
            sum += entry->sessions.size();
        }
        return sum;
    }

private:
    // Prefers the first session with a free stream: as load falls, later
    // sessions become idle and are closed.
    [[nodiscard]] static session_ptr first_available(const pool_entry& entry)
    {
        const auto is_available = [](const session_ptr& candidate)
        {
            return candidate->usable() && candidate->has_free_stream();
        };
        const auto found = std::ranges::find_if(entry.sessions, is_available);
        return found == entry.sessions.end() ? nullptr : *found;
    }

    [[nodiscard]] static std::size_t usable_sessions(const pool_entry& entry)
    {
        const auto usable = [](const session_ptr& candidate)
        {
            return candidate->usable();
        };
        return static_cast<std::size_t>(
            std::ranges::count_if(entry.sessions, usable));
    }

    static void wake_all(pool_entry& entry)
    {
        for (signal* waiter : entry.waiters)
        {
            waiter->notify();
        }
    }

    [[nodiscard]] std::shared_ptr<pool_entry>
    find_or_create_entry(const pool_key& key)
    {
        const auto found = entries_.find(key);
        if (found != entries_.end())
        {
            return found->second;
        }
        erase_unused_entries();
        auto& entry = entries_[key];
        entry = std::make_shared<pool_entry>();
        return entry;
    }

    [[nodiscard]] bool failed_recently(const pool_entry& entry) const
    {
        const auto now = std::chrono::steady_clock::now();
        return now < entry.failed_at + options_.connect_backoff;
    }

    // Connects in a separate coroutine, so that a caller that stops waiting
    // doesn't cancel the connect for the others.
    void
    start_connect(const pool_key& key, const std::shared_ptr<pool_entry>& entry)
    {
        if (entry->connecting)
        {
            return;
        }
        entry->connecting = true;
        if (!connects_.spawn(connect(shared_from_this(), key, entry)))
        {
            entry->connecting = false;
        }
    }

    static asio::awaitable<void> connect(
        std::shared_ptr<pool_state> self,
        pool_key key,
        std::shared_ptr<pool_entry> entry)
    {
        const auto connected = co_await client_session::connect(
            self->context_, key.peer, self->options_);
        entry->connecting = false;
        ++entry->finished_connects;
        if (connected)
        {
            entry->last_failure.reset();
            self->add(entry, *connected);
        }
        else
        {
            entry->last_failure = connected.error();
            entry->failed_at = std::chrono::steady_clock::now();
        }
        wake_all(*entry);
    }

    void
    add(const std::shared_ptr<pool_entry>& entry, const session_ptr& session)
    {
        entry->sessions.push_back(session);
        const std::weak_ptr<pool_state> weak_self = weak_from_this();
        const std::weak_ptr<pool_entry> weak_entry = entry;
        const auto closed =
            [weak_self, weak_entry, closed_session = session.get()]
        {
            const auto self = weak_self.lock();
            const auto entry = weak_entry.lock();
            if (!self || !entry)
            {
                return;
            }
            const auto is_closed_session =
                [closed_session](const session_ptr& candidate)
            {
                return candidate.get() == closed_session;
            };
            std::erase_if(entry->sessions, is_closed_session);
            self->erase_unused_entries();
        };
        session->on_closed(closed);
    }

    // An entry whose connect failed recently is kept, as it enforces the
    // connect backoff; it is erased when the next entry is created.
    [[nodiscard]] bool is_unused(const pool_entry& entry) const
    {
        return entry.sessions.empty() && !entry.connecting &&
               entry.waiters.empty() && !failed_recently(entry);
    }

    void erase_unused_entries()
    {
        const auto unused = [this](const auto& item)
        {
            return is_unused(*item.second);
        };
        std::erase_if(entries_, unused);
    }

    asio::io_context& context_;
    session_options options_;
    std::map<pool_key, std::shared_ptr<pool_entry>> entries_;
    std::optional<time_point> last_loss_at_;
    task_group connects_;
    bool closed_ = false;
};

} // namespace internal

session_pool::session_pool(
    boost::asio::io_context& context, session_options options)
    : state_(std::make_shared<internal::pool_state>(context, options))
{
}

session_pool::~session_pool()
{
    state_->close();
}

boost::asio::awaitable<outcome<std::shared_ptr<client_session>, stream_failure>>
session_pool::get(
    boost::asio::ip::tcp::endpoint peer, traffic kind, time_point deadline)
{
    internal::pool_key key{std::move(peer), kind};
    return state_->get(std::move(key), deadline);
}

boost::asio::awaitable<void> session_pool::end()
{
    return state_->end();
}

std::shared_ptr<client_session> session_pool::find(
    const boost::asio::ip::tcp::endpoint& peer, traffic kind) const
{
    const internal::pool_key key{peer, kind};
    return state_->find(key);
}

void session_pool::note_loss()
{
    state_->note_loss();
}

bool session_pool::had_recent_loss() const
{
    return state_->had_recent_loss();
}

std::size_t session_pool::sessions() const
{
    return state_->sessions();
}

void session_pool::remove_endpoint(const boost::asio::ip::tcp::endpoint& peer)
{
    state_->remove_endpoint(peer);
}

} // namespace nutmegusher::wire
