// Simulates execution guards with a claim table under lost, late and duplicated
// messages, copies of attempts, crashes and frozen executors. An oracle checks
// the result. For tests only.
#ifndef NUTMEGUSHER_EXECUTION_EXECUTION_SIMULATION_TEST_HPP
#define NUTMEGUSHER_EXECUTION_EXECUTION_SIMULATION_TEST_HPP

#include "nutmegusher/execution/execution.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegusher::execution_simulation
{

using action = messages::claim_command::ActionCase;

// The mechanism that is disabled.
enum class fault
{
    none,
    fence_ignored,        // a fence is granted without being recorded
    claim_expires,        // a new attempt takes over a claim in progress
    start_without_answer, // a lost reply to a start counts as a grant
    copies_share_claim    // copies of an attempt have the same executor
};

// Returns a random number below `bound`, uniformly distributed.
using chooser = std::function<unsigned(unsigned bound)>;

inline constexpr unsigned key_count = 2;
inline constexpr unsigned digest_count = 2;
inline constexpr std::uint64_t first_wall_ms = 1'790'000'000'000;

inline claim_limits small_limits()
{
    return {
        .retention_ms = ~0ULL >> 2U,
        .attempt_lifetime_ms = 3000,
        .max_fences = 12,
        .max_time_step_ms = ~0ULL >> 2U};
}

struct executor
{
    execution_request request;
    execution_guard guard;
    bool alive = true;
    // The upstream got the call and has not asserted that it had no effect.
    bool executed = false;
    // At least one claim command was proposed.
    bool claimed = false;
};

struct message
{
    std::size_t executor;
    messages::claim_command command;
    std::optional<messages::claim_result> reply;
};

// One simulation. Each step performs an event that `choose` selects.
class simulation
{
public:
    simulation(fault injected, chooser choose)
        : injected_(injected)
        , choose_(std::move(choose))
    {
    }

    void step()
    {
        switch (choose_(14))
        {
        case 0:
            return new_attempt();
        case 1:
            return copy_attempt();
        case 2:
        case 3:
        case 4:
            return deliver();
        case 5:
        case 6:
        case 7:
            return deliver_reply();
        case 8:
            return drop_message();
        case 9:
            return with_executor(
                [this](std::size_t index)
                {
                    handle_lost_reply(index);
                });
        case 10:
            return with_executor(
                [this](std::size_t index)
                {
                    end_call(index);
                });
        case 11:
            return with_executor(
                [this](std::size_t index)
                {
                    crash_resolve_or_cancel(index);
                });
        case 12:
            return with_executor(
                [this](std::size_t index)
                {
                    fence(index);
                });
        default:
            return advance_time();
        }
    }

    // Returns the violation that the oracle found, if any.
    [[nodiscard]] std::optional<std::string> violation() const
    {
        std::set<std::string> ran_keys;
        for (const auto& one : executors_)
        {
            if (!one.executed)
            {
                continue;
            }
            if (!ran_keys.insert(one.request.key.idempotency_key()).second)
            {
                return "a key was executed twice";
            }
            if (not_run_.contains(one.request.by.sequence()))
            {
                return "an attempt reported as not run was executed";
            }
        }
        return other_violation_;
    }

    [[nodiscard]] std::size_t executed() const
    {
        std::size_t count = 0;
        for (const auto& one : executors_)
        {
            count += one.executed ? 1 : 0;
        }
        return count;
    }

private:
    template <class Function>
    void with_executor(Function&& use)
    {
        if (!executors_.empty())
        {
            use(choose_(static_cast<unsigned>(executors_.size())));
        }
    }

    void new_attempt()
    {
        execution_request request;
        request.key.set_idempotency_key(std::to_string(choose_(key_count)));
        request.request_digest = 1 + choose_(digest_count);
        request.by.set_entry_host("entry");
        request.by.set_sequence(sequence_.next(wall_ms_));
        add(request);
    }

    void copy_attempt()
    {
        with_executor(
            [this](std::size_t index)
            {
                add(executors_[index].request);
            });
    }

    void add(execution_request request)
    {
        request.executor.set_host("executor");
        request.executor.set_execution(executors_.size() + 1);
        request.deadline = now_ + std::chrono::seconds(2);
        executors_.push_back({request, execution_guard(request)});
        const auto index = executors_.size() - 1;
        perform(index, executors_[index].guard.begin(now_, wall_ms_));
    }

    void deliver()
    {
        if (messages_.empty())
        {
            return;
        }
        auto& found = messages_[choose_(count(messages_))];
        // The message stays queued, so it may be delivered again, also late.
        found.reply = apply(found.command);
    }

    messages::claim_result apply(messages::claim_command command)
    {
        if (injected_ == fault::copies_share_claim)
        {
            command.clear_executor();
        }
        if (injected_ == fault::fence_ignored && command.has_fence())
        {
            messages::claim_result simulated_result;
            simulated_result.set_verdict(messages::claim_granted);
            return simulated_result;
        }
        auto result = table_.apply(command);
        if (injected_ == fault::claim_expires && command.has_start() &&
            result.verdict() == messages::claim_in_progress)
        {
            drop_claim(command.key());
            auto successor = command;
            successor.mutable_by()->set_sequence(sequence_.next(wall_ms_));
            result = table_.apply(successor);
        }
        return result;
    }

    void drop_claim(const messages::claim_key& key)
    {
        for (const auto& one : executors_)
        {
            messages::claim_command release;
            *release.mutable_key() = key;
            *release.mutable_by() = one.request.by;
            *release.mutable_executor() = one.request.executor;
            release.mutable_release();
            table_.apply(release);
        }
    }

    void deliver_reply()
    {
        if (messages_.empty())
        {
            return;
        }
        // The reply stays queued, so it may be delivered again.
        const auto found = messages_[choose_(count(messages_))];
        if (!found.reply)
        {
            return;
        }
        if (found.command.has_fence())
        {
            report(found.executor, outcome_of_fence(*found.reply), true);
            return;
        }
        auto& one = executors_[found.executor];
        if (one.alive)
        {
            perform(
                found.executor,
                one.guard.claim_replied(
                    now_, wall_ms_, found.command.action_case(), *found.reply));
        }
    }

    void drop_message()
    {
        if (!messages_.empty())
        {
            messages_.erase(messages_.begin() + choose_(count(messages_)));
        }
    }

    void handle_lost_reply(std::size_t index)
    {
        auto& one = executors_[index];
        if (!one.alive)
        {
            return;
        }
        if (injected_ == fault::start_without_answer &&
            one.guard.state() == guard_state::claiming)
        {
            one.executed = true;
            return;
        }
        perform(index, one.guard.claim_reply_lost(now_, wall_ms_));
    }

    // Ends the call at the upstream: refused, incomplete or completed.
    void end_call(std::size_t index)
    {
        auto& one = executors_[index];
        if (!one.alive || one.guard.state() != guard_state::running)
        {
            return;
        }
        switch (choose_(4))
        {
        case 0:
            one.executed = false;
            return perform(index, one.guard.call_refused(wall_ms_));
        case 1:
            return perform(index, one.guard.call_incomplete());
        default:
            messages::stored_answer answer;
            answer.set_body(std::to_string(index));
            return perform(index, one.guard.call_completed(wall_ms_, answer));
        }
    }

    void crash_resolve_or_cancel(std::size_t index)
    {
        auto& one = executors_[index];
        const auto choice = choose_(3);
        if (choice == 0)
        {
            one.alive = false;
        }
        else if (choice == 1)
        {
            resolve(index);
        }
        else if (one.alive)
        {
            perform(
                index, one.guard.cancel(wall_ms_, outcome_reason::cancelled));
        }
    }

    // Resolves the claim of a crashed executor as an operator who knows whether
    // the call was executed.
    void resolve(std::size_t index)
    {
        const auto& one = executors_[index];
        if (one.alive)
        {
            return;
        }
        messages::claim_command command;
        *command.mutable_key() = one.request.key;
        *command.mutable_by() = one.request.by;
        *command.mutable_executor() = one.request.executor;
        command.set_proposed_at_ms(wall_ms_);
        command.mutable_resolve();
        if (one.executed)
        {
            command.mutable_resolve()->mutable_answer()->set_body(
                std::to_string(index));
        }
        table_.apply(command);
    }

    void fence(std::size_t index)
    {
        const auto& request = executors_[index].request;
        messages::claim_command command;
        *command.mutable_key() = request.key;
        *command.mutable_by() = request.by;
        command.set_proposed_at_ms(wall_ms_);
        command.mutable_fence()->set_request_digest(request.request_digest);
        messages_.push_back({index, command, std::nullopt});
    }

    void advance_time()
    {
        const auto step = 1 + choose_(600);
        now_ += std::chrono::milliseconds(step);
        wall_ms_ += step;
        const auto restored = claim_table::restore(table_.snapshot());
        if (restored && restored->snapshot() != table_.snapshot())
        {
            other_violation_ = "a restored table differs from its snapshot";
        }
    }

    void perform(std::size_t index, const guard_step& step)
    {
        auto& one = executors_[index];
        if (step.propose)
        {
            one.claimed = true;
            messages_.push_back({index, *step.propose, std::nullopt});
        }
        if (step.start_call)
        {
            one.executed = true;
        }
        if (step.report)
        {
            report(index, *step.report, one.claimed);
        }
    }

    void
    report(std::size_t index, const reported_outcome& reported, bool claimed)
    {
        const auto& request = executors_[index].request;
        if (reported.outcome == call_outcome::not_run && claimed)
        {
            not_run_.insert(request.by.sequence());
        }
        if (reported.answer)
        {
            const auto& source =
                executors_[std::stoul(reported.answer->body())];
            if (!source.executed ||
                source.request.request_digest != request.request_digest ||
                source.request.key.idempotency_key() !=
                    request.key.idempotency_key())
            {
                other_violation_ = "a call got the answer of another request";
            }
        }
    }

    static unsigned count(const std::vector<message>& list)
    {
        return static_cast<unsigned>(list.size());
    }

    fault injected_;
    chooser choose_;
    claim_table table_{small_limits()};
    attempt_sequence sequence_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t wall_ms_ = first_wall_ms;
    std::vector<executor> executors_;
    std::vector<message> messages_;
    std::set<std::uint64_t> not_run_;
    std::optional<std::string> other_violation_;
};

} // namespace nutmegusher::execution_simulation

#endif
