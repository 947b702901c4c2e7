// Checks that the number of retry tokens never grows in arbitrary trees of
// calls with lost requests and with lost and repeated answers.
#include "nutmegusher/execution/execution.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace nutmegusher
{
namespace
{

constexpr std::size_t daemon_count = 4;
const request_id shared_id("r-1");

// One call between two daemons, from its request to its answer.
struct call
{
    std::size_t target = 0;
    std::uint32_t in_request = 0;
    outstanding_tokens outstanding{0};
    std::shared_ptr<request_ledger::sub_call> origin;
    std::optional<request_ledger::running_request> running;
    std::optional<std::uint32_t> answer;
    // Tokens in the answer until it arrives for the first time.
    std::uint32_t in_answer = 0;
};

// A few daemons that call each other in arbitrary patterns for one request.
// Tokens inside a destroyed object count as lost.
class call_tree
{
public:
    explicit call_tree(std::uint32_t minted)
        : ledgers_(daemon_count)
        , minted_(minted)
    {
        for (auto& ledger : ledgers_)
        {
            ledger = std::make_unique<request_ledger>(2);
        }
        roots_.push_back(
            ledgers_[0]->open(shared_id, {}, retry_tokens::mint(minted)));
    }

    void begin(std::size_t daemon, std::uint32_t wanted)
    {
        auto created = ledgers_[daemon]->begin_sub_call(shared_id, wanted);
        if (created)
        {
            sub_calls_.push_back(std::make_shared<request_ledger::sub_call>(
                std::move(*created)));
            all_sub_calls_.emplace_back(sub_calls_.back());
        }
    }

    void spend(std::size_t index)
    {
        if (!sub_calls_.empty())
        {
            auto& origin = sub_calls_[index % sub_calls_.size()];
            spent_ += origin->tokens().spend() ? 1 : 0;
        }
    }

    void send(std::size_t index, std::size_t target)
    {
        if (sub_calls_.empty())
        {
            return;
        }
        auto created = std::make_unique<call>();
        created->origin = sub_calls_[index % sub_calls_.size()];
        created->target = target;
        created->in_request = created->origin->tokens().send();
        created->outstanding = outstanding_tokens(created->in_request);
        calls_.push_back(std::move(created));
    }

    void deliver(std::size_t index)
    {
        if (auto* found = pick(index);
            found != nullptr && !found->running && !found->answer)
        {
            found->running.emplace(ledgers_[found->target]->open(
                shared_id,
                {},
                retry_tokens::received(std::exchange(found->in_request, 0))));
        }
    }

    void answer(std::size_t index)
    {
        if (auto* found = pick(index); found != nullptr && found->running)
        {
            found->answer = found->running->finish().send();
            found->in_answer = *found->answer;
            found->running.reset();
        }
    }

    // The call stays in `calls_`, so the same answer may arrive again.
    void receive_answer(std::size_t index)
    {
        if (auto* found = pick(index); found != nullptr && found->answer)
        {
            found->in_answer = 0;
            found->origin->tokens().put(
                found->outstanding.reclaim(*found->answer));
        }
    }

    void drop_call(std::size_t index)
    {
        if (!calls_.empty())
        {
            calls_.erase(
                calls_.begin() +
                static_cast<std::ptrdiff_t>(index % calls_.size()));
        }
    }

    void end_sub_call(std::size_t index)
    {
        if (!sub_calls_.empty())
        {
            sub_calls_.erase(
                sub_calls_.begin() +
                static_cast<std::ptrdiff_t>(index % sub_calls_.size()));
        }
    }

    // Number of tokens that were spent or can still be spent.
    [[nodiscard]] std::uint64_t total() const
    {
        std::uint64_t sum = spent_;
        for (const auto& ledger : ledgers_)
        {
            sum += ledger->available_tokens();
        }
        for (const auto& one : all_sub_calls_)
        {
            const auto origin = one.lock();
            sum += origin ? origin->tokens().count() : 0;
        }
        for (const auto& one : calls_)
        {
            sum += one->in_request + one->in_answer;
        }
        return sum;
    }

    [[nodiscard]] std::uint32_t minted() const
    {
        return minted_;
    }

private:
    call* pick(std::size_t index)
    {
        return calls_.empty() ? nullptr : calls_[index % calls_.size()].get();
    }

    std::vector<std::unique_ptr<request_ledger>> ledgers_;
    std::uint32_t minted_;
    std::vector<request_ledger::running_request> roots_;
    std::vector<std::shared_ptr<request_ledger::sub_call>> sub_calls_;
    // Includes sub-calls that were ended but are kept alive by a call in
    // flight.
    std::vector<std::weak_ptr<request_ledger::sub_call>> all_sub_calls_;
    std::vector<std::unique_ptr<call>> calls_;
    std::uint64_t spent_ = 0;
};

void apply_action(
    call_tree& tree, unsigned action, std::size_t one, std::size_t two)
{
    switch (action)
    {
    case 0:
        return tree.begin(one % daemon_count, two % 3);
    case 1:
        return tree.spend(one);
    case 2:
        return tree.send(one, two % daemon_count);
    case 3:
        return tree.deliver(one);
    case 4:
        return tree.answer(one);
    case 5:
        return tree.receive_answer(one);
    case 6:
        return tree.drop_call(one);
    default:
        return tree.end_sub_call(one);
    }
}

RC_GTEST_PROP(request_ledger_property, never_more_tokens_than_were_minted, ())
{
    constexpr unsigned actions = 8;
    constexpr int steps = 200;
    call_tree tree(*rc::gen::inRange<std::uint32_t>(0, 6));
    std::uint64_t previous = tree.minted();
    for (int step = 0; step < steps; ++step)
    {
        const auto action = *rc::gen::inRange(0U, actions);
        const auto one = *rc::gen::inRange<std::size_t>(0, 12);
        const auto two = *rc::gen::inRange<std::size_t>(0, 12);
        apply_action(tree, action, one, two);
        // Tokens may be lost but are never created.
        RC_ASSERT(tree.total() <= previous);
        previous = tree.total();
    }
}

} // namespace
} // namespace nutmegusher
