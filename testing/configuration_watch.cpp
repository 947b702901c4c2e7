#include "testing/configuration_watch.hpp"

#include <algorithm>

namespace nutmegusher::test_support
{

namespace
{

constexpr std::chrono::milliseconds change_interval(150);
constexpr std::chrono::milliseconds poll_interval(20);
constexpr std::chrono::milliseconds observation_timeout(300);
constexpr std::chrono::seconds settle_limit(60);
constexpr std::uint32_t first_latency_ms = 1000;
constexpr std::uint32_t latency_span = 20'000;

} // namespace

configuration_watch::configuration_watch(
    const deployment& target, std::string class_name, std::uint32_t operators)
    : target_(target)
    , class_name_(std::move(class_name))
{
    for (std::uint32_t i = 0; i < operators; ++i)
    {
        threads_.emplace_back(
            [this, i]
            {
                run_operator(i);
            });
    }
    threads_.emplace_back(
        [this]
        {
            poll_daemons();
        });
}

configuration_watch::~configuration_watch()
{
    stop();
}

void configuration_watch::stop()
{
    running_ = false;
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
}

std::uint64_t configuration_watch::accepted() const
{
    const std::scoped_lock lock(mutex_);
    return accepted_.size();
}

std::uint64_t configuration_watch::conflicts() const
{
    return conflicts_;
}

std::uint64_t configuration_watch::observations() const
{
    return observations_;
}

void configuration_watch::run_operator(std::uint32_t operator_index)
{
    for (std::uint32_t round = 0; running_; ++round)
    {
        const auto latency =
            first_latency_ms + (round * 8 + operator_index) % latency_span;
        const auto id = "operator-" + std::to_string(operator_index) + "-" +
                        std::to_string(round);
        const auto change = target_change(id, based_on_, class_name_, latency);
        auto hosts = target_.all_control_operators();
        std::rotate(
            hosts.begin(),
            hosts.begin() +
                static_cast<std::ptrdiff_t>(operator_index % hosts.size()),
            hosts.end());
        const auto answer = settle_change(hosts, change, settle_limit);
        if (answer.outcome == change_outcome::accepted)
        {
            record_accepted(answer.revision, latency);
        }
        conflicts_ += answer.outcome == change_outcome::conflict ? 1 : 0;
        if (answer.revision > 0)
        {
            based_on_ = answer.revision;
        }
        std::this_thread::sleep_for(change_interval);
    }
}

void configuration_watch::record_accepted(
    std::uint64_t revision, std::uint32_t latency_ms)
{
    const std::scoped_lock lock(mutex_);
    if (!accepted_.emplace(revision, latency_ms).second)
    {
        problems_.push_back(
            "two changes accepted at revision " + std::to_string(revision));
    }
}

void configuration_watch::poll_daemons()
{
    std::vector<std::uint64_t> highest(target_.daemon_count(), 0);
    while (running_)
    {
        for (std::size_t i = 0; i < highest.size(); ++i)
        {
            const auto now = configuration_of(
                target_.daemon_operators(i), observation_timeout);
            if (!now || now->revision == 0)
            {
                continue;
            }
            ++observations_;
            if (now->revision < highest[i])
            {
                const std::scoped_lock lock(mutex_);
                problems_.push_back(
                    "daemon " + std::to_string(i) + " went back from " +
                    std::to_string(highest[i]) + " to " +
                    std::to_string(now->revision));
            }
            highest[i] = std::max(highest[i], now->revision);
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

std::string configuration_watch::find_problems() const
{
    const std::scoped_lock lock(mutex_);
    std::string text;
    for (const auto& problem : problems_)
    {
        text += problem + "\n";
    }
    if (accepted_.empty())
    {
        return text + "no change was accepted\n";
    }
    const auto [revision, latency] = *accepted_.rbegin();
    for (std::size_t i = 0; i < target_.daemon_count(); ++i)
    {
        const auto in_force = [&, last = revision, wanted = latency]
        {
            const auto now = configuration_of(target_.daemon_operators(i));
            // A change whose answer was lost may follow the last one that was
            // reported as accepted.
            return now && now->revision >= last &&
                   (now->revision > last ||
                    now->targets.at(class_name_) == wanted);
        };
        if (!wait_until(in_force, settle_limit))
        {
            text += "daemon " + std::to_string(i) + " doesn't run revision " +
                    std::to_string(revision) + "\n";
        }
    }
    return text;
}

} // namespace nutmegusher::test_support
