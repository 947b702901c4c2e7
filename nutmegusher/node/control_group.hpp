// One replicated group on the logs' thread, with the coroutines that wait for
// its proposals and reads.
#ifndef NUTMEGUSHER_NODE_CONTROL_GROUP_HPP
#define NUTMEGUSHER_NODE_CONTROL_GROUP_HPP

#include "nutmegusher/control/control.hpp"
#include "nutmegusher/node/async_value.hpp"
#include "nutmegusher/node/control_events.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace nutmegusher::node::internal
{

// How long a group stays closed after a storage failure, such as a full disk,
// before it is opened again.
inline constexpr duration reopen_delay = std::chrono::seconds(1);

// Callbacks from a group to the loop that owns it.
template <state_machine Machine>
struct control_group_hooks
{
    std::function<void(messages::replica_message)> send;
    std::function<void(
        const messages::log_entry&, const typename Machine::result_type&)>
        applied;
    std::function<void(const Machine&)> restored;
    std::function<void()> members_changed;
};

// The parameters of a group.
struct control_group_settings
{
    replica_settings replica;
    snapshot_policy snapshots;
    asio::io_context* context;
    file_disk* target;
    random_engine* engine;
};

// Implements `group_listener` for its group. While the storage fails the group
// is closed: nothing is proposed, answered or acknowledged on this host.
template <state_machine Machine>
class control_group
{
public:
    using result_type = typename Machine::result_type;
    using group_type = replicated_group<file_disk, Machine>;

    control_group(
        const control_group_settings& settings,
        control_group_hooks<Machine> hooks)
        : settings_(settings)
        , hooks_(std::move(hooks))
    {
    }

    // Errors: `storage_failure`.
    [[nodiscard]] leaf::result<void> open(time_point now)
    {
        BOOST_LEAF_ASSIGN(
            group_,
            group_type::open(
                settings_.replica,
                settings_.snapshots,
                *settings_.target,
                true,
                *settings_.engine,
                now));
        hooks_.restored(group_->machine());
        return {};
    }

    [[nodiscard]] std::uint32_t number() const
    {
        return settings_.replica.group;
    }

    // Returns nullptr while the group is closed.
    [[nodiscard]] group_type* running()
    {
        return group_.get();
    }

    [[nodiscard]] const group_type* running() const
    {
        return group_.get();
    }

    void tick(time_point now)
    {
        if (group_)
        {
            group_->core().tick(now);
        }
        else if (reopen_at_ && now >= *reopen_at_)
        {
            reopen(now);
        }
    }

    void step(const messages::replica_message& message, time_point now)
    {
        if (group_)
        {
            group_->core().step(message, now);
        }
    }

    void turn(time_point now)
    {
        if (!group_)
        {
            return;
        }
        const auto failed = leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<storage_failure>>
            {
                BOOST_LEAF_CHECK(group_->process_ready(*this, now));
                return std::optional<storage_failure>();
            },
            [](const storage_failure& failure)
            {
                return std::optional(failure);
            },
            []
            {
                return std::optional(
                    storage_failure{storage_fault::bad_content, "snapshot"});
            });
        if (failed)
        {
            close(*failed, now);
        }
    }

    // Returns nullopt if it is unknown whether the entry was or will be
    // applied.
    [[nodiscard]] asio::awaitable<std::optional<result_type>>
    propose(messages::log_entry entry, time_point deadline)
    {
        const auto position = try_propose(std::move(entry));
        if (!position)
        {
            co_return std::nullopt;
        }
        auto awaited = std::make_shared<awaited_result>(*settings_.context);
        proposals_[position->index] = {position->term, awaited};
        auto result = co_await awaited->wait(deadline);
        const auto waiting = proposals_.find(position->index);
        if (waiting != proposals_.end() && waiting->second.awaited == awaited)
        {
            proposals_.erase(waiting);
        }
        if (!result)
        {
            co_return std::nullopt;
        }
        co_return std::move(*result);
    }

    // Returns the index that a linearizable read must have applied, or nullopt
    // if this host is not confirmed as the leader by the deadline.
    [[nodiscard]] asio::awaitable<std::optional<log_index>>
    confirm(time_point deadline)
    {
        const auto ticket = try_read();
        if (!ticket)
        {
            co_return std::nullopt;
        }
        auto awaited = std::make_shared<awaited_index>(*settings_.context);
        reads_[*ticket] = awaited;
        const auto index = co_await awaited->wait(deadline);
        reads_.erase(*ticket);
        if (!index)
        {
            co_return std::nullopt;
        }
        co_return *index;
    }

    // Returns false if the index is not applied on this host by the deadline.
    [[nodiscard]] asio::awaitable<bool>
    wait_applied(log_index index, time_point deadline)
    {
        if (group_ && group_->applied() >= index)
        {
            co_return true;
        }
        auto awaited = std::make_shared<async_value<bool>>(*settings_.context);
        const auto waiting = apply_waiters_.emplace(index, awaited);
        const auto reached = co_await awaited->wait(deadline);
        if (!reached)
        {
            apply_waiters_.erase(waiting);
        }
        co_return reached.has_value();
    }

    // The functions below are the `group_listener` interface.
    void send(messages::replica_message message)
    {
        hooks_.send(std::move(message));
    }

    void applied(const messages::log_entry& entry, result_type result)
    {
        hooks_.applied(entry, result);
        finish(entry.index(), entry.term(), &result);
    }

    void members_changed(const messages::replica_set&)
    {
        log_members_changed(number(), group_->core().members().members_size());
        hooks_.members_changed();
    }

    void restored()
    {
        hooks_.restored(group_->machine());
    }

    void read_confirmed(confirmed_read read)
    {
        const auto waiting = reads_.find(read.ticket);
        if (waiting != reads_.end())
        {
            waiting->second->set(read.index);
        }
    }

    void read_failed(read_ticket ticket)
    {
        const auto waiting = reads_.find(ticket);
        if (waiting != reads_.end())
        {
            waiting->second->set(std::nullopt);
        }
    }

    void leadership_changed(leadership current)
    {
        const bool is_leader = current.leader == settings_.replica.self;
        log_leadership(number(), current, is_leader, was_leader_);
        if (was_leader_ && !is_leader)
        {
            // The proposals may still be committed, so their outcome is
            // unknown.
            fail_proposals();
        }
        was_leader_ = is_leader;
    }

    // Resumes the coroutines whose entries have been applied.
    void wake_apply_waiters()
    {
        while (group_ && !apply_waiters_.empty() &&
               apply_waiters_.begin()->first <= group_->applied())
        {
            apply_waiters_.begin()->second->set(true);
            apply_waiters_.erase(apply_waiters_.begin());
        }
        // These indexes hold entries of a new leader, so the proposals were
        // lost and have no result.
        while (group_ && !proposals_.empty() &&
               proposals_.begin()->first <= group_->applied())
        {
            finish(proposals_.begin()->first, 0, nullptr);
        }
    }

private:
    using awaited_result = async_value<std::optional<result_type>>;
    using awaited_index = async_value<std::optional<log_index>>;

    struct pending_proposal
    {
        log_term term = 0;
        std::shared_ptr<awaited_result> awaited;
    };

    std::optional<proposal_position> try_propose(messages::log_entry entry)
    {
        if (!group_)
        {
            return std::nullopt;
        }
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<proposal_position>>
            {
                BOOST_LEAF_AUTO(
                    accepted,
                    group_->core().propose(
                        std::move(entry), host_clock().now()));
                return std::optional(accepted);
            },
            []
            {
                return std::optional<proposal_position>();
            });
    }

    std::optional<read_ticket> try_read()
    {
        if (!group_)
        {
            return std::nullopt;
        }
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<read_ticket>>
            {
                BOOST_LEAF_AUTO(
                    accepted, group_->core().read(host_clock().now()));
                return std::optional(accepted);
            },
            []
            {
                return std::optional<read_ticket>();
            });
    }

    void finish(log_index index, log_term term, const result_type* result)
    {
        const auto waiting = proposals_.find(index);
        if (waiting == proposals_.end())
        {
            return;
        }
        const bool is_own_entry =
            result != nullptr && waiting->second.term == term;
        waiting->second.awaited->set(
            is_own_entry ? std::optional(*result) : std::nullopt);
        proposals_.erase(waiting);
    }

    void fail_proposals()
    {
        for (auto& [index, waiting] : proposals_)
        {
            waiting.awaited->set(std::nullopt);
        }
        proposals_.clear();
    }

    // Closes the group, so that no caller receives a verdict that may not be
    // durable.
    void close(const storage_failure& failure, time_point now)
    {
        log_storage_failed(number(), failure);
        group_.reset();
        was_leader_ = false;
        fail_proposals();
        for (auto& [ticket, awaited] : reads_)
        {
            awaited->set(std::nullopt);
        }
        // After a failed sync the operating system may have dropped the data
        // that it could not write; only a new process reads the files as they
        // are.
        reopen_at_.reset();
        if (failure.fault != storage_fault::sync_failed)
        {
            reopen_at_ = now + reopen_delay;
        }
    }

    void reopen(time_point now)
    {
        const bool opened = leaf::try_handle_all(
            [&]() -> leaf::result<bool>
            {
                BOOST_LEAF_CHECK(open(now));
                return true;
            },
            []
            {
                return false;
            });
        reopen_at_.reset();
        if (!opened)
        {
            reopen_at_ = now + reopen_delay;
        }
    }

    control_group_settings settings_;
    control_group_hooks<Machine> hooks_;
    std::unique_ptr<group_type> group_;
    std::map<log_index, pending_proposal> proposals_;
    std::map<read_ticket, std::shared_ptr<awaited_index>> reads_;
    std::multimap<log_index, std::shared_ptr<async_value<bool>>> apply_waiters_;
    std::optional<time_point> reopen_at_;
    bool was_leader_ = false;
};

} // namespace nutmegusher::node::internal

#endif
